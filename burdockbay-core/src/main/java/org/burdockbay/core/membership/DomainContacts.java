package org.burdockbay.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks whether a host has contacted all hosts of its failure domain, which are the only ones that
 * dispatch the domain's shards.
 *
 * <p>A host with a disk has to be among the contacted hosts: it sends the list of all hosts on the
 * same connection, and it reports an epoch and a layout that outlast a restart of all processes.
 */
final class DomainContacts {

  private final String domain;

  /** The failure domains of the known hosts; empty while the domain isn't known. */
  private final Map<String, String> domainByHost = new HashMap<>();

  private final Set<String> contacted = new HashSet<>();
  private boolean contactedDisk;
  private long lastDiscoveryAt;

  /**
   * Creates a tracker without any other host.
   *
   * @param domain the failure domain of this host
   */
  DomainContacts(String domain, long now) {
    this.domain = domain;
    this.lastDiscoveryAt = now;
  }

  /**
   * Records that a host is known.
   *
   * @param hostDomain the failure domain of the host; empty if it isn't known
   */
  void hostAdded(String host, String hostDomain, long now) {
    String before = domainByHost.putIfAbsent(host, hostDomain);
    if (before == null && mayBeOwn(hostDomain)) {
      lastDiscoveryAt = now;
    }
  }

  /** Records a heartbeat of a host. */
  void heartbeatReceived(HostStatus status, long now) {
    domainByHost.put(status.host(), status.failureDomain());
    boolean first = contacted.add(status.host());
    boolean firstDisk = status.storageIncarnation() != 0 && !contactedDisk;
    contactedDisk |= firstDisk;
    if (firstDisk || (first && mayBeOwn(status.failureDomain()))) {
      lastDiscoveryAt = now;
    }
  }

  /** Forgets all contacts, but not the known hosts. */
  void reset() {
    contacted.clear();
    contactedDisk = false;
  }

  /**
   * Returns whether all known hosts of the domain were contacted, and no further one was learnt of
   * for the given time.
   */
  boolean isComplete(long idleMillis, long now) {
    return contactedDisk
        && now - lastDiscoveryAt > idleMillis
        && domainByHost.entrySet().stream()
            .filter(host -> mayBeOwn(host.getValue()))
            .allMatch(host -> contacted.contains(host.getKey()));
  }

  /** Returns the failure domains of the known hosts, without the domain of this host. */
  Set<String> otherDomains() {
    return domainByHost.values().stream()
        .filter(known -> !mayBeOwn(known))
        .collect(Collectors.toSet());
  }

  private boolean mayBeOwn(String hostDomain) {
    return hostDomain.isEmpty() || hostDomain.equals(domain);
  }
}
