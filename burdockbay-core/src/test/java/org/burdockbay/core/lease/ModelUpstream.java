package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.TaskSize;

/**
 * An upstream that follows the dispatcher's contract on leases, fencing, runs and their ends.
 *
 * <p>An order names the upstream by its id alone, so whatever process runs under the id when the
 * order arrives carries it out. A process that has restarted knows nothing of before, and its clock
 * begins anew.
 */
final class ModelUpstream {

  static final TaskSize CAPACITY = new TaskSize(32_000, 64_000, 0);

  private static final long MAX_LEASE_MILLIS = 1_000;
  private static final long MAX_PING_DELAY_MILLIS = 100;

  final String id;
  final String domain;
  final double clockRate;
  private final LeaseModel model;
  private final Map<RunId, Run> running = new LinkedHashMap<>();
  private final Map<TaskId, Long> highestEndedRuns = new HashMap<>();
  private final List<RunEnd> ended = new ArrayList<>();
  private final List<OpenRenewal> openRenewals = new ArrayList<>();
  boolean up = true;
  boolean leaving;
  boolean failsAllTasks;
  boolean hangsTasks;
  long sequence;

  /** Whether connections are refused while it is down; otherwise calls get no answer. */
  boolean refusesConnections;

  /** Separate from the model's generators, so that the sequences of other simulations stay. */
  private final SplittableRandom restartRandom;

  private long startedAt;

  /** When its clock showed 0, by the model's clock. */
  private long clockStartedAt;

  private long token;
  private long leaseEndsAt;
  private long lastEndNumber;

  ModelUpstream(LeaseModel model, String id, String domain, double clockRate) {
    this.model = model;
    this.id = id;
    this.domain = domain;
    this.clockRate = clockRate;
    this.startedAt = 1;
    this.restartRandom = model.randomOf(id);
  }

  /** Returns when its present or last process started. */
  long startedAt() {
    return startedAt;
  }

  UpstreamAnnouncement announcement() {
    return new UpstreamAnnouncement(
        id, startedAt, sequence, "desk", id + ":1", domain, leaving, CAPACITY, Set.of("a"));
  }

  /** Ends the upstream's instance, together with all its runs. */
  void crash() {
    up = false;
    refusesConnections = restartRandom.nextBoolean();
    List.copyOf(running.keySet()).forEach(run -> end(run, null));
    ended.clear();
    highestEndedRuns.clear();
    openRenewals.clear();
    token = 0;
    leaseEndsAt = 0;
    lastEndNumber = 0;
  }

  /** Receives the token of a dispatcher outside the model. */
  void observeToken(long otherToken) {
    token = Math.max(token, otherToken);
  }

  long token() {
    return token;
  }

  /** Starts again under the same id; in half of the cases, it soon announces itself. */
  void restart() {
    if (up) {
      return;
    }
    up = true;
    leaving = false;
    startedAt = model.now();
    clockStartedAt = model.now();
    sequence = 0;
    if (restartRandom.nextBoolean()) {
      model.announce(this, 1 + restartRandom.nextLong(MAX_PING_DELAY_MILLIS));
    }
  }

  long clock() {
    return (long) ((model.now() - clockStartedAt) * clockRate);
  }

  OrderResult start(LeaseEffect.Start start) {
    OrderResult refusal = checkOrder(start.token());
    if (refusal != null) {
      return refusal;
    }
    RunId id = start.run();
    if (running.containsKey(id)) {
      extendLease(start.deadlineMillis());
      return OrderResult.DONE;
    }
    if (start.deadlineMillis() <= clock()) {
      return OrderResult.LATE;
    }
    extendLease(start.deadlineMillis());
    boolean isOutdated =
        running.keySet().stream()
            .anyMatch(run -> run.task().equals(id.task()) && run.number() >= id.number());
    if (isOutdated || highestEndedRuns.getOrDefault(id.task(), 0L) >= id.number()) {
      return OrderResult.OLD;
    }
    int used = running.size() * LeaseModel.TASK_CPU;
    if (used + LeaseModel.TASK_CPU > CAPACITY.cpuMillicores()) {
      return OrderResult.NO_ROOM;
    }
    Run run = new Run(id);
    running.put(id, run);
    boolean isAddressed = start.upstream().startedAt() == startedAt;
    model.recordStart(id, this, isAddressed);
    if (!hangsTasks) {
      model.schedule(model.randomRunMillis(), () -> finish(run));
    }
    return OrderResult.DONE;
  }

  OrderResult stop(LeaseEffect.Stop stop) {
    OrderResult refusal = checkOrder(stop.token());
    if (refusal != null) {
      return refusal;
    }
    highestEndedRuns.merge(stop.run().task(), stop.run().number(), Math::max);
    Run run = running.get(stop.run());
    if (run != null) {
      model.schedule(model.random().nextLong(50), () -> endIfRunning(run, RunEnd.Cause.CUT_SHORT));
    }
    return OrderResult.DONE;
  }

  /** Answers immediately if runs have ended, otherwise at the next end or after the wait. */
  void renew(LeaseEffect.Renew renew, Consumer<LeaseEvent.RenewalAnswered> answer) {
    OrderResult refusal = checkOrder(renew.token());
    if (refusal != null) {
      answer.accept(renewalAnswer(renew, refusal));
      return;
    }
    extendLease(renew.deadlineMillis());
    ended.removeIf(end -> end.number() <= renew.acknowledgedEnd());
    OpenRenewal renewal = new OpenRenewal(renew, answer);
    if (!ended.isEmpty() || renew.waitMillis() == 0) {
      renewal.answer();
    } else {
      openRenewals.add(renewal);
      model.schedule(renew.waitMillis(), renewal::answer);
    }
  }

  private LeaseEvent.RenewalAnswered renewalAnswer(LeaseEffect.Renew renew, OrderResult result) {
    boolean done = result == OrderResult.DONE;
    return new LeaseEvent.RenewalAnswered(
        renew.upstream(),
        renew.renewalNumber(),
        result,
        OptionalLong.of(clock()),
        OptionalLong.of(startedAt),
        done ? List.copyOf(running.keySet()) : List.of(),
        done ? ended : List.of());
  }

  private OrderResult checkOrder(long orderToken) {
    if (orderToken < token) {
      return OrderResult.FENCED;
    }
    token = orderToken;
    return null;
  }

  private void extendLease(long deadlineMillis) {
    long newLeaseEndsAt = Math.min(deadlineMillis, clock() + MAX_LEASE_MILLIS);
    if (newLeaseEndsAt > leaseEndsAt) {
      leaseEndsAt = newLeaseEndsAt;
      long instanceStartedAt = startedAt;
      long remainingMillis = (long) Math.ceil((newLeaseEndsAt - clock()) / clockRate) + 1;
      model.schedule(remainingMillis, () -> expireLease(instanceStartedAt));
    }
  }

  private void expireLease(long instanceStartedAt) {
    if (up && instanceStartedAt == startedAt && clock() >= leaseEndsAt) {
      List.copyOf(running.keySet()).forEach(run -> end(run, RunEnd.Cause.CUT_SHORT));
    }
  }

  private void finish(Run run) {
    endIfRunning(run, failsAllTasks ? RunEnd.Cause.FAILED : RunEnd.Cause.DONE);
  }

  private void endIfRunning(Run run, RunEnd.Cause cause) {
    if (running.get(run.id) == run) {
      end(run.id, cause);
    }
  }

  private void end(RunId id, RunEnd.Cause cause) {
    running.remove(id);
    highestEndedRuns.merge(id.task(), id.number(), Math::max);
    model.recordEnd(id, this, cause);
    if (cause != null) {
      lastEndNumber++;
      ended.add(new RunEnd(lastEndNumber, id, cause));
      List<OpenRenewal> renewals = List.copyOf(openRenewals);
      openRenewals.clear();
      renewals.forEach(OpenRenewal::answer);
    }
  }

  private static final class Run {

    private final RunId id;

    Run(RunId id) {
      this.id = id;
    }
  }

  private final class OpenRenewal {

    private final LeaseEffect.Renew renew;
    private final Consumer<LeaseEvent.RenewalAnswered> answer;
    private final long upstreamStartedAt = startedAt;
    private boolean answered;

    OpenRenewal(LeaseEffect.Renew renew, Consumer<LeaseEvent.RenewalAnswered> answer) {
      this.renew = renew;
      this.answer = answer;
    }

    void answer() {
      if (!answered && up && upstreamStartedAt == startedAt) {
        answered = true;
        openRenewals.remove(this);
        answer.accept(renewalAnswer(renew, OrderResult.DONE));
      }
    }
  }
}
