package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkStep;

/**
 * Chooses the upstream for a task.
 *
 * <p>Best fit by processor: two or three tasks fill an upstream, and a task that leaves the
 * smallest rest keeps larger rests whole for larger tasks. Upstreams on the rack of the data go
 * first, since elsewhere the task takes longer.
 */
final class PlacementPolicy {

  private final List<UpstreamLease> candidates;
  private final long now;

  /**
   * The most room that any upstream has in each respect. Under overload nearly every task is turned
   * away by this alone, instead of by a look at each upstream.
   */
  private TaskSize maxFreeCapacity = TaskSize.ZERO;

  /**
   * Creates the policy for one round of placements.
   *
   * @param open the upstreams on which tasks may start now
   * @param now the time in milliseconds
   */
  PlacementPolicy(List<UpstreamLease> open, long now) {
    this.candidates = open;
    this.now = now;
    updateMaxFreeCapacity();
  }

  /** Takes note that a task was started on one of the upstreams. */
  void updateMaxFreeCapacity() {
    maxFreeCapacity = TaskSize.ZERO;
    for (UpstreamLease upstream : candidates) {
      maxFreeCapacity = maxFreeCapacity.max(upstream.freeCapacity());
    }
  }

  /** Returns whether all tasks of the steps that are ready could start now. */
  boolean fitsCompletely(WorkState work) {
    for (int step = 0; step < work.steps.size(); step++) {
      if (work.isReady(step) && !fitsCompletely(work.steps.get(step))) {
        return false;
      }
    }
    return true;
  }

  private boolean fitsCompletely(List<TaskState> tasks) {
    TaskState first = tasks.getFirst();
    if (!first.step.size().fitsInto(maxFreeCapacity)) {
      return false;
    }
    int left = tasks.size();
    for (UpstreamLease upstream : candidates) {
      if (isCompatible(upstream, first)) {
        left -= Math.min(left, first.step.size().maxCountIn(upstream.freeCapacity()));
      }
    }
    return left == 0;
  }

  /** Returns the upstream that is to run the task; empty if none can now. */
  Optional<UpstreamLease> choose(TaskState task) {
    if (!task.step.size().fitsInto(maxFreeCapacity)) {
      return Optional.empty();
    }
    UpstreamLease best = null;
    long bestScore = Long.MAX_VALUE;
    for (UpstreamLease upstream : candidates) {
      if (!isEligible(upstream, task)) {
        continue;
      }
      long score = score(upstream, task);
      if (score < bestScore) {
        best = upstream;
        bestScore = score;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether some upstream of the service could ever run the task, busy or not. */
  static boolean canEverRun(Collection<UpstreamLease> upstreams, TaskState task) {
    return upstreams.stream()
        .anyMatch(
            upstream ->
                isCompatible(upstream, task)
                    && task.step.size().fitsInto(upstream.announcement.capacity()));
  }

  private boolean isEligible(UpstreamLease upstream, TaskState task) {
    return upstream.isUsable(now)
        && upstream.acceptsAnotherTask()
        && isCompatible(upstream, task)
        && task.step.size().fitsInto(upstream.freeCapacity())
        && !upstream.announcement.id().equals(task.avoidedUpstream)
        && isBelowTaskLimit(upstream, task);
  }

  private static boolean isCompatible(UpstreamLease upstream, TaskState task) {
    return upstream.announcement.service().equals(task.work.request.service())
        && task.step.requiredLabel().map(upstream.announcement.labels()::contains).orElse(true);
  }

  private static boolean isBelowTaskLimit(UpstreamLease upstream, TaskState task) {
    int limit = task.step.maxTasksPerUpstream();
    if (limit == 0) {
      return true;
    }
    long there =
        upstream.runs.values().stream()
            .filter(run -> run.id.task().work().equals(task.id.work()))
            .filter(run -> run.id.task().step() == task.id.step())
            .count();
    return there < limit;
  }

  private static long score(UpstreamLease upstream, TaskState task) {
    WorkStep step = task.step;
    TaskSize rest = upstream.freeCapacity().minus(step.size());
    boolean far =
        step.nearRack().map(rack -> !upstream.announcement.labels().contains(rack)).orElse(false);
    long score = rest.cpuMillicores() + ((long) rest.accelerators() << 32);
    return far ? score + (1L << 48) : score;
  }
}
