package org.burdockbay.core.profile;

import org.HdrHistogram.Histogram;

/**
 * The distribution of a ratio over the last 10 to 20 seconds.
 *
 * <p>Each ratio is recorded in two histograms that take turns: the older one is queried, and is
 * replaced by the newer one every 10 s.
 */
final class RecentRatios {

  private static final long TURN_MILLIS = 10_000;

  /** Quantiles of fewer ratios than this are unknown. */
  private static final int MIN_RATIOS = 20;

  /** Interval at which quantiles are computed anew, in milliseconds. */
  private static final long REFRESH_INTERVAL_MILLIS = 100;

  private static final int UNITS_PER_RATIO = 1_000;
  private static final double MAX_RATIO = 100;
  private static final int SIGNIFICANT_DIGITS = 2;

  private Histogram older = newHistogram();
  private Histogram newer = newHistogram();
  private long turnEndsAt = Long.MIN_VALUE;
  private long refreshAt = Long.MIN_VALUE;
  private Quantiles quantiles = Quantiles.UNKNOWN;

  private static Histogram newHistogram() {
    return new Histogram(Math.round(MAX_RATIO * UNITS_PER_RATIO), SIGNIFICANT_DIGITS);
  }

  void record(double ratio, long now) {
    takeTurns(now);
    long value = Math.round(Math.min(ratio, MAX_RATIO) * UNITS_PER_RATIO);
    older.recordValue(value);
    newer.recordValue(value);
  }

  /** Returns the quantiles, which are up to 100 ms old; those of few ratios are unknown. */
  Quantiles quantiles(long now) {
    if (now >= refreshAt) {
      takeTurns(now);
      refreshAt = now + REFRESH_INTERVAL_MILLIS;
      quantiles =
          older.getTotalCount() < MIN_RATIOS
              ? Quantiles.UNKNOWN
              : new Quantiles(quantile(50), quantile(90));
    }
    return quantiles;
  }

  private void takeTurns(long now) {
    if (now < turnEndsAt) {
      return;
    }
    boolean skippedTurn = now >= turnEndsAt + TURN_MILLIS;
    older = skippedTurn ? newHistogram() : newer;
    newer = newHistogram();
    turnEndsAt = now + TURN_MILLIS;
  }

  private double quantile(double percentile) {
    return (double) older.getValueAtPercentile(percentile) / UNITS_PER_RATIO;
  }

  /**
   * Quantiles of a ratio.
   *
   * @param median the 0.5 quantile
   * @param upperTenth the 0.9 quantile
   */
  record Quantiles(double median, double upperTenth) {

    /** Stands for too few ratios; a ratio of 1 is expected. */
    static final Quantiles UNKNOWN = new Quantiles(1, 1);
  }
}
