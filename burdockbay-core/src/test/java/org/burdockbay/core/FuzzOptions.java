package org.burdockbay.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Options and statistics of the fuzz tests.
 *
 * <p>By default, the number of examples and the seed are fixed, so that every CI run gives the same
 * result. {@code -Dfuzz.factor} multiplies the number of examples, {@code -Dfuzz.seed} sets another
 * seed.
 */
public final class FuzzOptions {

  /** Maximum number of shrink cycles after a failure. */
  public static final int MAX_SHRINK_CYCLES = 2_000;

  private static final long DEFAULT_SEED = 20_261_203L;

  private static final Map<String, long[]> COUNTS = new ConcurrentHashMap<>();

  private FuzzOptions() {}

  /**
   * Adds an example to the statistics of a model.
   *
   * @param events number of simulated events
   * @param reached number of results that the example reached, such as committed entries
   */
  public static void recordExample(String model, long events, long reached) {
    long[] counts = COUNTS.computeIfAbsent(model, name -> new long[3]);
    counts[0]++;
    counts[1] += events;
    counts[2] += reached;
  }

  /** Returns the statistics of a model as a line of key=value pairs. */
  public static String summary(String model) {
    long[] counts = COUNTS.getOrDefault(model, new long[3]);
    return "fuzz="
        + model
        + " runs="
        + counts[0]
        + " events="
        + counts[1]
        + " reached="
        + counts[2];
  }

  /** Returns the number of examples of a property, scaled by {@code fuzz.factor}. */
  public static int exampleCount(int baseCount) {
    return baseCount * Integer.getInteger("fuzz.factor", 1);
  }

  /** Returns the seed of the fuzz tests. */
  public static long seed() {
    return Long.getLong("fuzz.seed", DEFAULT_SEED);
  }
}
