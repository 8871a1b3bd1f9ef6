package org.burdockbay.core.work;

import java.util.List;
import java.util.Optional;

/**
 * A number of like tasks within a piece of work.
 *
 * @param taskCount number of tasks, at least 1
 * @param size the resources that each task needs
 * @param estimateMillis the caller's rough estimate of a task's run time, in milliseconds
 * @param predecessors numbers of earlier steps that must have completed, counted from 0
 * @param requiredLabel a label that the upstream must have
 * @param nearRack the rack that holds the data; empty if all racks are equally suitable
 * @param maxTasksPerUpstream how many tasks of the step may run on one upstream at a time; 0 for no
 *     limit
 */
public record WorkStep(
    int taskCount,
    TaskSize size,
    long estimateMillis,
    List<Integer> predecessors,
    Optional<String> requiredLabel,
    Optional<String> nearRack,
    int maxTasksPerUpstream) {

  /** Copies the list. */
  public WorkStep {
    if (taskCount < 1) {
      throw new IllegalArgumentException("taskCount is " + taskCount + ", must be at least 1");
    }
    predecessors = List.copyOf(predecessors);
  }

  /** Returns a step without constraints on its placement or order. */
  public static WorkStep of(int tasks, TaskSize size, long estimateMillis) {
    return new WorkStep(
        tasks, size, estimateMillis, List.of(), Optional.empty(), Optional.empty(), 0);
  }
}
