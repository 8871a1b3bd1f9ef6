package org.burdockbay.core.work;

import java.util.List;
import java.util.Optional;

/**
 * Tasks of one kind within a piece of work.
 *
 * @param tasks how many tasks the step has, at least 1
 * @param size what each task asks for
 * @param estimateMillis the caller's rough estimate of a task's run time, in milliseconds
 * @param after numbers of earlier steps that must have finished, counted from 0
 * @param requiredLabel a label that the upstream must carry
 * @param nearRack the rack that holds the data; empty if any rack does equally well
 * @param mostOnOneUpstream how many tasks of the step one upstream may run; 0 for no limit
 */
public record WorkStep(
    int tasks,
    TaskSize size,
    long estimateMillis,
    List<Integer> after,
    Optional<String> requiredLabel,
    Optional<String> nearRack,
    int mostOnOneUpstream) {

  /** Copies the list. */
  public WorkStep {
    if (tasks < 1) {
      throw new IllegalArgumentException("a step needs a task, not " + tasks);
    }
    after = List.copyOf(after);
  }

  /** Returns a step without conditions. */
  public static WorkStep of(int tasks, TaskSize size, long estimateMillis) {
    return new WorkStep(
        tasks, size, estimateMillis, List.of(), Optional.empty(), Optional.empty(), 0);
  }
}
