package org.burdockbay.server.node;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import org.burdockbay.core.limits.RateLimit;

/**
 * Keeps the cancellations that this host has passed on to all others.
 *
 * <p>A host that is paused or cut off meanwhile loses what was sent over its connection, and goes
 * on with the work once it is back. It gets them again over the next connection.
 */
final class Withdrawals {

  /** How long cancellations are kept, in milliseconds; callers wait for seconds. */
  static final long RETENTION_MILLIS = 30_000;

  private final RateLimit rateLimit;
  private final Deque<Withdrawal> recent = new ArrayDeque<>();

  /**
   * Creates an empty list.
   *
   * @param maxPerSecond the maximum number of cancellations a second
   */
  Withdrawals(int maxPerSecond) {
    this.rateLimit = new RateLimit(maxPerSecond);
  }

  /** Adds a cancellation, and returns whether the rate permits it. */
  boolean tryAdd(String workId, long now) {
    removeOutdated(now);
    boolean permitted = rateLimit.tryAdd(now);
    if (permitted) {
      recent.add(new Withdrawal(workId, now));
    }
    return permitted;
  }

  /** Returns the ids of the work that was cancelled within the retention time. */
  List<String> recent(long now) {
    removeOutdated(now);
    return recent.stream().map(Withdrawal::workId).toList();
  }

  private void removeOutdated(long now) {
    while (!recent.isEmpty() && now - recent.getFirst().at > RETENTION_MILLIS) {
      recent.removeFirst();
    }
  }

  private record Withdrawal(String workId, long at) {}
}
