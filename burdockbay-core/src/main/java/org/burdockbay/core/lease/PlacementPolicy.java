package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.profile.UpstreamProfiles;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkStep;

/**
 * Chooses the upstream for a task.
 *
 * <p>Uses best fit by processor: two or three tasks fill an upstream, and choosing the upstream
 * with the smallest remainder keeps larger remainders free for larger tasks. Upstreams on the rack
 * of the data are preferred, since the task takes longer elsewhere. A task whose earlier start may
 * still be carried out prefers the upstream of that start, whose instance refuses it. Where the
 * speeds of upstreams are known, those that are too slow for a prompt answer come last.
 */
final class PlacementPolicy {

  /** Added to the score of upstreams that aren't on the rack of the data. */
  private static final long OFF_RACK_SCORE = 1L << 48;

  /** Added to the score of upstreams on which the run may overlap a late start of its task. */
  private static final long OVERLAP_SCORE = 1L << 50;

  /** Added to the score of upstreams that come last. */
  private static final long TOO_SLOW_SCORE = 1L << 52;

  private final List<UpstreamLease> candidates;
  private final UpstreamProfiles profiles;

  /** The speeds of the candidates; looked up once, as a round compares them for each task. */
  private final double[] speeds;

  private final RunForecast forecast;
  private final LateStarts lateStarts;
  private final long now;

  /**
   * The largest free capacity of any upstream in each dimension. Under overload, this check alone
   * rejects nearly every task, without examining each upstream.
   */
  private TaskSize maxFreeCapacity = TaskSize.ZERO;

  /**
   * Creates the policy for one round of placements.
   *
   * @param candidates the upstreams on which tasks may start now
   * @param context the time, and what is known about upstreams
   * @param lateStarts the earlier starts of tasks that may still be carried out
   */
  PlacementPolicy(List<UpstreamLease> candidates, DispatchContext context, LateStarts lateStarts) {
    this.candidates = candidates;
    this.profiles = context.profiles();
    this.speeds = candidates.stream().mapToDouble(it -> profiles.speed(it.announcement)).toArray();
    this.forecast = new RunForecast(profiles);
    this.lateStarts = lateStarts;
    this.now = context.now();
    updateMaxFreeCapacity();
  }

  /** Recomputes the largest free capacity after a task was started on one of the upstreams. */
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
    int remaining = tasks.size();
    for (UpstreamLease upstream : candidates) {
      if (isCompatible(upstream, first)) {
        remaining -= Math.min(remaining, first.step.size().maxCountIn(upstream.freeCapacity()));
      }
    }
    return remaining == 0;
  }

  /** Returns the upstream on which to start the task; empty if none can run it now. */
  Optional<UpstreamLease> choose(TaskState task) {
    if (!task.step.size().fitsInto(maxFreeCapacity)) {
      return Optional.empty();
    }
    if (!profiles.isInForce()) {
      return chooseBest(task, (upstream, speed) -> score(upstream, task));
    }
    double upperTenthMillis = forecast.upperTenthMillis(task);
    double minSpeed = upperTenthMillis / Math.max(1, forecast.promptAnswerDeadline(task) - now);
    return chooseBest(
        task, (upstream, speed) -> score(upstream, task) + (speed < minSpeed ? TOO_SLOW_SCORE : 0));
  }

  /** Returns the upstream with the lowest score; among equals, the first of the fastest ones. */
  private Optional<UpstreamLease> chooseBest(TaskState task, Scoring scoring) {
    UpstreamLease best = null;
    long bestScore = Long.MAX_VALUE;
    double bestSpeed = 0;
    for (int i = 0; i < speeds.length; i++) {
      UpstreamLease upstream = candidates.get(i);
      if (!isEligible(upstream, task)) {
        continue;
      }
      double speed = speeds[i];
      long score = scoring.score(upstream, speed);
      if (score < bestScore || (score == bestScore && speed > bestSpeed)) {
        best = upstream;
        bestScore = score;
        bestSpeed = speed;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether some upstream of the service could run the task, whatever its present load. */
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
    long running =
        upstream.runs.values().stream()
            .filter(run -> run.id.task().work().equals(task.id.work()))
            .filter(run -> run.id.task().step() == task.id.step())
            .count();
    return running < limit;
  }

  private long score(UpstreamLease upstream, TaskState task) {
    WorkStep step = task.step;
    TaskSize remainder = upstream.freeCapacity().minus(step.size());
    boolean offRack =
        step.nearRack().map(rack -> !upstream.announcement.labels().contains(rack)).orElse(false);
    long score = remainder.cpuMillicores() + ((long) remainder.accelerators() << 32);
    score += offRack ? OFF_RACK_SCORE : 0;
    return score + (lateStarts.mayOverlap(task.id, upstream.announcement, now) ? OVERLAP_SCORE : 0);
  }

  /** Rates a candidate of the given speed; the lowest score is best. */
  private interface Scoring {

    long score(UpstreamLease upstream, double speed);
  }
}
