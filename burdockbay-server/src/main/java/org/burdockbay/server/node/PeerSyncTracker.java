package org.burdockbay.server.node;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Determines the news that a host may have missed, which is sent to it on a new connection.
 *
 * <p>A full sync on each new connection would add load just when connections break because links
 * are saturated. A host that is still running is therefore sent only the news that it may have
 * missed since its last contact with this host, and a restarted host receives a full sync from only
 * a few hosts.
 */
final class PeerSyncTracker {

  /** Number of hosts selected by rank to send a full sync; hosts with a disk always send one. */
  static final int FULL_SYNC_SENDERS = 2;

  /** Margin for messages in flight at the time of a report, in milliseconds. */
  private static final long IN_FLIGHT_MARGIN_MILLIS = 500;

  private final String self;
  private final boolean hasDisk;
  private final Map<String, Peer> peers = new HashMap<>();

  /**
   * Creates a tracker without any peers.
   *
   * @param hasDisk whether this host has a disk, so that upstreams announce themselves to it
   */
  PeerSyncTracker(String self, boolean hasDisk) {
    this.self = self;
    this.hasDisk = hasDisk;
  }

  /**
   * Records a report of another host on its last contact with this one.
   *
   * @param ageMillis time since that contact, in milliseconds; empty if there was none
   */
  void contactReported(String host, long incarnation, OptionalLong ageMillis, long now) {
    Peer peer = peers.get(host);
    if (peer != null && peer.incarnation == incarnation && ageMillis.isPresent()) {
      peer.lastContactAt = Math.max(peer.lastContactAt, now - ageMillis.getAsLong());
    }
  }

  /**
   * Records a new connection to a host.
   *
   * @return the time from which the host may have missed news, or empty if it may have missed all
   */
  OptionalLong connected(String host, long incarnation, long now) {
    Peer peer = peers.get(host);
    if (peer == null || peer.incarnation != incarnation || !peer.hasReceivedFullSync()) {
      peers.put(host, new Peer(incarnation, now));
      return OptionalLong.empty();
    }
    return OptionalLong.of(peer.lastContactAt - IN_FLIGHT_MARGIN_MILLIS);
  }

  /** Returns whether this host sends a full sync to a restarted host. */
  boolean sendsFullSync(String host, Collection<String> liveHosts) {
    long rankedBefore =
        liveHosts.stream()
            .filter(other -> !other.equals(host) && !other.equals(self))
            .filter(other -> rank(other, host) < rank(self, host))
            .count();
    return hasDisk || rankedBefore < FULL_SYNC_SENDERS;
  }

  /** Returns the rendezvous hash of a sender; senders with the lowest values rank first. */
  private static long rank(String sender, String host) {
    // Mixes the bits, because ids that differ only in the last digits have similar hash codes.
    long mixed = (sender + '>' + host).hashCode() * 0x9E3779B97F4A7C15L;
    return mixed ^ (mixed >>> 32);
  }

  private static final class Peer {

    private final long incarnation;
    private final long connectedAt;
    private long lastContactAt = Long.MIN_VALUE;

    private Peer(long incarnation, long connectedAt) {
      this.incarnation = incarnation;
      this.connectedAt = connectedAt;
    }

    /** Returns whether the host reported a contact later than the margin after the full sync. */
    private boolean hasReceivedFullSync() {
      return lastContactAt > connectedAt + IN_FLIGHT_MARGIN_MILLIS;
    }
  }
}
