package org.burdockbay.bench.runner;

/**
 * Faults that a stand-in runner injects.
 *
 * @param failAll whether every task fails, with the shortest run time
 * @param slowFactor factor applied to run times
 * @param lostAnswerShare share of start calls, 0 to 1, whose task runs and whose result is replaced
 *     by an empty response with status 500
 * @param silentStartShare share of start calls, 0 to 1, whose task runs and that get no response
 */
public record RunnerFaults(
    boolean failAll, double slowFactor, double lostAnswerShare, double silentStartShare) {

  /** No faults. */
  public static final RunnerFaults NONE = new RunnerFaults(false, 1.0, 0.0, 0.0);
}
