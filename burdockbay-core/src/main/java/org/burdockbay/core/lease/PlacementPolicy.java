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

  private final List<UpstreamLease> open;
  private final long now;

  /**
   * The most room that any upstream has in each respect. Under overload nearly every task is turned
   * away by this alone, instead of by a look at each upstream.
   */
  private TaskSize mostRoom = TaskSize.ZERO;

  /**
   * Creates the policy for one round of placements.
   *
   * @param open the upstreams on which tasks may start now
   * @param now the time in milliseconds
   */
  PlacementPolicy(List<UpstreamLease> open, long now) {
    this.open = open;
    this.now = now;
    roomChanged();
  }

  /** Takes note that a task was started on one of the upstreams. */
  void roomChanged() {
    mostRoom = TaskSize.ZERO;
    for (UpstreamLease upstream : open) {
      mostRoom = mostRoom.max(upstream.free());
    }
  }

  /** Returns whether all tasks of the steps that are ready could start now. */
  boolean fitsWhole(WorkState work) {
    for (int step = 0; step < work.steps.size(); step++) {
      if (work.ready(step) && !fitsWhole(work.steps.get(step))) {
        return false;
      }
    }
    return true;
  }

  private boolean fitsWhole(List<TaskState> tasks) {
    TaskState first = tasks.getFirst();
    if (!first.step.size().fitsInto(mostRoom)) {
      return false;
    }
    int left = tasks.size();
    for (UpstreamLease upstream : open) {
      if (serves(upstream, first)) {
        left -= Math.min(left, first.step.size().timesInto(upstream.free()));
      }
    }
    return left == 0;
  }

  /** Returns the upstream that is to run the task; empty if none can now. */
  Optional<UpstreamLease> choose(TaskState task) {
    if (!task.step.size().fitsInto(mostRoom)) {
      return Optional.empty();
    }
    UpstreamLease best = null;
    long bestScore = Long.MAX_VALUE;
    for (UpstreamLease upstream : open) {
      if (!eligible(upstream, task)) {
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
  static boolean possible(Collection<UpstreamLease> upstreams, TaskState task) {
    return upstreams.stream()
        .anyMatch(
            upstream ->
                serves(upstream, task) && task.step.size().fitsInto(upstream.notice.capacity()));
  }

  private boolean eligible(UpstreamLease upstream, TaskState task) {
    return upstream.usable(now)
        && upstream.takesMore()
        && serves(upstream, task)
        && task.step.size().fitsInto(upstream.free())
        && !upstream.notice.id().equals(task.avoidedUpstream)
        && belowLimit(upstream, task);
  }

  private static boolean serves(UpstreamLease upstream, TaskState task) {
    return upstream.notice.service().equals(task.work.request.service())
        && task.step.requiredLabel().map(upstream.notice.labels()::contains).orElse(true);
  }

  private static boolean belowLimit(UpstreamLease upstream, TaskState task) {
    int limit = task.step.mostOnOneUpstream();
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
    TaskSize rest = upstream.free().minus(step.size());
    boolean far =
        step.nearRack().map(rack -> !upstream.notice.labels().contains(rack)).orElse(false);
    long score = rest.cpuMillicores() + ((long) rest.accelerators() << 32);
    return far ? score + (1L << 48) : score;
  }
}
