package org.burdockbay.core.work;

import java.util.List;
import java.util.Optional;

/**
 * Tasks of one kind within a piece of work.
 *
 * @param taskCount how many tasks the step has, at least 1
 * @param size what each task asks for
 * @param estimateMillis the caller's rough estimate of a task's run time, in milliseconds
 * @param predecessors numbers of earlier steps that must have finished, counted from 0
 * @param requiredLabel a label that the upstream must carry
 * @param nearRack the rack that holds the data; empty if any rack does equally well
 * @param maxTasksPerUpstream how many tasks of the step one upstream may run; 0 for no limit
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
      throw new IllegalArgumentException("a step needs a task, not " + taskCount);
    }
    predecessors = List.copyOf(predecessors);
  }

  /** Returns a step without conditions. */
  public static WorkStep of(int tasks, TaskSize size, long estimateMillis) {
    return new WorkStep(
        tasks, size, estimateMillis, List.of(), Optional.empty(), Optional.empty(), 0);
  }
}
