package org.burdockbay.core.membership;

/**
 * What a host has to know of another one to talk to it.
 *
 * @param id its id
 * @param group hosts of one group elect one dispatcher
 * @param domain its failure domain
 * @param address IP address and port where it listens for other hosts
 */
public record HostDescriptor(String id, String group, String domain, String address) {}
