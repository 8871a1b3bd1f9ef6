package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Tells runs that take much longer than their like.
 *
 * <p>An upstream that hangs or has turned slow announces itself as before and answers every call;
 * only what it does with work shows it. Wide jobs suffer most: one task of eight on a slow upstream
 * makes the whole answer late.
 */
final class StragglerRule {

  /** How many times the expected time a run may take; estimates and tasks differ by less. */
  private static final double MAX_RUN_TIME_RATIO = 3;

  /** What is added for calls and lists on their way, in milliseconds. */
  private static final long CALL_ALLOWANCE_MILLIS = 40;

  /**
   * By how much a caller's estimate may be too short, as long as no sibling is done: then the job
   * and not the upstream may be what is slow.
   */
  private static final double ESTIMATE_MARGIN = 2.5;

  /** A task is moved so often at most; one that is slow everywhere is its own fault. */
  private static final int MAX_MOVES_PER_TASK = 1;

  /**
   * Upstreams with overdue runs count as slow only while they are fewer than this share of those
   * that run something. Where more are, the cause is common to all: this host is slow itself, or
   * stood still, or has just taken the runs over.
   */
  private static final double MAX_SLOW_UPSTREAM_SHARE = 0.25;

  /** Returns the runs that have taken much longer than expected, while their peers haven't. */
  List<LeasedRun> findStragglers(Collection<LeasedRun> runs, long now) {
    Set<UpstreamLease> busy = new HashSet<>();
    Set<UpstreamLease> slow = new HashSet<>();
    List<LeasedRun> overdue = new ArrayList<>();
    for (LeasedRun run : runs) {
      busy.add(run.upstream);
      if (isOverdue(run, now)) {
        slow.add(run.upstream);
        overdue.add(run);
      }
    }
    boolean few = slow.size() == 1 || slow.size() < MAX_SLOW_UPSTREAM_SHARE * busy.size();
    return few ? overdue : List.of();
  }

  private static boolean isOverdue(LeasedRun run, long now) {
    TaskState task = run.task;
    return run.phase == LeasedRun.Phase.RUNNING
        && task != null
        && now - run.beganAt > MAX_RUN_TIME_RATIO * expectedMillis(task) + CALL_ALLOWANCE_MILLIS;
  }

  /** Returns whether the task, started anew elsewhere, could still end before its caller leaves. */
  boolean isWorthMoving(TaskState task, long now) {
    return task.moves < MAX_MOVES_PER_TASK && now + expectedMillis(task) < task.work.expiresAt();
  }

  /** Returns how long a task is expected to run: as long as the others of its step have. */
  private static double expectedMillis(TaskState task) {
    return task.work
        .meanRunMillis(task.id.step())
        .orElse(ESTIMATE_MARGIN * task.step.estimateMillis());
  }
}
