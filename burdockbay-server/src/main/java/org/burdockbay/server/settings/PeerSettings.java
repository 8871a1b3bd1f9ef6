package org.burdockbay.server.settings;

/**
 * The settings of another host.
 *
 * @param id id of the host
 * @param domain failure domain of the host
 * @param address listen address for other hosts
 * @param voter whether the host is a Raft voter
 */
public record PeerSettings(String id, String domain, HostAddress address, boolean voter) {}
