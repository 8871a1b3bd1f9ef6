package org.burdockbay.bench.runner;

/**
 * Faults of a stand-in runner.
 *
 * @param failAll fails everything it starts, at once
 * @param slowFactor multiplies run times
 * @param lostAnswerShare share of start calls whose connection breaks before the answer
 * @param silentStartShare share of start calls that are run and never answered
 */
public record RunnerFaults(
    boolean failAll, double slowFactor, double lostAnswerShare, double silentStartShare) {

  /** No faults. */
  public static final RunnerFaults NONE = new RunnerFaults(false, 1.0, 0.0, 0.0);
}
