package org.burdockbay.core.lease;

import java.util.Collection;
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

  private PlacementPolicy() {}

  static Optional<UpstreamLease> choose(
      Collection<UpstreamLease> upstreams, TaskState task, long now) {
    UpstreamLease best = null;
    long bestScore = Long.MAX_VALUE;
    for (UpstreamLease upstream : upstreams) {
      if (!eligible(upstream, task, now)) {
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

  private static boolean eligible(UpstreamLease upstream, TaskState task, long now) {
    return upstream.usable(now)
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
