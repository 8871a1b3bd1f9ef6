package org.burdockbay.core.dispatch;

/**
 * Estimates the run times of one kind of job from measurements.
 *
 * <p>Declared run times are often inaccurate, so they are used only until enough tasks were
 * measured. The histogram has geometric buckets and its counts are halved periodically, so it
 * follows a change of the load within a few thousand tasks in constant memory.
 */
final class RunTimeEstimator {

  private static final int BUCKET_COUNT = 64;
  private static final double BUCKET_GROWTH_FACTOR = 1.25;
  private static final int MIN_SAMPLES = 20;
  private static final int HALVING_SAMPLES = 2000;
  private static final double MIN_SAMPLE_WEIGHT = 0.05;

  private final double declaredMillis;
  private final int[] counts = new int[BUCKET_COUNT];
  private int total;
  private double meanMillis;

  RunTimeEstimator(double declaredMillis) {
    this.declaredMillis = declaredMillis;
    this.meanMillis = declaredMillis;
  }

  void record(long millis) {
    counts[bucketIndex(millis)]++;
    total++;
    double weight = Math.max(MIN_SAMPLE_WEIGHT, 1.0 / total);
    meanMillis += weight * ((double) millis - meanMillis);
    if (total >= HALVING_SAMPLES) {
      total = 0;
      for (int i = 0; i < BUCKET_COUNT; i++) {
        counts[i] /= 2;
        total += counts[i];
      }
    }
  }

  boolean hasEnoughSamples() {
    return total >= MIN_SAMPLES;
  }

  double expectedMillis() {
    return hasEnoughSamples() ? meanMillis : declaredMillis;
  }

  /**
   * Returns the upper bound of the bucket that contains the quantile, in milliseconds, or the
   * declared run time if there are no samples.
   */
  double quantileMillis(double quantile) {
    long rank = (long) Math.ceil(quantile * total);
    long seen = 0;
    for (int i = 0; i < BUCKET_COUNT; i++) {
      seen += counts[i];
      if (seen >= rank && seen > 0) {
        return Math.pow(BUCKET_GROWTH_FACTOR, i + 1);
      }
    }
    return declaredMillis;
  }

  private static int bucketIndex(long millis) {
    if (millis < 1) {
      return 0;
    }
    return Math.min(
        BUCKET_COUNT - 1, (int) (Math.log((double) millis) / Math.log(BUCKET_GROWTH_FACTOR)));
  }
}
