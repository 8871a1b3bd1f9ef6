package org.burdockbay.core.routing;

/** Computes how long callers of refused work wait before they retry. */
final class RetryInterval {

  private static final double MIN_BASE_MILLIS = 500;
  private static final double MAX_INTERVAL_MILLIS = 3_000;

  /** Number of distinct intervals for one wait; the hash of an id selects one. */
  private static final int SPREAD_STEPS = 1_024;

  private RetryInterval() {}

  /**
   * Returns the predicted wait, plus up to as much again by the hash of the id, so that callers
   * which are refused together don't return together.
   *
   * @param waitMillis the predicted wait for capacity, in milliseconds
   */
  static long millis(String id, double waitMillis) {
    double base = Math.max(MIN_BASE_MILLIS, waitMillis);
    double spread = (double) Math.floorMod(mix(id.hashCode()), SPREAD_STEPS) / (SPREAD_STEPS - 1);
    return Math.round(Math.min(MAX_INTERVAL_MILLIS, base * (1 + spread)));
  }

  /** Distributes the hashes of ids that differ in their last characters only. */
  private static int mix(int hash) {
    int mixed = (hash ^ (hash >>> 16)) * 0x85EBCA6B;
    mixed = (mixed ^ (mixed >>> 13)) * 0xC2B2AE35;
    return mixed ^ (mixed >>> 16);
  }
}
