package org.burdockbay.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.burdockbay.core.limits.WorkLimits;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;

/**
 * Keeps the runs that were ordered and aren't known to be over, by task.
 *
 * <p>A task has at most one such run, and starts again only once that run is over.
 */
final class RunTable {

  /**
   * Maximum number of copies of an order, each of which may be lost; after that, the upstreams'
   * lists of runs decide.
   */
  private static final int MAX_COPIES = 4;

  /** A renewal counts as lost after this multiple of the usual time for an answer. */
  private static final double RENEWAL_TIMEOUT_RATIO = 5;

  /** The weight of the newest answer in the moving average of answer times. */
  private static final double NEWEST_ANSWER_WEIGHT = 0.1;

  /**
   * An order counts as lost only if a call that was sent at least this much later was answered, in
   * milliseconds; answers to calls that were sent together arrive in any order.
   */
  private static final long REORDERING_TOLERANCE_MILLIS = 10;

  private final DispatchContext context;
  private final LeaseTiming timing;
  private final Map<TaskId, LeasedRun> openRuns = new HashMap<>();

  /** Number of open runs of each piece of work that has any. */
  private final Map<String, Integer> openRunCounts = new HashMap<>();

  private final TakenOverRuns takenOverRuns = new TakenOverRuns();
  private final UnansweredStarts unansweredStarts;
  private final LateStarts lateStarts;
  private final RunForecast forecast;

  /** Moving average of the time until a start is answered, in milliseconds. */
  private double meanAnswerMillis;

  /** When the most recently sent of the answered calls was sent, in milliseconds. */
  private long newestAnsweredSentAt;

  RunTable(DispatchContext context, LeaseTiming timing, WorkLimits limits) {
    this.context = context;
    this.timing = timing;
    this.unansweredStarts = new UnansweredStarts(limits.startBytes(), timing);
    this.lateStarts = new LateStarts(timing);
    this.forecast = new RunForecast(context.profiles());
  }

  /** Records how long a start took to be answered, in milliseconds. */
  void recordAnswerTime(long millis) {
    meanAnswerMillis += NEWEST_ANSWER_WEIGHT * (millis - meanAnswerMillis);
  }

  /** Records that a call sent at the given time was answered. */
  void recordAnswered(long sentAt) {
    newestAnsweredSentAt = Math.max(newestAnsweredSentAt, sentAt);
  }

  /**
   * Returns whether an unanswered order that was sent at the given time counts as lost.
   *
   * <p>It does so only once later calls were answered: when this host or the network is slow, all
   * answers are late, and copies would add to the load that causes the delay. Without this rule, a
   * host that takes over with a cold process would send four copies of each of its first starts.
   */
  private boolean isLost(long sentAt) {
    return context.now() - sentAt >= timing.resendIntervalMillis()
        && newestAnsweredSentAt - sentAt >= REORDERING_TOLERANCE_MILLIS;
  }

  /**
   * Returns the silence beyond its wait after which a renewal counts as lost, in milliseconds.
   *
   * <p>It follows the usual answer time: when this host or the network is slow, all answers are
   * late, and copies would add to the load.
   */
  long renewalTimeoutMillis() {
    return Math.clamp(
        Math.round(RENEWAL_TIMEOUT_RATIO * meanAnswerMillis),
        timing.resendIntervalMillis(),
        timing.answerTimeoutMillis());
  }

  /** Returns whether a task is neither done nor may have a run under way. */
  boolean isWaiting(TaskState task) {
    return task.isWaiting() && !hasOpenRun(task.id);
  }

  /** Returns whether a run of the task may be under way. */
  boolean hasOpenRun(TaskId task) {
    return openRuns.containsKey(task);
  }

  /** Returns whether a run of the work may be under way. */
  boolean hasOpenRuns(String workId) {
    return openRunCounts.containsKey(workId);
  }

  private void addOpenRun(TaskId task, LeasedRun run) {
    if (openRuns.put(task, run) == null) {
      openRunCounts.merge(task.work(), 1, Integer::sum);
    }
  }

  private void removeOpenRun(LeasedRun run) {
    if (openRuns.remove(run.id.task(), run)) {
      openRunCounts.computeIfPresent(
          run.id.task().work(), (work, count) -> count > 1 ? count - 1 : null);
    }
  }

  void clear() {
    openRuns.clear();
    openRunCounts.clear();
    takenOverRuns.clear();
    lateStarts.clear();
  }

  /** Returns whether a start of the task may be sent beside those that aren't answered yet. */
  boolean mayStart(TaskState task) {
    return unansweredStarts.hasRoom(task.work.request.payload());
  }

  /**
   * Returns the policy for a round of placements.
   *
   * @param candidates the upstreams on which tasks may start now
   */
  PlacementPolicy placement(List<UpstreamLease> candidates) {
    return new PlacementPolicy(candidates, context, lateStarts);
  }

  /** Records that a copy of a start was answered or has failed. */
  void startReturned(RunId run) {
    unansweredStarts.answered(run);
  }

  void start(TaskState task, UpstreamLease upstream) {
    task.lastRunNumber++;
    RunId id = new RunId(task.id, task.lastRunNumber);
    LeasedRun run = new LeasedRun(id, upstream, task, context.now());
    task.run = run;
    task.work.mayHaveStarted = true;
    upstream.addRun(run);
    addOpenRun(task.id, run);
    upstream.extendCoverage(timing, context.now());
    run.leaseEndMillis = upstream.leaseDeadline(timing, context.now());
    sendStart(run, task);
    context.logEvent(
        "run-begun",
        "run="
            + id
            + " upstream="
            + upstream.announcement.id()
            + " age="
            + (context.now() - task.work.arrivedAt)
            + " free="
            + upstream.freeCapacity().cpuMillicores());
  }

  private void sendStart(LeasedRun run, TaskState task) {
    unansweredStarts.sent(run.id, task.work.request.payload(), context.now());
    context.emit(
        new LeaseEffect.Start(
            run.upstream.announcement,
            run.id,
            task.work.request.payload(),
            context.token(),
            run.leaseEndMillis));
  }

  /**
   * Assigns to the work its runs and results of an earlier dispatcher that upstreams have listed.
   */
  void adoptRuns(WorkState work) {
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        if (takenOverRuns.claimResult(task.id)) {
          work.markFinished(task);
          continue;
        }
        takenOverRuns
            .claimRun(task.id)
            .ifPresent(found -> adopt(task, found.upstream(), found.run()));
      }
    }
  }

  void adopt(TaskState task, UpstreamLease upstream, RunId id) {
    LeasedRun run = new LeasedRun(id, upstream, task, context.now());
    run.phase = LeasedRun.Phase.RUNNING;
    run.startsSent = 0;
    run.unansweredStarts = 0;
    run.lateStarts = 0;
    run.unattributedStarts = 0;
    run.confirmedSequence = context.nextSequence();
    task.run = run;
    task.lastRunNumber = Math.max(task.lastRunNumber, id.number());
    task.work.mayHaveStarted = true;
    upstream.addRun(run);
    addOpenRun(task.id, run);
    context.logEvent("run-adopted", "run=" + id + " upstream=" + upstream.announcement.id());
  }

  /** Returns whether the runs that an upstream lists can be retained, even if all are unknown. */
  boolean mayRetain(List<RunId> listed) {
    return takenOverRuns.hasRoom(listed.size());
  }

  /** Retains a run of an earlier dispatcher until its work is submitted. */
  void retainRun(RunId id, UpstreamLease upstream) {
    takenOverRuns.addRun(id, upstream, context.now());
  }

  /** Retains a result of an earlier dispatcher until its work is submitted. */
  void retainResult(TaskId task) {
    takenOverRuns.addResult(task, context.now());
  }

  /**
   * Reconciles a run with an upstream's list of runs.
   *
   * <p>A list proves that a run is over only if it was requested after the start or stop was
   * confirmed. Answers on several connections overtake each other, and a list made before a start
   * may arrive after the confirmation of the start; accepted as proof, it would let the task run
   * twice.
   *
   * @param listed whether the list contains the run
   */
  void reconcile(LeasedRun run, boolean listed) {
    if (listed) {
      run.recordSeen();
    }
    boolean listedAfterConfirmation =
        run.confirmedSequence != 0 && run.confirmedSequence < run.upstream.renewalSequence;
    switch (run.phase) {
      case UNSURE -> {
        if (listed) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmedSequence = context.nextSequence();
        } else {
          stop(run);
        }
      }
      case RUNNING, STOPPING -> {
        if (!listed && listedAfterConfirmation) {
          endMissingRun(run);
        } else if (run.phase == LeasedRun.Phase.STOPPING && run.lastStopSentAt == 0) {
          stop(run);
        }
      }
      case STARTING -> {
        if (listed) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmedSequence = context.nextSequence();
        }
      }
      default -> throw new IllegalStateException("unexpected phase of a run: " + run.phase);
    }
  }

  private void endMissingRun(LeasedRun run) {
    context.logEvent(
        "run-missing",
        "run="
            + run.id
            + " upstream="
            + run.upstream.announcement.id()
            + " phase="
            + run.phase
            + " confirmed="
            + run.confirmedSequence
            + " asked="
            + run.upstream.renewalSequence);
    endRun(run);
  }

  /**
   * Handles the refusal of a start.
   *
   * <p>A start that was sent several times may be refused because an earlier copy ran and ended,
   * and a delayed copy may still be carried out. The run then counts as over only once a stop is
   * confirmed, after which the upstream refuses every copy.
   */
  void startRefused(LeasedRun run, OrderResult result) {
    context.logEvent(
        "start-refused",
        "run="
            + run.id
            + " upstream="
            + run.upstream.announcement.id()
            + " result="
            + result
            + " sent="
            + run.startsSent);
    if (result != OrderResult.OLD) {
      run.upstream.pauseStarts(context.now());
    }
    if (run.startsSent == 1) {
      endRun(run);
    } else if (run.phase == LeasedRun.Phase.STARTING) {
      stop(run);
    }
  }

  /** Handles the missing answer to a copy of a start. */
  void startUnanswered(LeasedRun run) {
    if (run.unansweredStarts == 0 && run.phase == LeasedRun.Phase.STARTING) {
      markUnsure(run);
    }
  }

  /**
   * Handles an answer to a copy of a start that shows that it didn't begin the run at the present
   * instance of the upstream. The run is over if no other copy can.
   */
  void startArrivedAtEarlierInstance(LeasedRun run, OrderResult result) {
    if (result == OrderResult.NO_ANSWER) {
      startUnanswered(run);
    } else if (run.unattributedStarts == 0 && run.phase == LeasedRun.Phase.UNSURE) {
      endRun(run);
    }
  }

  private void markUnsure(LeasedRun run) {
    run.phase = LeasedRun.Phase.UNSURE;
    context.logEvent(
        "start-unanswered", "run=" + run.id + " upstream=" + run.upstream.announcement.id());
  }

  void stop(LeasedRun run) {
    run.phase = LeasedRun.Phase.STOPPING;
    run.confirmedSequence = 0;
    run.stopsSent = 0;
    sendStop(run);
  }

  /** Stops the runs of work; its tasks wait again once these are over. */
  void stopRunsOf(WorkState work) {
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        LeasedRun run = task.run;
        if (run != null && run.phase != LeasedRun.Phase.STOPPING) {
          stop(run);
        }
      }
    }
  }

  private void sendStop(LeasedRun run) {
    run.lastStopSentAt = context.now();
    run.stopsSent++;
    context.emit(new LeaseEffect.Stop(run.upstream.announcement, run.id, context.token()));
  }

  /** Records that a copy of the start of a run that is over has been carried out or refused. */
  void lateStartArrived(RunId run) {
    lateStarts.copyArrived(run);
  }

  /** Records that a run is over, whatever its result; its task may start again. */
  void endRun(LeasedRun run) {
    if (run.lateStarts > 0) {
      lateStarts.add(run);
    }
    run.upstream.removeRun(run);
    removeOpenRun(run);
    TaskState task = run.task;
    if (task != null) {
      task.run = null;
      run.task = null;
    }
  }

  /** Records that the runs on a silent upstream are over whose leases have expired. */
  void endExpiredRuns(UpstreamLease upstream) {
    List<LeasedRun> expired =
        upstream.runs.values().stream()
            .filter(run -> context.now() > upstream.coveredUntil(run))
            .toList();
    if (!expired.isEmpty()) {
      context.logEvent(
          "lease-over", "upstream=" + upstream.announcement.id() + " runs=" + expired.size());
      expired.forEach(this::endRun);
    }
  }

  /** Records that an upstream's instance is gone, and with it all its runs. */
  void forgetUpstream(UpstreamLease upstream) {
    List.copyOf(upstream.runs.values()).forEach(this::endRun);
    takenOverRuns.forgetUpstream(upstream);
  }

  /**
   * Moves the runs that may be at a later instance of an upstream to that instance, and ends those
   * that are known to be gone with the earlier one.
   *
   * <p>An order names the upstream by its id alone, so the later instance carries out an order to
   * the earlier one that reaches it. The next list of runs shows which runs it has; the others are
   * stopped there before their tasks start elsewhere.
   */
  void moveToLaterInstance(UpstreamLease earlier, UpstreamLease later) {
    for (LeasedRun run : List.copyOf(earlier.runs.values())) {
      boolean isGone = run.startsSent > 0 && run.unattributedStarts == 0;
      if (isGone) {
        endRun(run);
      } else {
        // An earlier dispatcher may have sent several copies of a start.
        earlier.removeRun(run);
        run.upstream = later;
        run.confirmedSequence = 0;
        later.addRun(run);
        if (run.phase == LeasedRun.Phase.STOPPING) {
          stop(run);
        } else {
          run.phase = LeasedRun.Phase.UNSURE;
        }
      }
    }
    takenOverRuns.forgetUpstream(earlier);
  }

  /** Stops the runs at a new instance of an upstream whose starts it may still carry out. */
  void stopLateStarts(UpstreamLease upstream) {
    for (RunId run : lateStarts.runsAt(upstream.announcement)) {
      if (!upstream.runs.containsKey(run)) {
        stopUnknown(run, upstream);
      }
    }
  }

  /** Returns whether an upstream has unclaimed runs of an earlier dispatcher. */
  boolean hasUnclaimedRuns(UpstreamLease upstream) {
    return takenOverRuns.hasRunsOn(upstream);
  }

  /**
   * Stops overdue runs whose tasks can be placed on another upstream.
   *
   * @param usableUpstreams supplies the upstreams on which tasks may start now
   */
  void moveStragglers(StragglerRule rule, Supplier<List<UpstreamLease>> usableUpstreams) {
    List<LeasedRun> stragglers = rule.findStragglers(openRuns.values(), context.now());
    if (!stragglers.isEmpty()) {
      PlacementPolicy placement = placement(usableUpstreams.get());
      stragglers.forEach(run -> handleStraggler(run, rule, placement));
    }
  }

  /** Records the run time of a finished run for the profiles. */
  void recordFinished(LeasedRun run, TaskState task) {
    long runMillis = context.arrivedAt() - run.beganAt;
    forecast.recordFinished(run, task, runMillis);
  }

  private void handleStraggler(LeasedRun run, StragglerRule rule, PlacementPolicy placement) {
    TaskState task = run.task;
    if (task == null) {
      return;
    }
    if (!run.overdue) {
      run.overdue = true;
      run.upstream.recordFailure(task.work.request.id(), context.now());
      context.logEvent(
          "run-overdue",
          "run="
              + run.id
              + " upstream="
              + run.upstream.announcement.id()
              + " age="
              + (context.now() - run.beganAt)
              + " estimate="
              + task.step.estimateMillis());
    }
    task.avoidedUpstream = run.upstream.announcement.id();
    boolean startMayBeLate =
        run.lateStarts > 0
            && context.now() - run.lastStartSentAt <= timing.maxLeaseAtOtherInstanceMillis();
    if (!startMayBeLate
        && rule.isWorthMoving(task, context.now())
        && placement.choose(task).isPresent()) {
      task.moves++;
      context.logEvent(
          "run-moved", "run=" + run.id + " upstream=" + run.upstream.announcement.id());
      stop(run);
    }
  }

  void tick() {
    unansweredStarts.tick(context.now());
    lateStarts.tick(context.now());
    openRuns.values().forEach(this::resendIfLost);
    takenOverRuns.removeUnclaimed(context.now()).forEach(this::stopUnclaimed);
  }

  /**
   * Sends an unanswered order again if it counts as lost; a start isn't sent again to an upstream
   * whose failure domain was evacuated meanwhile.
   *
   * <p>An order or its answer may be lost or delayed for seconds while the next call succeeds. The
   * copies carry the same run, so the upstream carries out at most one of them. They also carry the
   * same end of the lease: a later one would apply to all runs on the upstream, including those
   * that are being stopped.
   */
  private void resendIfLost(LeasedRun run) {
    switch (run.phase) {
      case STARTING -> resendStartIfLost(run);
      case STOPPING -> {
        boolean unanswered = run.confirmedSequence == 0 && run.lastStopSentAt != 0;
        if (unanswered && run.stopsSent < MAX_COPIES && isLost(run.lastStopSentAt)) {
          sendStop(run);
        }
      }
      default -> {
        // No order is in flight.
      }
    }
  }

  private void resendStartIfLost(LeasedRun run) {
    TaskState task = run.task;
    if (context.now() - run.beganAt >= timing.answerTimeoutMillis()) {
      markUnsure(run);
    } else if (task != null
        && !run.upstream.evacuated
        && run.startsSent < MAX_COPIES
        && isLost(run.lastStartSentAt)
        && mayStart(task)) {
      run.recordResent(context.now());
      sendStart(run, task);
      context.logEvent(
          "start-resent",
          "run="
              + run.id
              + " upstream="
              + run.upstream.announcement.id()
              + " times="
              + run.startsSent
              + " silence="
              + (context.now() - run.beganAt));
    }
  }

  private void stopUnclaimed(TakenOverRuns.FoundRun found) {
    context.logEvent(
        "run-unclaimed", "run=" + found.run() + " upstream=" + found.upstream().announcement.id());
    stopUnknown(found.run(), found.upstream());
  }

  /** Stops a run whose size and task aren't known. */
  private void stopUnknown(RunId id, UpstreamLease upstream) {
    LeasedRun run = new LeasedRun(id, upstream, context.now());
    upstream.addRun(run);
    if (!hasOpenRun(id.task())) {
      addOpenRun(id.task(), run);
    }
    stop(run);
  }

  /**
   * Returns whether the lease of an upstream may be extended.
   *
   * <p>A lease covers all runs on the upstream. A run that is to be stopped, or that is unclaimed,
   * may start elsewhere under another dispatcher as soon as its present lease is over; an extension
   * would let the two runs overlap.
   */
  boolean mayExtendLease(UpstreamLease upstream) {
    return !hasUnclaimedRuns(upstream)
        && upstream.runs.values().stream()
            .noneMatch(run -> run.phase == LeasedRun.Phase.STOPPING && run.confirmedSequence == 0);
  }

  /**
   * Returns whether the capacity that the runs on an upstream take is known. A run that is being
   * stopped takes its capacity until it has ended.
   */
  boolean knowsUsedCapacity(UpstreamLease upstream) {
    return upstream.runs.values().stream().allMatch(run -> run.hasKnownSize);
  }
}
