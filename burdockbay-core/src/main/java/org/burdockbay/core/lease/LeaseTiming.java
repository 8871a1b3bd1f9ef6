package org.burdockbay.core.lease;

/**
 * Times of leases, in milliseconds.
 *
 * @param leaseMillis how long a renewed lease lasts on the upstream's clock
 * @param pollMillis how long a renewal waits at the upstream for an end
 * @param resendIntervalMillis silence after which an order is sent again, and a renewal beyond its
 *     wait counts as missed
 * @param answerTimeoutMillis silence after which an order counts as unanswered
 */
public record LeaseTiming(
    long leaseMillis, long pollMillis, long resendIntervalMillis, long answerTimeoutMillis) {

  /** Silence after which an entry host's work is dropped, in milliseconds: three heartbeats. */
  public static final long ENTRY_HOST_SILENCE_TIMEOUT_MILLIS = 450;

  /** An upstream's clock may run this much slow: its second lasts up to 1.02 seconds. */
  public static final double MIN_CLOCK_RATE = 0.98;

  /**
   * Time for an upstream to end what its lease no longer covers, with a margin for the granularity
   * of clocks, in milliseconds.
   */
  public static final long RUN_TERMINATION_MILLIS = 60;

  /**
   * Terms for callers that ask again 1.3 s after a broken connection.
   *
   * <p>A run whose entry host is lost ends at the latest 450 ms (silence) + 700 / 0.98 ms (lease) +
   * 60 ms after the caller's connection broke, 1,224 ms in all, and so before its second run can
   * begin elsewhere. Three polls fit into a lease, with the time to miss one, so that one lost call
   * lets no lease run out. An order is answered within a few round trips between domains; one that
   * isn't after 40 ms is lost or held up, and half of a short task's slack is left.
   */
  public static final LeaseTiming DEFAULT = new LeaseTiming(700, 150, 40, 300);

  /** Returns the longest time that a lease renewed now may last in true time. */
  public long maxLeaseMillis() {
    return (long) Math.ceil(leaseMillis / MIN_CLOCK_RATE) + RUN_TERMINATION_MILLIS;
  }
}
