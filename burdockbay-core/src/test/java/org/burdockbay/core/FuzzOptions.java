package org.burdockbay.core;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * How deep the fuzzing goes: fixed in CI by count and seed, so that every run gives the same
 * verdict; {@code -Dfuzz.factor} and {@code -Dfuzz.seed} make a longer or another run.
 */
public final class FuzzOptions {

  /** Shrinking steps after a failure. */
  public static final int MAX_SHRINK_CYCLES = 2_000;

  private static final long DEFAULT_SEED = 20_261_203L;

  private static final Map<String, long[]> COUNTS = new ConcurrentHashMap<>();

  private FuzzOptions() {}

  /** Counts one example with its events and with what it reached, for the figures of a long run. */
  public static void recordExample(String model, long events, long reached) {
    long[] counts = COUNTS.computeIfAbsent(model, name -> new long[3]);
    counts[0]++;
    counts[1] += events;
    counts[2] += reached;
  }

  /** Returns the counts so far as a line of key=value pairs. */
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

  /** Returns the number of examples of a property. */
  public static int exampleCount(int inCi) {
    return inCi * Integer.getInteger("fuzz.factor", 1);
  }

  /** Returns the seed. */
  public static long seed() {
    return Long.getLong("fuzz.seed", DEFAULT_SEED);
  }
}
