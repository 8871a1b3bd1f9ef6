package org.burdockbay.server.node;

import java.util.Collection;
import java.util.Comparator;

/**
 * Determines when this host sends its heartbeats.
 *
 * <p>The live host with the lowest id is the timing reference: the other hosts send their
 * heartbeats when its heartbeat arrives. The heartbeats of all hosts thus arrive at a host
 * together, which takes fewer wake-ups than heartbeats spread over the interval. A host that
 * doesn't receive the reference heartbeat in time sends its own after a timeout.
 */
final class HeartbeatSchedule {

  /** Time between two heartbeats, in milliseconds. */
  static final long INTERVAL_MILLIS = 150;

  /** Time beyond the interval to wait for the reference host's heartbeat, in milliseconds. */
  static final long GRACE_MILLIS = 25;

  /** Minimum time between a heartbeat and one triggered by the reference host, in milliseconds. */
  static final long MIN_INTERVAL_MILLIS = INTERVAL_MILLIS / 2;

  private final String self;
  private volatile String referenceHost;
  private long lastSentAt;
  private long nextDueAt;

  /** Creates a schedule whose first heartbeat is due immediately. */
  HeartbeatSchedule(String self) {
    this.self = self;
    this.referenceHost = self;
  }

  /** Returns whether a heartbeat is due. */
  boolean isDue(long now) {
    return now >= nextDueAt;
  }

  /** Records that heartbeats were sent, and selects the reference host among the live hosts. */
  void recordSent(Collection<String> liveHosts, long now) {
    referenceHost =
        liveHosts.stream()
            .filter(host -> host.compareTo(self) < 0)
            .min(Comparator.naturalOrder())
            .orElse(self);
    lastSentAt = now;
    nextDueAt = now + INTERVAL_MILLIS + (referenceHost.equals(self) ? 0 : GRACE_MILLIS);
  }

  /** Returns whether a heartbeat received from a host triggers the heartbeats of this one. */
  boolean triggersHeartbeat(String host, long now) {
    return isReferenceHost(host) && now - lastSentAt >= MIN_INTERVAL_MILLIS;
  }

  /** Returns whether a host is the timing reference; safe on any thread. */
  boolean isReferenceHost(String host) {
    return host.equals(referenceHost);
  }
}
