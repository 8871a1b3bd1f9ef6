package org.burdockbay.core.lease;

/**
 * Times of leases, in milliseconds.
 *
 * @param leaseMillis how long a renewed lease lasts on the upstream's clock
 * @param pollMillis how long a renewal waits at the upstream for an end
 * @param answerMillis silence after which a call to an upstream counts as unanswered
 */
public record LeaseTerms(long leaseMillis, long pollMillis, long answerMillis) {

  /** Silence after which an entry host's work is dropped, in milliseconds: three heartbeats. */
  public static final long ENTRY_LOST_MILLIS = 450;

  /** An upstream's clock may run this much slow: its second lasts up to 1.02 seconds. */
  public static final double SLOWEST_CLOCK = 0.98;

  /**
   * Time for an upstream to end what its lease no longer covers, with a margin for the granularity
   * of clocks, in milliseconds.
   */
  public static final long END_MILLIS = 60;

  /**
   * Terms for callers that ask again 1.3 s after a broken connection.
   *
   * <p>A run whose entry host is lost ends at the latest 450 ms (silence) + 700 / 0.98 ms (lease) +
   * 60 ms after the caller's connection broke, 1,224 ms in all, and so before its second run can
   * begin elsewhere. Four polls fit into a lease, so that one lost call lets no lease run out.
   */
  public static final LeaseTerms DEFAULT = new LeaseTerms(700, 150, 300);

  /** Returns the longest time that a lease renewed now may last in true time. */
  public long longestMillis() {
    return (long) Math.ceil(leaseMillis / SLOWEST_CLOCK) + END_MILLIS;
  }
}
