package org.burdockbay.server.node;

import java.util.List;
import org.burdockbay.core.membership.HostCard;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.host.PeerSender;

/**
 * Tells other hosts which hosts there are.
 *
 * <p>A host is told all on each new connection, and what is new after that; what was lost on the
 * way is made up for by the next connection. The whole list, which grows with the square of the
 * hosts in all, goes out rarely, for what one of them has forgotten meanwhile.
 */
final class HostGossip {

  /** Time between two whole lists on a connection that works, in milliseconds. */
  static final long ALL_MILLIS = 10_000;

  private final HostDirectory directory;
  private final PeerSender sender;
  private long allAt;

  HostGossip(HostDirectory directory, PeerSender sender) {
    this.directory = directory;
    this.sender = sender;
  }

  /** Tells a host all, as its connection is new. */
  void connected(String host) {
    sender.send(host, all());
  }

  /** Tells all hosts of one that is new or has changed. */
  void learnt(HostCard card) {
    broadcast(new PeerMessage.KnownHosts(List.of(card)));
  }

  void tick(long now) {
    if (now >= allAt) {
      allAt = now + ALL_MILLIS;
      broadcast(all());
    }
  }

  private PeerMessage all() {
    return new PeerMessage.KnownHosts(directory.cards());
  }

  private void broadcast(PeerMessage message) {
    directory.others().forEach(host -> sender.send(host, message));
  }
}
