package org.burdockbay.core.registration;

/**
 * The dispatcher of a shard in one tenure of its role.
 *
 * @param host the id of its host
 * @param token the fencing token under which it dispatches
 */
public record ShardDispatcher(String host, long token) {}
