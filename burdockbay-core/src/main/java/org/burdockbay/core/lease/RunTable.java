package org.burdockbay.core.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;

/**
 * The runs that were told to start and aren't known to be over, by task.
 *
 * <p>A task has at most one of them. It starts again only once that one is over.
 */
final class RunTable {

  /** An order is sent so often at most before lists decide; each copy may be lost by itself. */
  private static final int MAX_COPIES = 4;

  /** A renewal counts as lost after so many times the usual time for an answer. */
  private static final double RENEWAL_TIMEOUT_RATIO = 5;

  /** The weight of the newest answer in the usual time for one. */
  private static final double NEWEST_ANSWER_WEIGHT = 0.1;

  /**
   * How much later than an order another one was sent, in milliseconds, whose answer shows that the
   * first one is lost; answers of calls that were sent together come in any order.
   */
  private static final long REORDERING_TOLERANCE_MILLIS = 10;

  private final DispatchContext context;
  private final LeaseTiming timing;
  private final Map<TaskId, LeasedRun> openRuns = new HashMap<>();
  private final TakenOverRuns takenOverRuns = new TakenOverRuns();

  /** How long starts take to be answered, in milliseconds; a moving average. */
  private double meanAnswerMillis;

  /** When the newest call that was answered had been sent, in milliseconds. */
  private long newestAnsweredSentAt;

  RunTable(DispatchContext context, LeaseTiming terms) {
    this.context = context;
    this.timing = terms;
  }

  /** Takes note of how long a start took to be answered, in milliseconds. */
  void recordAnswerTime(long millis) {
    meanAnswerMillis += NEWEST_ANSWER_WEIGHT * (millis - meanAnswerMillis);
  }

  /** Takes note that a call that was sent at some time was answered. */
  void recordAnswered(long sentAt) {
    newestAnsweredSentAt = Math.max(newestAnsweredSentAt, sentAt);
  }

  /**
   * Returns whether an order that was sent at some time and isn't answered counts as lost.
   *
   * <p>Only once later calls were answered: where this host or the network is slow, all answers are
   * late, and copies would add to the load that makes it slow. A host that takes over on a cold
   * process would send four copies of each of its first starts.
   */
  private boolean isLost(long sentAt) {
    return context.now() - sentAt >= timing.resendIntervalMillis()
        && newestAnsweredSentAt - sentAt >= REORDERING_TOLERANCE_MILLIS;
  }

  /**
   * Returns the silence beyond its wait after which a renewal counts as lost, in milliseconds.
   *
   * <p>It follows what is usual, for the same reason.
   */
  long renewalTimeoutMillis() {
    return Math.clamp(
        Math.round(RENEWAL_TIMEOUT_RATIO * meanAnswerMillis),
        timing.resendIntervalMillis(),
        timing.answerTimeoutMillis());
  }

  /** Returns whether a run of the task may be under way. */
  boolean hasOpenRun(TaskId task) {
    return openRuns.containsKey(task);
  }

  void clear() {
    openRuns.clear();
    takenOverRuns.clear();
  }

  void start(TaskState task, UpstreamLease upstream) {
    task.lastRunNumber++;
    RunId id = new RunId(task.id, task.lastRunNumber);
    LeasedRun run = new LeasedRun(id, upstream, task, context.now());
    task.run = run;
    task.work.mayHaveStarted = true;
    upstream.addRun(run);
    openRuns.put(task.id, run);
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
    context.emit(
        new LeaseEffect.Start(
            run.upstream.announcement,
            run.id,
            task.work.request.payload(),
            context.token(),
            run.leaseEndMillis));
  }

  /** Gives the work the runs that an earlier dispatcher started and that were found running. */
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
    run.confirmedSequence = context.nextSequence();
    task.run = run;
    task.lastRunNumber = Math.max(task.lastRunNumber, id.number());
    task.work.mayHaveStarted = true;
    upstream.addRun(run);
    openRuns.put(task.id, run);
    context.logEvent("run-adopted", "run=" + id + " upstream=" + upstream.announcement.id());
  }

  /** Keeps a run or result of an earlier dispatcher for the work that it belongs to. */
  void retainRun(RunId id, UpstreamLease upstream) {
    takenOverRuns.addRun(id, upstream, context.now());
  }

  /** Keeps a result of an earlier dispatcher for the work that it belongs to. */
  void retainResult(TaskId task) {
    takenOverRuns.addResult(task, context.now());
  }

  /**
   * Compares a run with the list of an upstream's runs.
   *
   * <p>A list proves that a run is over only if it was asked for after the start or stop was
   * confirmed. Answers on several connections overtake each other, and a list that was made before
   * a start may come after its confirmation; taken for proof, it would let the task run twice.
   */
  void reconcile(LeasedRun run, boolean there) {
    boolean listedSince =
        run.confirmedSequence != 0 && run.confirmedSequence < run.upstream.renewalSequence;
    switch (run.phase) {
      case UNSURE -> {
        if (there) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmedSequence = context.nextSequence();
        } else {
          stop(run);
        }
      }
      case RUNNING, STOPPING -> {
        if (!there && listedSince) {
          endMissingRun(run);
        } else if (run.phase == LeasedRun.Phase.STOPPING && run.lastStopSentAt == 0) {
          stop(run);
        }
      }
      case STARTING -> {
        if (there) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmedSequence = context.nextSequence();
        }
      }
      default -> throw new IllegalStateException("unknown phase " + run.phase);
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
   * Takes note that a start was refused.
   *
   * <p>A start that was sent several times may be refused since an earlier copy ran and ended, and
   * a copy that is held up may be carried out later. The run then counts as over only once a stop
   * was confirmed, after which the upstream refuses every copy.
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

  /** Takes note that a copy of a start gets no answer. */
  void startUnanswered(LeasedRun run) {
    if (run.unansweredStarts == 0 && run.phase == LeasedRun.Phase.STARTING) {
      markUnsure(run);
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

  private void sendStop(LeasedRun run) {
    run.lastStopSentAt = context.now();
    run.stopsSent++;
    context.emit(new LeaseEffect.Stop(run.upstream.announcement, run.id, context.token()));
  }

  /** Takes note that a run is over, whatever became of it; its task may start again. */
  void endRun(LeasedRun run) {
    run.upstream.removeRun(run);
    openRuns.remove(run.id.task(), run);
    TaskState task = run.task;
    if (task != null) {
      task.run = null;
      run.task = null;
    }
  }

  /** Takes note that everything that ran on an upstream is over. */
  void endRunsOn(UpstreamLease upstream) {
    List.copyOf(upstream.runs.values()).forEach(this::endRun);
  }

  /** Takes note that an upstream's life is over, with all that ran there. */
  void forgetUpstream(UpstreamLease upstream) {
    endRunsOn(upstream);
    takenOverRuns.forgetUpstream(upstream);
  }

  /** Returns whether an upstream has runs of an earlier dispatcher that nobody has claimed yet. */
  boolean hasUnclaimedRuns(UpstreamLease upstream) {
    return takenOverRuns.hasRunsOn(upstream);
  }

  /**
   * Takes runs that are overdue from their upstreams, where another one has room for the task.
   *
   * @param open the upstreams on which tasks may start now
   */
  void moveStragglers(StragglerRule rule, Supplier<List<UpstreamLease>> open) {
    List<LeasedRun> stragglers = rule.findStragglers(openRuns.values(), context.now());
    if (!stragglers.isEmpty()) {
      PlacementPolicy placement = new PlacementPolicy(open.get(), context.now());
      stragglers.forEach(run -> handleStraggler(run, rule, placement));
    }
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
    if (rule.isWorthMoving(task, context.now()) && placement.choose(task).isPresent()) {
      task.moves++;
      context.logEvent(
          "run-moved", "run=" + run.id + " upstream=" + run.upstream.announcement.id());
      stop(run);
    }
  }

  void tick() {
    openRuns.values().forEach(this::resendIfLost);
    takenOverRuns.removeUnclaimed(context.now()).forEach(this::stopUnclaimed);
  }

  /**
   * Sends an order again that wasn't answered.
   *
   * <p>An order or its answer may be lost or held up for seconds, while the next call works. The
   * copies carry the same run, so the upstream carries out one of them at most, and the same end of
   * the lease: a later one would hold for all that runs there, also for what is being stopped.
   */
  private void resendIfLost(LeasedRun run) {
    switch (run.phase) {
      case STARTING -> resendStartIfLost(run);
      case STOPPING -> {
        boolean open = run.confirmedSequence == 0 && run.lastStopSentAt != 0;
        if (open && run.stopsSent < MAX_COPIES && isLost(run.lastStopSentAt)) {
          sendStop(run);
        }
      }
      default -> {
        // Nothing is on its way.
      }
    }
  }

  private void resendStartIfLost(LeasedRun run) {
    TaskState task = run.task;
    if (context.now() - run.beganAt >= timing.answerTimeoutMillis()) {
      markUnsure(run);
    } else if (task != null && run.startsSent < MAX_COPIES && isLost(run.lastStartSentAt)) {
      run.lastStartSentAt = context.now();
      run.startsSent++;
      run.unansweredStarts++;
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
    LeasedRun run = new LeasedRun(found.run(), found.upstream(), context.now());
    found.upstream().addRun(run);
    openRuns.putIfAbsent(found.run().task(), run);
    stop(run);
  }

  /**
   * Returns whether the lease of an upstream may be made longer.
   *
   * <p>A lease covers everything that runs on the upstream. A run that is to stop, or that nobody
   * has claimed, may start elsewhere under another dispatcher as soon as the lease that it had is
   * over; a longer one would let the two overlap.
   */
  boolean mayExtendLease(UpstreamLease upstream) {
    return !hasUnclaimedRuns(upstream)
        && upstream.runs.values().stream()
            .noneMatch(run -> run.phase == LeasedRun.Phase.STOPPING && run.confirmedSequence == 0);
  }
}
