package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.profile.UpstreamProfiles;

/**
 * Identifies runs that are slower than usual for their kind, early enough for a second run that
 * ends in time for a prompt answer.
 *
 * <p>Such a run doesn't count as a failure of its upstream; that is left to {@link StragglerRule}.
 */
final class SlowRunRule {

  /**
   * Whether runs are moved that are slow by this rule. It pays only if the second run of a task is
   * usually shorter than the rest of a slow first one.
   */
  static final boolean MOVES_SLOW_RUNS = true;

  /** Allowance for calls and lists in flight, in milliseconds. */
  private static final long CALL_ALLOWANCE_MILLIS = 10;

  /**
   * Factor on the expected run time of a second run, so that nine tenths are prompt. Without it,
   * 0.0013 instead of 0.0006 of the usual runs are moved where capacity is scarce.
   */
  private static final double SECOND_RUN_MARGIN = 1.2;

  /** Maximum number of moves of a task. */
  private static final int MAX_MOVES_PER_TASK = 1;

  /**
   * Runs that become slow at the same time on this share of the upstreams with runs, or more, have
   * a common cause: this host is slow itself or was paused.
   */
  private static final double MAX_SLOW_UPSTREAM_SHARE = 0.25;

  private final UpstreamProfiles profiles;
  private final RunForecast forecast;

  SlowRunRule(UpstreamProfiles profiles, RunForecast forecast) {
    this.profiles = profiles;
    this.forecast = forecast;
  }

  /** Returns the slow runs, unless too many upstreams have runs that have just become slow. */
  List<LeasedRun> findSlowRuns(Collection<LeasedRun> runs, long now) {
    if (!MOVES_SLOW_RUNS || !profiles.isInForce()) {
      return List.of();
    }
    Set<UpstreamLease> busyUpstreams = new HashSet<>();
    Set<UpstreamLease> newlySlowUpstreams = new HashSet<>();
    List<LeasedRun> slowRuns = new ArrayList<>();
    for (LeasedRun run : runs) {
      busyUpstreams.add(run.upstream);
      if (isSlow(run, now)) {
        slowRuns.add(run);
        if (!run.slow) {
          newlySlowUpstreams.add(run.upstream);
        }
      }
    }
    boolean fewSlow =
        newlySlowUpstreams.size() <= 1
            || newlySlowUpstreams.size() < MAX_SLOW_UPSTREAM_SHARE * busyUpstreams.size();
    if (!fewSlow) {
      return List.of();
    }
    slowRuns.forEach(run -> run.slow = true);
    return slowRuns;
  }

  private boolean isSlow(LeasedRun run, long now) {
    TaskState task = run.task;
    return run.phase == LeasedRun.Phase.RUNNING
        && task != null
        && run.startsSent == 1
        && task.moves < MAX_MOVES_PER_TASK
        && now - run.beganAt
            > forecast.slowRunMillis(task, profiles.speed(run.upstream.announcement))
                + CALL_ALLOWANCE_MILLIS;
  }

  /** Returns whether a second run that starts now on the given upstream would be prompt. */
  boolean isWorthMoving(TaskState task, UpstreamLease upstream, long now) {
    double secondRunMillis =
        SECOND_RUN_MARGIN * forecast.usualMillis(task) / profiles.speed(upstream.announcement);
    return now + secondRunMillis <= forecast.promptAnswerDeadline(task);
  }
}
