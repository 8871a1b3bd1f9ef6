package org.burdockbay.core.membership;

/**
 * Describes a host to the other hosts, which connect to it by this information.
 *
 * @param id id of the host
 * @param group group of hosts that elect dispatchers among themselves
 * @param domain failure domain of the host
 * @param address IP address and port at which the host accepts connections of other hosts
 */
public record HostDescriptor(String id, String group, String domain, String address) {}
