package org.burdockbay.server.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.host.PeerSender;

/**
 * Distributes the descriptors of hosts to other hosts.
 *
 * <p>A host announces itself on each new connection, and relays the descriptors that other hosts
 * send of themselves. The size of the whole list grows with the number of hosts, so only a few
 * hosts send it to a restarted host. In addition, every host sends it at long intervals, to one
 * receiver at a time.
 */
final class HostGossip {

  /** Interval at which the whole list is sent to the same host, in milliseconds. */
  static final long FULL_LIST_INTERVAL_MILLIS = 10_000;

  private final HostDirectory directory;
  private final PeerSender sender;
  private final Map<String, Long> nextFullListAt = new HashMap<>();
  private long nextDueAt;

  HostGossip(HostDirectory directory, PeerSender sender) {
    this.directory = directory;
    this.sender = sender;
  }

  /**
   * Announces this host on a new connection.
   *
   * @param wholeList whether to send the descriptors of all known hosts
   */
  void connected(String host, boolean wholeList) {
    List<HostDescriptor> descriptors = directory.descriptors();
    sender.send(
        host,
        new PeerMessage.KnownHosts(wholeList ? descriptors : List.of(descriptors.getFirst())));
  }

  /**
   * Relays the descriptor of a host that is new or has changed.
   *
   * <p>A descriptor received from a third host isn't relayed: the host that received it directly
   * does so.
   */
  void hostDiscovered(HostDescriptor descriptor, String from) {
    if (descriptor.id().equals(from)) {
      PeerMessage message = new PeerMessage.KnownHosts(List.of(descriptor));
      directory.otherHosts().forEach(host -> sender.send(host, message));
    }
  }

  /** Sends the whole list to one of the hosts for which it is due, if any. */
  void tick(long now) {
    if (now < nextDueAt && directory.size() == nextFullListAt.size()) {
      return;
    }
    List<String> others = directory.otherHosts();
    nextFullListAt.keySet().retainAll(others);
    others.forEach(host -> nextFullListAt.putIfAbsent(host, now + FULL_LIST_INTERVAL_MILLIS));
    others.stream()
        .filter(host -> now >= nextFullListAt.get(host))
        .findFirst()
        .ifPresent(
            host -> {
              nextFullListAt.put(host, now + FULL_LIST_INTERVAL_MILLIS);
              sender.send(host, new PeerMessage.KnownHosts(directory.descriptors()));
            });
    nextDueAt = nextFullListAt.values().stream().mapToLong(Long::longValue).min().orElse(now);
  }
}
