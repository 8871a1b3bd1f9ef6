package org.burdockbay.core.routing;

import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/**
 * The demand of a piece of work for processors.
 *
 * @param cores the cores that the tasks of all steps without predecessors require; at least 1
 * @param estimateMillis the longest estimated run time of these tasks, in milliseconds
 * @param coreMillis the estimated processor time of all steps, in milliseconds of one core
 */
public record Demand(int cores, long estimateMillis, double coreMillis) {

  private static final int MILLICORES_PER_CORE = 1_000;

  /** Returns the demand of a piece of work. */
  public static Demand of(WorkRequest request) {
    long millicores = 0;
    long estimateMillis = 0;
    double millicoreMillis = 0;
    for (WorkStep step : request.steps()) {
      long ofStep = (long) step.taskCount() * step.size().cpuMillicores();
      millicoreMillis += (double) ofStep * step.estimateMillis();
      if (step.predecessors().isEmpty()) {
        millicores += ofStep;
        estimateMillis = Math.max(estimateMillis, step.estimateMillis());
      }
    }
    return new Demand(
        Math.clamp(Math.ceilDiv(millicores, MILLICORES_PER_CORE), 1, Integer.MAX_VALUE),
        estimateMillis,
        millicoreMillis / MILLICORES_PER_CORE);
  }
}
