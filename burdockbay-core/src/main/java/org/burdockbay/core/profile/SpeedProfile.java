package org.burdockbay.core.profile;

import java.util.Arrays;

/** The speed of one instance of an upstream, learned from its finished runs; 1 is usual. */
final class SpeedProfile {

  /** Minimum number of runs for a speed that is reported to other hosts. */
  static final int MIN_REPORTED_RUNS = 4;

  static final double MIN_SPEED = 0.25;
  static final double MAX_SPEED = 4;

  /** Number of runs over which the median is taken. */
  private static final int WINDOW = 15;

  /** Number of runs at the usual speed that are counted in addition. */
  private static final int PRIOR_RUNS = 4;

  /** When the instance of the upstream started; distinguishes it from later ones. */
  final long startedAt;

  private final double[] recentSpeeds = new double[WINDOW];
  private int runs;
  private long lastRunAt;
  private double speed = 1;

  SpeedProfile(long startedAt) {
    this.startedAt = startedAt;
  }

  /**
   * Records a run.
   *
   * @param runSpeed expected run time divided by the actual one
   */
  void record(double runSpeed, long now) {
    recentSpeeds[runs % WINDOW] = runSpeed;
    runs++;
    lastRunAt = now;
    double shrunk = (runs * median() + PRIOR_RUNS) / (runs + PRIOR_RUNS);
    speed = Math.clamp(shrunk, MIN_SPEED, MAX_SPEED);
  }

  double speed() {
    return speed;
  }

  int runs() {
    return runs;
  }

  long lastRunAt() {
    return lastRunAt;
  }

  private double median() {
    double[] sorted = Arrays.copyOf(recentSpeeds, Math.min(runs, WINDOW));
    Arrays.sort(sorted);
    int middle = sorted.length / 2;
    return sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
  }
}
