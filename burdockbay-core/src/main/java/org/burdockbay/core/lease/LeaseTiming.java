package org.burdockbay.core.lease;

/**
 * Durations of leases and orders, in milliseconds.
 *
 * @param leaseMillis how long a renewed lease lasts on the upstream's clock
 * @param pollMillis how long a renewal waits at the upstream for the end of a run
 * @param resendIntervalMillis silence after which an order is sent again, or a renewal counts as
 *     unanswered beyond its wait, at the earliest
 * @param answerTimeoutMillis silence after which an order counts as unanswered
 * @param callerRetryDelayMillis shortest time from a broken connection of a caller until its next
 *     attempt
 * @param maxGrantedLeaseMillis longest lease that an upstream grants, on its clock
 */
public record LeaseTiming(
    long leaseMillis,
    long pollMillis,
    long resendIntervalMillis,
    long answerTimeoutMillis,
    long callerRetryDelayMillis,
    long maxGrantedLeaseMillis) {

  /**
   * Silence after which an entry host is considered lost and its work is dropped, in milliseconds:
   * three heartbeats.
   */
  public static final long ENTRY_HOST_SILENCE_TIMEOUT_MILLIS = 450;

  /** Lowest rate of an upstream's clock: its second lasts up to 1.02 seconds. */
  public static final double MIN_CLOCK_RATE = 0.98;

  /**
   * Time within which an upstream ends the runs that its lease no longer covers, with a margin for
   * the granularity of clocks, in milliseconds.
   */
  public static final long RUN_TERMINATION_MILLIS = 60;

  /**
   * Default timing, for callers that retry 1.3 s after a broken connection.
   *
   * <p>A run whose entry host is lost ends at the latest 450 ms (silence) + 700 / 0.98 ms (lease) +
   * 60 ms after the caller's connection broke, 1,224 ms in all, and so before its second run can
   * begin elsewhere. Three polls fit into a lease, with enough time to miss one, so no lease
   * expires because of one lost call. An order is answered within a few round trips between failure
   * domains; one without an answer after 40 ms is lost or delayed, and half of a short task's slack
   * is left.
   */
  public static final LeaseTiming DEFAULT = new LeaseTiming(700, 150, 40, 300, 1_300, 1_000);

  /** Returns this timing for callers that retry after another delay, in milliseconds. */
  public LeaseTiming withCallerRetryDelay(long delayMillis) {
    return new LeaseTiming(
        leaseMillis,
        pollMillis,
        resendIntervalMillis,
        answerTimeoutMillis,
        delayMillis,
        maxGrantedLeaseMillis);
  }

  /** Returns this timing for upstreams that grant leases up to another length, in milliseconds. */
  public LeaseTiming withMaxGrantedLease(long millis) {
    return new LeaseTiming(
        leaseMillis,
        pollMillis,
        resendIntervalMillis,
        answerTimeoutMillis,
        callerRetryDelayMillis,
        millis);
  }

  /**
   * Returns the longest time for which a run may continue after its entry host was lost or its
   * caller's connection broke, in milliseconds.
   */
  public long maxOrphanedRunMillis() {
    return ENTRY_HOST_SILENCE_TIMEOUT_MILLIS + maxLeaseMillis();
  }

  /**
   * Returns the longest real time that a lease renewed now may last, including the end of its runs,
   * in milliseconds.
   */
  public long maxLeaseMillis() {
    return (long) Math.ceil(leaseMillis / MIN_CLOCK_RATE) + RUN_TERMINATION_MILLIS;
  }

  /**
   * Returns the longest real time from an order until the runs end whose lease it extends at a
   * instance other than the one to which it was addressed, in milliseconds.
   *
   * <p>The end of the lease in the order refers to the clock of the addressed instance. By another
   * clock it may lie far in the future, so the instance grants its longest lease from the arrival
   * of the order on. An order that arrives after the answer timeout may be in force for longer.
   */
  public long maxLeaseAtOtherInstanceMillis() {
    return answerTimeoutMillis
        + (long) Math.ceil(maxGrantedLeaseMillis / MIN_CLOCK_RATE)
        + RUN_TERMINATION_MILLIS;
  }
}
