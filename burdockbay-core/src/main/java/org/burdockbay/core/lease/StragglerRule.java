package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Identifies runs that take much longer than comparable ones.
 *
 * <p>An upstream that hangs or has become slow keeps announcing itself and answers every call; only
 * the run times of its tasks show the fault. Wide jobs suffer most: one task of eight on a slow
 * upstream delays the whole answer.
 */
final class StragglerRule {

  /** Maximum ratio of a run's time to the expected time; estimates and tasks vary by less. */
  private static final double MAX_RUN_TIME_RATIO = 3;

  /** Allowance for calls and lists in flight, in milliseconds. */
  private static final long CALL_ALLOWANCE_MILLIS = 40;

  /**
   * Factor on a caller's estimate while no sibling task is done: until then the job may be slow
   * rather than the upstream.
   */
  private static final double ESTIMATE_MARGIN = 2.5;

  /**
   * Maximum number of moves of a task; a task that is slow everywhere is slow through its own
   * fault.
   */
  private static final int MAX_MOVES_PER_TASK = 1;

  /**
   * Upstreams with overdue runs count as slow only while they are fewer than this share of the
   * upstreams with runs, or while there is just one. If there are more, the cause is common to all
   * of them: this host is slow itself, was paused, or has just taken over the runs.
   */
  private static final double MAX_SLOW_UPSTREAM_SHARE = 0.25;

  /**
   * Returns the runs that have taken much longer than expected, unless too many upstreams have such
   * runs.
   */
  List<LeasedRun> findStragglers(Collection<LeasedRun> runs, long now) {
    Set<UpstreamLease> busyUpstreams = new HashSet<>();
    Set<UpstreamLease> slowUpstreams = new HashSet<>();
    List<LeasedRun> overdueRuns = new ArrayList<>();
    for (LeasedRun run : runs) {
      busyUpstreams.add(run.upstream);
      if (isOverdue(run, now)) {
        slowUpstreams.add(run.upstream);
        overdueRuns.add(run);
      }
    }
    boolean fewSlow =
        slowUpstreams.size() == 1
            || slowUpstreams.size() < MAX_SLOW_UPSTREAM_SHARE * busyUpstreams.size();
    return fewSlow ? overdueRuns : List.of();
  }

  private static boolean isOverdue(LeasedRun run, long now) {
    TaskState task = run.task;
    return run.phase == LeasedRun.Phase.RUNNING
        && task != null
        && now - run.beganAt > MAX_RUN_TIME_RATIO * expectedMillis(task) + CALL_ALLOWANCE_MILLIS;
  }

  /** Returns whether the task, restarted elsewhere, could still end before its caller's timeout. */
  boolean isWorthMoving(TaskState task, long now) {
    return task.moves < MAX_MOVES_PER_TASK && now + expectedMillis(task) < task.work.expiresAt();
  }

  /**
   * Returns the expected run time of a task, in milliseconds: the mean of the finished tasks of its
   * step, or else the caller's estimate with a margin.
   */
  private static double expectedMillis(TaskState task) {
    return task.work
        .meanRunMillis(task.id.step())
        .orElse(ESTIMATE_MARGIN * task.step.estimateMillis());
  }
}
