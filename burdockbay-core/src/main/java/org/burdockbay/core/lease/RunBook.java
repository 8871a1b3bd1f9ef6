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
final class RunBook {

  /** An order is sent so often at most before lists decide; each copy may be lost by itself. */
  private static final int MOST_COPIES = 4;

  /** A renewal counts as lost after so many times the usual time for an answer. */
  private static final double LOST_RATIO = 5;

  /** The weight of the newest answer in the usual time for one. */
  private static final double NEWEST_WEIGHT = 0.1;

  /**
   * How much later than an order another one was sent, in milliseconds, whose answer shows that the
   * first one is lost; answers of calls that were sent together come in any order.
   */
  private static final long OVERTAKEN_MILLIS = 10;

  private final DispatchContext context;
  private final LeaseTerms terms;
  private final Map<TaskId, LeasedRun> openRuns = new HashMap<>();
  private final TakenOverRuns takenOver = new TakenOverRuns();

  /** How long starts take to be answered, in milliseconds; a moving average. */
  private double answerMillis;

  /** When the newest call that was answered had been sent, in milliseconds. */
  private long newestAnsweredSentAt;

  RunBook(DispatchContext context, LeaseTerms terms) {
    this.context = context;
    this.terms = terms;
  }

  /** Takes note of how long a start took to be answered, in milliseconds. */
  void answeredAfter(long millis) {
    answerMillis += NEWEST_WEIGHT * (millis - answerMillis);
  }

  /** Takes note that a call that was sent at some time was answered. */
  void answered(long sentAt) {
    newestAnsweredSentAt = Math.max(newestAnsweredSentAt, sentAt);
  }

  /**
   * Returns whether an order that was sent at some time and isn't answered counts as lost.
   *
   * <p>Only once later calls were answered: where this host or the network is slow, all answers are
   * late, and copies would add to the load that makes it slow. A host that takes over on a cold
   * process would send four copies of each of its first starts.
   */
  private boolean lost(long sentAt) {
    return context.now() - sentAt >= terms.resendMillis()
        && newestAnsweredSentAt - sentAt >= OVERTAKEN_MILLIS;
  }

  /**
   * Returns the silence beyond its wait after which a renewal counts as lost, in milliseconds.
   *
   * <p>It follows what is usual, for the same reason.
   */
  long renewalMillis() {
    return Math.clamp(
        Math.round(LOST_RATIO * answerMillis), terms.resendMillis(), terms.answerMillis());
  }

  /** Returns whether a run of the task may be under way. */
  boolean open(TaskId task) {
    return openRuns.containsKey(task);
  }

  void clear() {
    openRuns.clear();
    takenOver.clear();
  }

  void start(TaskState task, UpstreamLease upstream) {
    task.lastRun++;
    RunId id = new RunId(task.id, task.lastRun);
    LeasedRun run = new LeasedRun(id, upstream, task, context.now());
    task.run = run;
    task.work.offered = true;
    upstream.add(run);
    openRuns.put(task.id, run);
    upstream.covered(terms, context.now());
    run.leaseEnd = upstream.deadline(terms, context.now());
    sendStart(run, task);
    context.note(
        "run-begun",
        "run="
            + id
            + " upstream="
            + upstream.notice.id()
            + " age="
            + (context.now() - task.work.arrivedAt)
            + " free="
            + upstream.free().cpuMillicores());
  }

  private void sendStart(LeasedRun run, TaskState task) {
    context.emit(
        new LeaseEffect.Start(
            run.upstream.notice,
            run.id,
            task.work.request.payload(),
            context.token(),
            run.leaseEnd));
  }

  /** Gives the work the runs that an earlier dispatcher started and that were found running. */
  void adoptAll(WorkState work) {
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        if (takenOver.takeFinished(task.id)) {
          work.finished(task);
          continue;
        }
        takenOver
            .takeRunning(task.id)
            .ifPresent(found -> adopt(task, found.upstream(), found.run()));
      }
    }
  }

  void adopt(TaskState task, UpstreamLease upstream, RunId id) {
    LeasedRun run = new LeasedRun(id, upstream, task, context.now());
    run.phase = LeasedRun.Phase.RUNNING;
    run.startsSent = 0;
    run.startsOpen = 0;
    run.confirmed = context.nextOrder();
    task.run = run;
    task.lastRun = Math.max(task.lastRun, id.run());
    task.work.offered = true;
    upstream.add(run);
    openRuns.put(task.id, run);
    context.note("run-adopted", "run=" + id + " upstream=" + upstream.notice.id());
  }

  /** Keeps a run or result of an earlier dispatcher for the work that it belongs to. */
  void keepRunning(RunId id, UpstreamLease upstream) {
    takenOver.foundRunning(id, upstream, context.now());
  }

  /** Keeps a result of an earlier dispatcher for the work that it belongs to. */
  void keepFinished(TaskId task) {
    takenOver.foundFinished(task, context.now());
  }

  /**
   * Compares a run with the list of an upstream's runs.
   *
   * <p>A list proves that a run is over only if it was asked for after the start or stop was
   * confirmed. Answers on several connections overtake each other, and a list that was made before
   * a start may come after its confirmation; taken for proof, it would let the task run twice.
   */
  void compare(LeasedRun run, boolean there) {
    boolean listedSince = run.confirmed != 0 && run.confirmed < run.upstream.renewalSent;
    switch (run.phase) {
      case UNSURE -> {
        if (there) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmed = context.nextOrder();
        } else {
          stop(run);
        }
      }
      case RUNNING, STOPPING -> {
        if (!there && listedSince) {
          missing(run);
        } else if (run.phase == LeasedRun.Phase.STOPPING && run.stopSentAt == 0) {
          stop(run);
        }
      }
      case STARTING -> {
        if (there) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmed = context.nextOrder();
        }
      }
      default -> throw new IllegalStateException("unknown phase " + run.phase);
    }
  }

  private void missing(LeasedRun run) {
    context.note(
        "run-missing",
        "run="
            + run.id
            + " upstream="
            + run.upstream.notice.id()
            + " phase="
            + run.phase
            + " confirmed="
            + run.confirmed
            + " asked="
            + run.upstream.renewalSent);
    runOver(run);
  }

  /**
   * Takes note that a start was refused.
   *
   * <p>A start that was sent several times may be refused since an earlier copy ran and ended, and
   * a copy that is held up may be carried out later. The run then counts as over only once a stop
   * was confirmed, after which the upstream refuses every copy.
   */
  void refused(LeasedRun run, OrderResult result) {
    context.note(
        "start-refused",
        "run="
            + run.id
            + " upstream="
            + run.upstream.notice.id()
            + " result="
            + result
            + " sent="
            + run.startsSent);
    if (result != OrderResult.OLD) {
      run.upstream.pause(context.now());
    }
    if (run.startsSent == 1) {
      runOver(run);
    } else if (run.phase == LeasedRun.Phase.STARTING) {
      stop(run);
    }
  }

  /** Takes note that a copy of a start gets no answer. */
  void startUnanswered(LeasedRun run) {
    if (run.startsOpen == 0 && run.phase == LeasedRun.Phase.STARTING) {
      unsure(run);
    }
  }

  private void unsure(LeasedRun run) {
    run.phase = LeasedRun.Phase.UNSURE;
    context.note("start-unanswered", "run=" + run.id + " upstream=" + run.upstream.notice.id());
  }

  void stop(LeasedRun run) {
    run.phase = LeasedRun.Phase.STOPPING;
    run.confirmed = 0;
    run.stopsSent = 0;
    sendStop(run);
  }

  private void sendStop(LeasedRun run) {
    run.stopSentAt = context.now();
    run.stopsSent++;
    context.emit(new LeaseEffect.Stop(run.upstream.notice, run.id, context.token()));
  }

  /** Takes note that a run is over, whatever became of it; its task may start again. */
  void runOver(LeasedRun run) {
    run.upstream.remove(run);
    openRuns.remove(run.id.task(), run);
    TaskState task = run.task;
    if (task != null) {
      task.run = null;
      run.task = null;
    }
  }

  /** Takes note that everything that ran on an upstream is over. */
  void allOver(UpstreamLease upstream) {
    List.copyOf(upstream.runs.values()).forEach(this::runOver);
  }

  /** Takes note that an upstream's life is over, with all that ran there. */
  void forget(UpstreamLease upstream) {
    allOver(upstream);
    takenOver.forget(upstream);
  }

  /** Returns whether an upstream has runs of an earlier dispatcher that nobody has claimed yet. */
  boolean unclaimedOn(UpstreamLease upstream) {
    return takenOver.anyOn(upstream);
  }

  /**
   * Takes runs that are overdue from their upstreams, where another one has room for the task.
   *
   * @param open the upstreams on which tasks may start now
   */
  void moveStragglers(StragglerRule rule, Supplier<List<UpstreamLease>> open) {
    List<LeasedRun> stragglers = rule.stragglers(openRuns.values(), context.now());
    if (!stragglers.isEmpty()) {
      PlacementPolicy placement = new PlacementPolicy(open.get(), context.now());
      stragglers.forEach(run -> straggles(run, rule, placement));
    }
  }

  private void straggles(LeasedRun run, StragglerRule rule, PlacementPolicy placement) {
    TaskState task = run.task;
    if (task == null) {
      return;
    }
    if (!run.overdue) {
      run.overdue = true;
      run.upstream.disappointed(task.work.request.id(), context.now());
      context.note(
          "run-overdue",
          "run="
              + run.id
              + " upstream="
              + run.upstream.notice.id()
              + " age="
              + (context.now() - run.sentAt)
              + " estimate="
              + task.step.estimateMillis());
    }
    task.avoidedUpstream = run.upstream.notice.id();
    if (rule.worthMoving(task, context.now()) && placement.choose(task).isPresent()) {
      task.moves++;
      context.note("run-moved", "run=" + run.id + " upstream=" + run.upstream.notice.id());
      stop(run);
    }
  }

  void tick() {
    openRuns.values().forEach(this::sendAgain);
    takenOver.expire(context.now()).forEach(this::stopUnclaimed);
  }

  /**
   * Sends an order again that wasn't answered.
   *
   * <p>An order or its answer may be lost or held up for seconds, while the next call works. The
   * copies carry the same run, so the upstream carries out one of them at most, and the same end of
   * the lease: a later one would hold for all that runs there, also for what is being stopped.
   */
  private void sendAgain(LeasedRun run) {
    switch (run.phase) {
      case STARTING -> startAgain(run);
      case STOPPING -> {
        boolean open = run.confirmed == 0 && run.stopSentAt != 0;
        if (open && run.stopsSent < MOST_COPIES && lost(run.stopSentAt)) {
          sendStop(run);
        }
      }
      default -> {
        // Nothing is on its way.
      }
    }
  }

  private void startAgain(LeasedRun run) {
    TaskState task = run.task;
    if (context.now() - run.sentAt >= terms.answerMillis()) {
      unsure(run);
    } else if (task != null && run.startsSent < MOST_COPIES && lost(run.startSentAt)) {
      run.startSentAt = context.now();
      run.startsSent++;
      run.startsOpen++;
      sendStart(run, task);
      context.note(
          "start-resent",
          "run="
              + run.id
              + " upstream="
              + run.upstream.notice.id()
              + " times="
              + run.startsSent
              + " silence="
              + (context.now() - run.sentAt));
    }
  }

  private void stopUnclaimed(TakenOverRuns.Found found) {
    context.note(
        "run-unclaimed", "run=" + found.run() + " upstream=" + found.upstream().notice.id());
    LeasedRun run = new LeasedRun(found.run(), found.upstream(), context.now());
    found.upstream().add(run);
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
  boolean mayExtend(UpstreamLease upstream) {
    return !unclaimedOn(upstream)
        && upstream.runs.values().stream()
            .noneMatch(run -> run.phase == LeasedRun.Phase.STOPPING && run.confirmed == 0);
  }
}
