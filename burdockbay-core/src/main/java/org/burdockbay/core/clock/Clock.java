package org.burdockbay.core.clock;

/**
 * Provides the current time in milliseconds.
 *
 * <p>The state machines of the core receive the time as an argument; only the surrounding processes
 * hold a clock.
 */
@FunctionalInterface
public interface Clock {

  /** Returns the current time in milliseconds since the Unix epoch. The value never decreases. */
  long millis();

  /**
   * Returns a clock that reads the wall time once and then advances with the monotonic timer.
   *
   * <p>A step of the wall clock while the process runs, by an operator or a time daemon, would
   * otherwise expire all leases immediately or keep leases of lost hosts valid. The monotonic timer
   * is not affected by such steps.
   */
  static Clock monotonic() {
    long wallMillis = System.currentTimeMillis();
    long startNanos = System.nanoTime();
    return () -> wallMillis + (System.nanoTime() - startNanos) / 1_000_000L;
  }
}
