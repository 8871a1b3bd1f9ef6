package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardMap;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.WorkOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the upstreams and their leases, and handles their answers.
 *
 * <p>Leases are renewed on the upstreams of this host's shard. On an upstream that leaves the
 * shard, no task starts and the lease isn't extended; its runs are over when they end or when the
 * lease does. Hosts don't need to agree on the owner of an upstream: the upstream accepts only the
 * highest token, and the holder of that token doesn't extend the lease while runs unknown to it are
 * there.
 */
final class LeaseTable {

  /**
   * Interval after which an upstream that has seen a higher token is renewed again, in
   * milliseconds. It is longer than a lease, so that a dispatcher that is gone no longer holds the
   * upstream.
   */
  private static final long FENCED_RETRY_INTERVAL_MILLIS = 1_200;

  /**
   * Number of refusals in a row after which this host requests a higher token. They take 2.4 s; a
   * live dispatcher with the higher token would have been in contact by then if it is reachable at
   * all.
   */
  private static final int MAX_CONSECUTIVE_REFUSALS = 3;

  /**
   * Silence of an upstream after which its lease isn't extended, in milliseconds: a poll and its
   * answer, so that one of them may be lost.
   */
  private static final long EXTENSION_SILENCE_TIMEOUT_MILLIS = 450;

  /**
   * Number of renewals in a row that have a short timeout, as single calls are lost. Until an
   * upstream has accepted the token, renewals have the long timeout: the first one opens the
   * connection.
   */
  static final int MAX_SHORT_TIMEOUT_RENEWALS = 2;

  private final DispatchContext context;
  private final LeaseTiming timing;
  private final RunTable runs;
  private final WorkTable works;
  private final TakeoverGrace takeoverGrace;
  private final Map<String, UpstreamLease> upstreams = new LinkedHashMap<>();
  private ShardId ownShard = ShardId.WHOLE_FLEET;
  private ShardMap shards = ShardMap.of(Set.of(ShardId.WHOLE_FLEET));
  private Set<String> evacuatedDomains = Set.of();
  private long lastRenewalNumber;

  LeaseTable(DispatchContext context, LeaseTiming timing, RunTable runs, WorkTable works) {
    this.context = context;
    this.timing = timing;
    this.runs = runs;
    this.works = works;
    this.takeoverGrace = new TakeoverGrace(context);
  }

  Collection<UpstreamLease> allUpstreams() {
    return upstreams.values();
  }

  /** Returns the upstreams on which tasks may start now. */
  List<UpstreamLease> usableUpstreams() {
    return upstreams.values().stream()
        .filter(
            upstream ->
                upstream.isUsable(context.now())
                    && runs.mayExtendLease(upstream)
                    && runs.knowsUsedCapacity(upstream))
        .toList();
  }

  /** Returns the upstreams of this host's shard whose failure domain isn't evacuated. */
  List<UpstreamLease> startableUpstreams() {
    return ownUpstreams().stream().filter(upstream -> !upstream.evacuated).toList();
  }

  /** Returns the upstreams of this host's shard. */
  List<UpstreamLease> ownUpstreams() {
    return upstreams.values().stream().filter(upstream -> upstream.inOwnShard).toList();
  }

  /**
   * Returns whether every upstream of the shard that may be alive has answered a renewal under the
   * current token.
   */
  private boolean allAnswered() {
    return upstreams.values().stream()
        .noneMatch(
            upstream ->
                upstream.inOwnShard && !upstream.tokenAccepted && upstream.unansweredRenewals == 0);
  }

  /** Returns whether work may be refused now for lack of room or for overload. */
  boolean mayRefuseForCapacity() {
    return allAnswered() && !takeoverGrace.defersRefusals(ownUpstreams());
  }

  /** Takes over every upstream of the shard under a new token. */
  void takeOver() {
    takeoverGrace.begin(ownShard);
    ownUpstreams().forEach(upstream -> renew(upstream, false));
  }

  /** Discards the leases and keeps the upstreams. */
  void releaseLeases() {
    upstreams.replaceAll(
        (id, upstream) -> {
          UpstreamLease released = createLease(upstream.announcement);
          released.announced = upstream.announced;
          return released;
        });
  }

  /** Takes over the upstreams that join the shard and gives up those that leave it. */
  void shardsChanged(ShardId own, Set<ShardId> liveShards) {
    Set<ShardId> all = new HashSet<>(liveShards);
    all.add(own);
    ownShard = own;
    shards = ShardMap.of(all);
    context.profiles().setFleetDivided(!own.equals(ShardId.WHOLE_FLEET));
    upstreams.values().forEach(this::updateShardMembership);
  }

  /**
   * Stops starts in the given failure domains, and permits them again in all others. Runs that are
   * under way go on, and their leases are extended.
   */
  void evacuationsChanged(Set<String> domains) {
    evacuatedDomains = domains;
    for (UpstreamLease upstream : upstreams.values()) {
      boolean evacuated = domains.contains(upstream.announcement.domain());
      if (upstream.evacuated && !evacuated) {
        upstream.beginRampUp();
      }
      upstream.evacuated = evacuated;
    }
  }

  private void updateShardMembership(UpstreamLease upstream) {
    boolean inOwnShard = belongsToOwnShard(upstream.announcement);
    if (inOwnShard == upstream.inOwnShard) {
      return;
    }
    upstream.inOwnShard = inOwnShard;
    upstream.consecutiveRefusals = 0;
    if (context.isDispatching()) {
      context.logEvent(
          inOwnShard ? "upstream-gained" : "upstream-given",
          "upstream=" + upstream.announcement.id() + " runs=" + upstream.runs.size());
    }
    if (inOwnShard && context.isDispatching()) {
      // Another dispatcher may have held the upstream in the meantime.
      upstream.tokenAccepted = false;
      renew(upstream, false);
    }
  }

  private boolean belongsToOwnShard(UpstreamAnnouncement announcement) {
    return shards
        .owner(announcement.id(), announcement.domain())
        .filter(ownShard::equals)
        .isPresent();
  }

  private UpstreamLease createLease(UpstreamAnnouncement announcement) {
    UpstreamLease upstream = new UpstreamLease(announcement, belongsToOwnShard(announcement));
    upstream.evacuated = evacuatedDomains.contains(announcement.domain());
    return upstream;
  }

  /**
   * Handles an announcement of an upstream.
   *
   * @return whether tasks may start because of it
   */
  boolean upstreamAnnounced(UpstreamAnnouncement announcement) {
    UpstreamLease known = upstreams.get(announcement.id());
    if (known != null && known.announcement.isSameInstance(announcement)) {
      final boolean isFirst = !known.announced;
      if (isFirst) {
        known.announced = true;
        context.logEvent("upstream-announced", "upstream=" + announcement.id());
      }
      if (known.announcement.leaving() != announcement.leaving()) {
        context.logEvent(
            "upstream-leaving", "upstream=" + announcement.id() + " runs=" + known.runs.size());
      }
      known.announcement = announcement;
      return isFirst;
    }
    if (known != null) {
      boolean isLater = known.announcement.startedAt() < announcement.startedAt();
      if (isLater) {
        replaceInstance(known, announcement, "announced");
      }
      return isLater;
    }
    UpstreamLease upstream = createLease(announcement);
    upstreams.put(announcement.id(), upstream);
    context.logEvent(
        "upstream-found", "upstream=" + announcement.id() + " address=" + announcement.address());
    runs.stopLateStarts(upstream);
    if (context.isDispatching() && upstream.inOwnShard) {
      renew(upstream, false);
    }
    return false;
  }

  /**
   * Replaces the instance of an upstream by a later one under the same id.
   *
   * <p>Orders without an answer may have reached the later instance if it has the same address; an
   * order to another address can't reach it.
   */
  private UpstreamLease replaceInstance(
      UpstreamLease earlier, UpstreamAnnouncement announcement, String reason) {
    final UpstreamLease later = createLease(announcement);
    upstreams.put(announcement.id(), later);
    final int runCount = earlier.runs.size();
    if (announcement.address().equals(earlier.announcement.address())) {
      later.continueCoverage(earlier);
      runs.moveToLaterInstance(earlier, later);
    } else {
      runs.forgetUpstream(earlier);
    }
    context.logEvent(
        "upstream-replaced",
        "upstream="
            + announcement.id()
            + " reason="
            + reason
            + " runs="
            + runCount
            + " moved="
            + later.runs.size());
    runs.stopLateStarts(later);
    if (context.isDispatching() && (later.inOwnShard || earlier.tokenAccepted)) {
      renew(later, false);
    }
    return later;
  }

  /**
   * Returns the instance that answered an order, which may be a later one than the order was sent
   * to; null if that instance is gone or not known.
   *
   * @param addressed the instance to which the order was sent
   * @param startedAt when the instance that answered started; empty if it didn't say so
   */
  private @Nullable UpstreamLease findAnswering(
      UpstreamAnnouncement addressed, OptionalLong startedAt) {
    UpstreamLease known = upstreams.get(addressed.id());
    if (known == null) {
      return null;
    }
    long answeredBy = startedAt.orElse(addressed.startedAt());
    if (isAnswerOf(known, answeredBy)) {
      return known;
    }
    if (answeredBy < known.announcement.startedAt()) {
      return null;
    }
    UpstreamLease later = replaceInstance(known, addressed.restartedAt(answeredBy), "answered");
    later.announced = false;
    return later;
  }

  void upstreamDeparted(UpstreamAnnouncement announcement) {
    UpstreamLease known = upstreams.get(announcement.id());
    boolean coversKnown =
        known != null && (known.announcement.isSameInstance(announcement) || !known.announced);
    if (!coversKnown) {
      return;
    }
    // Its runs may go on until the lease is over, although it has announced its departure.
    known.announcement = asLeaving(known.announcement);
    if (known.runs.isEmpty() && !runs.hasUnclaimedRuns(known)) {
      upstreams.remove(announcement.id());
      context.logEvent("upstream-left", "upstream=" + announcement.id());
    } else {
      known.unansweredRenewals = Math.max(1, known.unansweredRenewals);
    }
  }

  private static UpstreamAnnouncement asLeaving(UpstreamAnnouncement announcement) {
    return new UpstreamAnnouncement(
        announcement.id(),
        announcement.startedAt(),
        announcement.sequence(),
        announcement.service(),
        announcement.address(),
        announcement.domain(),
        true,
        announcement.capacity(),
        announcement.labels());
  }

  /** Records the speeds of known upstreams for a takeover; they apply to the present instances. */
  void speedsReported(Map<String, Double> speeds) {
    speeds.forEach(
        (id, speed) -> {
          UpstreamLease upstream = upstreams.get(id);
          if (upstream != null) {
            context.profiles().recordReport(upstream.announcement, speed);
          }
        });
  }

  void startAnswered(LeaseEvent.StartAnswered answered) {
    runs.startReturned(answered.run());
    UpstreamLease upstream = findAnswering(answered.upstream(), answered.startedAt());
    if (upstream != null) {
      upstream.recordClock(answered.clockMillis(), context.arrivedAt());
    }
    UpstreamLease current = upstreams.get(answered.upstream().id());
    LeasedRun run = current == null ? null : current.runs.get(answered.run());
    if (run == null || run.startsSent == 0) {
      // The run is over, or the order was sent under an earlier role of this host and its run may
      // have been adopted since.
      if (answered.result() != OrderResult.NO_ANSWER) {
        runs.lateStartArrived(answered.run());
      }
    } else {
      run.unansweredStarts--;
      if (answered.result() != OrderResult.NO_ANSWER) {
        run.recordStartAnswered(showsWhereStartArrived(answered));
        runs.recordAnswered(run.lastStartSentAt);
      }
      if (upstream != null) {
        handleStartResult(upstream, run, answered.result());
      } else {
        runs.startArrivedAtEarlierInstance(run, answered.result());
      }
    }
    if (answered.result() == OrderResult.OTHER_LIFE) {
      addressTaken(answered.upstream());
    }
  }

  /**
   * Returns whether an answer shows that a copy of a start can't begin a run at a later instance:
   * it was refused, or carried out by an instance that is known.
   */
  private static boolean showsWhereStartArrived(LeaseEvent.StartAnswered answered) {
    return switch (answered.result()) {
      case NO_ANSWER -> false;
      case DONE -> answered.startedAt().isPresent();
      default -> true;
    };
  }

  private void handleStartResult(UpstreamLease upstream, LeasedRun run, OrderResult result) {
    switch (result) {
      case DONE -> {
        if (run.startsSent == 1) {
          runs.recordAnswerTime(context.now() - run.lastStartSentAt);
        }
        // Only the answer to the stop confirms a run that is being stopped.
        if (run.phase != LeasedRun.Phase.STOPPING) {
          run.confirmedSequence = context.nextSequence();
          run.phase = LeasedRun.Phase.RUNNING;
        }
      }
      case NO_ANSWER -> runs.startUnanswered(run);
      case FENCED -> {
        if (run.startsSent == 1) {
          runs.endRun(run);
        }
        tokenSuperseded(upstream);
      }
      case NO_ROOM, UNWELL, LATE -> runs.startRefused(run, result);
      case OLD -> {
        if (run.phase != LeasedRun.Phase.UNSURE) {
          runs.startRefused(run, result);
        }
      }
      case OTHER_LIFE -> {
        // The instance is gone, as addressTaken records.
      }
      case INVALID -> {
        context.logEvent(
            "start-invalid", "run=" + run.id + " upstream=" + upstream.announcement.id());
        runFailed(run);
      }
      default -> throw new IllegalStateException("unexpected result of a start: " + result);
    }
  }

  void stopAnswered(LeaseEvent.StopAnswered answered) {
    if (answered.result() == OrderResult.OTHER_LIFE) {
      addressTaken(answered.upstream());
      return;
    }
    UpstreamLease upstream = findAnswering(answered.upstream(), answered.startedAt());
    if (upstream == null) {
      return;
    }
    upstream.recordClock(answered.clockMillis(), context.arrivedAt());
    LeasedRun run = upstream.runs.get(answered.run());
    if (run == null || run.stopsSent == 0) {
      return;
    }
    switch (answered.result()) {
      case DONE -> run.confirmedSequence = context.nextSequence();
      case FENCED -> tokenSuperseded(upstream);
      default -> {
        if (run.confirmedSequence == 0) {
          run.lastStopSentAt = 0;
        }
      }
    }
  }

  /**
   * Returns how long this host's clock was paused, in milliseconds, according to the clock reading
   * in an upstream's answer; at most 0 if it was not.
   *
   * @param startedAt when the instance that answered started; another instance has another clock
   */
  long localPauseMillis(
      UpstreamAnnouncement addressed, OptionalLong startedAt, OptionalLong clockMillis) {
    UpstreamLease known = upstreams.get(addressed.id());
    boolean isReadingOfKnown =
        known != null
            && clockMillis.isPresent()
            && isAnswerOf(known, startedAt.orElse(addressed.startedAt()));
    return isReadingOfKnown
        ? known.localPauseMillis(clockMillis.getAsLong(), context.arrivedAt())
        : 0;
  }

  /** Returns whether an answer of the instance with the given start time is one of an upstream. */
  private static boolean isAnswerOf(UpstreamLease upstream, long startedAt) {
    long knownStartedAt = upstream.announcement.startedAt();
    return knownStartedAt == 0 || startedAt == knownStartedAt;
  }

  void renewalAnswered(LeaseEvent.RenewalAnswered answered) {
    UpstreamLease upstream = findAnswering(answered.upstream(), answered.startedAt());
    if (upstream == null || upstream.renewalNumber != answered.renewalNumber()) {
      return;
    }
    upstream.renewalInFlight = false;
    answered
        .clockMillis()
        .ifPresent(clock -> upstream.updateMaxClockLead(clock, context.arrivedAt()));
    upstream.recordClock(answered.clockMillis(), context.arrivedAt());
    OrderResult result = answered.result();
    if (result == OrderResult.DONE && !runs.mayRetain(answered.running())) {
      // Without the list, the lease isn't extended, and the runs end with it.
      context.logEvent(
          "run-list-too-long",
          "upstream=" + upstream.announcement.id() + " runs=" + answered.running().size());
      result = OrderResult.NO_ANSWER;
    }
    switch (result) {
      case DONE -> renewalSucceeded(upstream, answered);
      case FENCED -> tokenSuperseded(upstream);
      case OTHER_LIFE -> addressTaken(answered.upstream());
      default -> {
        upstream.unansweredRenewals++;
        upstream.nextRenewalAt = context.now() + upstream.renewalBackoffMillis();
        if (upstream.unansweredRenewals <= 2) {
          context.logEvent(
              "renewal-unanswered",
              "upstream=" + upstream.announcement.id() + " times=" + upstream.unansweredRenewals);
        }
      }
    }
  }

  private void renewalSucceeded(UpstreamLease upstream, LeaseEvent.RenewalAnswered answered) {
    if (upstream.unansweredRenewals > 2) {
      context.logEvent("upstream-back", "upstream=" + upstream.announcement.id());
    }
    upstream.tokenAccepted = true;
    upstream.lastRenewedAt = context.now();
    runs.recordAnswered(upstream.renewalSentAt);
    upstream.consecutiveRefusals = 0;
    upstream.unansweredRenewals = 0;
    for (RunEnd end : answered.ended()) {
      if (end.number() > upstream.acknowledgedEnd) {
        upstream.acknowledgedEnd = end.number();
        runEnded(upstream, end);
      }
    }
    Set<RunId> running = new HashSet<>(answered.running());
    for (LeasedRun run : List.copyOf(upstream.runs.values())) {
      runs.reconcile(run, running.contains(run.id));
    }
    for (RunId id : running) {
      if (!upstream.runs.containsKey(id)) {
        runFound(id, upstream);
      }
    }
    if (shouldRenew(upstream)) {
      // Renews immediately, as the end of a run is reported only to a renewal that waits at the
      // upstream.
      renew(upstream, true);
    }
  }

  /**
   * Assigns a run of an earlier dispatcher to its work, or retains it until that work is submitted.
   */
  private void runFound(RunId id, UpstreamLease upstream) {
    // The earlier dispatcher may have renewed the lease just before this one took over.
    upstream.extendCoverage(timing, context.now());
    TaskState task = works.findTask(id.task());
    if (task != null && task.isWaiting() && !runs.hasOpenRun(id.task())) {
      runs.adopt(task, upstream, id);
    } else {
      runs.retainRun(id, upstream);
    }
  }

  private void runEnded(UpstreamLease upstream, RunEnd end) {
    LeasedRun run = upstream.runs.get(end.run());
    if (run == null) {
      if (end.cause() == RunEnd.Cause.DONE) {
        works.resultFound(end.run().task());
      }
      return;
    }
    run.recordSeen();
    switch (end.cause()) {
      case DONE -> runSucceeded(run);
      case FAILED -> runFailed(run);
      case CUT_SHORT -> {
        context.logEvent(
            "run-cut-short", "run=" + run.id + " upstream=" + upstream.announcement.id());
        runs.endRun(run);
      }
      default ->
          throw new IllegalStateException("unexpected cause of the end of a run: " + end.cause());
    }
  }

  private void runSucceeded(LeasedRun run) {
    final TaskState task = run.task;
    runs.endRun(run);
    if (!run.overdue) {
      run.upstream.consecutiveFailures = 0;
    }
    run.upstream.recordSuccess();
    if (task != null) {
      task.work.recordRunTime(task.id.step(), context.now() - run.beganAt);
      runs.recordFinished(run, task);
      works.finishTask(task);
    }
  }

  private void runFailed(LeasedRun run) {
    TaskState task = run.task;
    runs.endRun(run);
    run.upstream.recordFailure(run.id.task().work(), context.now());
    if (task == null) {
      return;
    }
    task.failures++;
    task.avoidedUpstream = run.upstream.announcement.id();
    context.logEvent(
        "run-failed",
        "run=" + run.id + " upstream=" + task.avoidedUpstream + " failures=" + task.failures);
    if (task.failures >= task.work.request.maxAttempts()) {
      works.answer(
          task.work, new WorkOutcome.Failed("task " + task.id + " failed " + task.failures));
    }
  }

  /** Removes an upstream, together with its runs, as another upstream uses its address. */
  private void addressTaken(UpstreamAnnouncement addressed) {
    UpstreamLease upstream = upstreams.get(addressed.id());
    if (upstream == null || !upstream.announcement.isSameInstance(addressed)) {
      return;
    }
    context.logEvent(
        "upstream-over",
        "upstream=" + addressed.id() + " reason=other-life runs=" + upstream.runs.size());
    runs.forgetUpstream(upstream);
    upstreams.remove(addressed.id());
  }

  /**
   * Gives up an upstream to the host that holds the higher token.
   *
   * <p>That host is usually a dispatcher on the other side of a partition, and one of the two gives
   * up the role once they are in contact. If the upstream keeps refusing, the higher token may
   * belong to a host that is gone, and only a still higher token helps.
   */
  private void tokenSuperseded(UpstreamLease upstream) {
    if (upstream.consecutiveRefusals > 0 && context.now() < upstream.nextRenewalAt) {
      // The refused order was sent before the first refusal arrived.
      return;
    }
    upstream.tokenAccepted = false;
    if (!upstream.inOwnShard) {
      // The upstream belongs to the dispatcher of another shard now.
      return;
    }
    upstream.consecutiveRefusals++;
    upstream.nextRenewalAt = context.now() + FENCED_RETRY_INTERVAL_MILLIS;
    context.logEvent(
        "outranked",
        "upstream="
            + upstream.announcement.id()
            + " token="
            + context.token()
            + " times="
            + upstream.consecutiveRefusals);
    if (upstream.consecutiveRefusals >= MAX_CONSECUTIVE_REFUSALS) {
      upstream.consecutiveRefusals = 0;
      context.emit(new LeaseEffect.Superseded(context.token(), upstream.hasEverAcceptedToken()));
    }
  }

  void tick() {
    for (UpstreamLease upstream : List.copyOf(upstreams.values())) {
      if (!upstream.renewalInFlight
          && context.now() >= upstream.nextRenewalAt
          && shouldRenew(upstream)) {
        renew(upstream, true);
      }
      boolean silent =
          upstream.unansweredRenewals > 0 || (!upstream.inOwnShard && !upstream.tokenAccepted);
      if (silent) {
        runs.endExpiredRuns(upstream);
      }
      int maxUnanswered = upstream.inOwnShard ? 4 : 0;
      if (upstream.announcement.leaving()
          && upstream.runs.isEmpty()
          && upstream.unansweredRenewals > maxUnanswered) {
        upstreams.remove(upstream.announcement.id());
        context.logEvent("upstream-left", "upstream=" + upstream.announcement.id());
      }
    }
  }

  /**
   * Returns whether an upstream is renewed: one of the shard always, another one while this host
   * still tracks runs there.
   */
  private boolean shouldRenew(UpstreamLease upstream) {
    return upstream.inOwnShard || (upstream.tokenAccepted && !upstream.runs.isEmpty());
  }

  /**
   * Renews the lease of an upstream.
   *
   * <p>The lease isn't extended once no renewal was answered for {@link
   * #EXTENSION_SILENCE_TIMEOUT_MILLIS}: an upstream that receives messages but can't answer would
   * otherwise never end its runs, and their tasks couldn't start elsewhere.
   *
   * @param mayWait whether the renewal may wait at the upstream for the end of a run
   */
  private void renew(UpstreamLease upstream, boolean mayWait) {
    boolean recentlyAnswered =
        context.now() - upstream.lastRenewedAt <= EXTENSION_SILENCE_TIMEOUT_MILLIS;
    boolean extend = upstream.inOwnShard && recentlyAnswered && runs.mayExtendLease(upstream);
    long deadline =
        extend && upstream.tokenAccepted ? upstream.leaseDeadline(timing, context.now()) : 0;
    if (deadline != 0) {
      upstream.extendCoverage(timing, context.now());
    }
    lastRenewalNumber++;
    upstream.renewalNumber = lastRenewalNumber;
    upstream.renewalInFlight = true;
    upstream.renewalSequence = context.nextSequence();
    upstream.renewalSentAt = context.now();
    boolean longPoll = mayWait && upstream.tokenAccepted && upstream.unansweredRenewals == 0;
    context.emit(
        new LeaseEffect.Renew(
            upstream.announcement,
            upstream.renewalNumber,
            context.token(),
            upstream.acknowledgedEnd,
            deadline,
            longPoll ? timing.pollMillis() : 0,
            upstream.tokenAccepted && upstream.unansweredRenewals < MAX_SHORT_TIMEOUT_RENEWALS
                ? runs.renewalTimeoutMillis()
                : timing.answerTimeoutMillis()));
  }
}
