package org.burdockbay.core.limits;

import java.util.Optional;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/**
 * Limits on work, so that a host's memory bounds what it accepts.
 *
 * @param maxTasks maximum number of tasks of one piece of work, in all its steps
 * @param maxSteps maximum number of steps of one piece of work
 * @param maxPredecessors maximum number of dependencies of one piece of work, in all its steps
 * @param dispatchBytes memory that all work of a dispatcher may take, in bytes
 * @param startBytes memory that unanswered starts of a dispatcher may take, in bytes
 */
public record WorkLimits(
    long maxTasks, long maxSteps, long maxPredecessors, long dispatchBytes, long startBytes) {

  /** No limits. */
  public static final WorkLimits UNLIMITED =
      new WorkLimits(
          Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE, Long.MAX_VALUE);

  /** The part of the free memory that one piece of work may take, as a divisor. */
  private static final long FREE_MEMORY_DIVISOR = 4;

  private static final long HEAP_BYTES_PER_TASK = 16 * 1024;
  private static final long HEAP_BYTES_PER_STEP = 64 * 1024;
  private static final long HEAP_BYTES_PER_PREDECESSOR = 16 * 1024;
  private static final long DISPATCH_DIVISOR = 8;
  private static final long START_DIVISOR = 8;

  /** Returns the limits of a host with the given maximum heap size, in bytes. */
  public static WorkLimits ofHeap(long heapBytes) {
    return new WorkLimits(
        heapBytes / HEAP_BYTES_PER_TASK,
        heapBytes / HEAP_BYTES_PER_STEP,
        heapBytes / HEAP_BYTES_PER_PREDECESSOR,
        heapBytes / DISPATCH_DIVISOR,
        heapBytes / START_DIVISOR);
  }

  /** Returns the limit that a request exceeds by itself; empty if there is none. */
  public Optional<String> violation(WorkRequest request) {
    long tasks = WorkFootprint.taskCount(request);
    long steps = request.steps().size();
    long predecessors =
        request.steps().stream().map(WorkStep::predecessors).mapToLong(it -> it.size()).sum();
    if (tasks > maxTasks) {
      return Optional.of(tasks + " tasks, at most " + maxTasks + " are accepted");
    }
    if (steps > maxSteps) {
      return Optional.of(steps + " steps, at most " + maxSteps + " are accepted");
    }
    if (predecessors > maxPredecessors) {
      return Optional.of(
          predecessors + " dependencies, at most " + maxPredecessors + " are accepted");
    }
    return Optional.empty();
  }

  /**
   * Returns whether a dispatcher has memory for another piece of work.
   *
   * <p>One piece of work gets a part of the free memory only, so that few large ones leave room for
   * many small ones.
   *
   * @param bytes the {@linkplain WorkFootprint#ofDispatch memory} that the work takes
   * @param usedBytes the memory that the present work takes
   */
  public boolean hasRoom(long bytes, long usedBytes) {
    return bytes <= (dispatchBytes - usedBytes) / FREE_MEMORY_DIVISOR;
  }
}
