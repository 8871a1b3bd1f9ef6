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
 * The upstreams, the leases that are kept there, and what they tell of their runs.
 *
 * <p>Leases are kept on the upstreams of this host's shard. On one that leaves it nothing starts
 * and no lease is made longer, and its runs are over when they end or their lease does. No two
 * hosts need to agree on whose an upstream is: it obeys the highest token, and whoever holds that
 * one makes no lease longer while runs that it doesn't know are there.
 */
final class LeaseTable {

  /**
   * An upstream that has seen a higher token is asked again after this, in milliseconds: longer
   * than a lease, so that a dispatcher that is gone doesn't hold it any more.
   */
  private static final long FENCED_RETRY_INTERVAL_MILLIS = 1_200;

  /**
   * After so many refusals in a row this host asks for a higher token: 2.4 s, in which a live
   * dispatcher that holds the higher one would have been heard if it can be heard at all.
   */
  private static final int MAX_CONSECUTIVE_REFUSALS = 3;

  /**
   * Silence of an upstream after which its lease isn't extended any more, in milliseconds: a poll
   * and its answer, so that one of them may be lost.
   */
  private static final long EXTENSION_SILENCE_TIMEOUT_MILLIS = 450;

  /**
   * So many renewals in a row get a short time for their answer, as single calls are lost; the
   * first one of all, which connects, does not.
   */
  static final int MAX_SHORT_TIMEOUT_RENEWALS = 2;

  private final DispatchContext context;
  private final LeaseTiming timing;
  private final RunTable runs;
  private final WorkTable works;
  private final Map<String, UpstreamLease> upstreams = new LinkedHashMap<>();
  private ShardId ownShard = ShardId.WHOLE_FLEET;
  private ShardMap shards = ShardMap.of(Set.of(ShardId.WHOLE_FLEET));
  private long lastRenewalNumber;

  LeaseTable(DispatchContext context, LeaseTiming terms, RunTable runs, WorkTable works) {
    this.context = context;
    this.timing = terms;
    this.runs = runs;
    this.works = works;
  }

  Collection<UpstreamLease> allUpstreams() {
    return upstreams.values();
  }

  /** Returns the upstreams on which tasks may start now. */
  List<UpstreamLease> usableUpstreams() {
    return upstreams.values().stream()
        .filter(upstream -> upstream.isUsable(context.now()) && runs.mayExtendLease(upstream))
        .toList();
  }

  /** Returns the upstreams of this host's shard. */
  List<UpstreamLease> ownUpstreams() {
    return upstreams.values().stream().filter(upstream -> upstream.inOwnShard).toList();
  }

  /** Returns whether each upstream that may be alive has answered under the present token. */
  boolean allAnswered() {
    return upstreams.values().stream()
        .noneMatch(
            upstream ->
                upstream.inOwnShard && !upstream.tokenAccepted && upstream.unansweredRenewals == 0);
  }

  /** Takes every upstream of the shard over under a new token. */
  void takeOver() {
    ownUpstreams().forEach(upstream -> renew(upstream, false));
  }

  /** Forgets the leases, and keeps the upstreams. */
  void releaseLeases() {
    upstreams.replaceAll((id, upstream) -> createLease(upstream.announcement));
  }

  /** Takes the upstreams over that come into the shard, and lets go of those that leave it. */
  void shardsChanged(ShardId own, Set<ShardId> live) {
    Set<ShardId> all = new HashSet<>(live);
    all.add(own);
    ownShard = own;
    shards = ShardMap.of(all);
    upstreams.values().forEach(this::updateShardMembership);
  }

  private void updateShardMembership(UpstreamLease upstream) {
    boolean inScope = belongsToOwnShard(upstream.announcement);
    if (inScope == upstream.inOwnShard) {
      return;
    }
    upstream.inOwnShard = inScope;
    upstream.consecutiveRefusals = 0;
    if (context.isDispatching()) {
      context.logEvent(
          inScope ? "upstream-gained" : "upstream-given",
          "upstream=" + upstream.announcement.id() + " runs=" + upstream.runs.size());
    }
    if (inScope && context.isDispatching()) {
      // Another dispatcher may have had it meanwhile.
      upstream.tokenAccepted = false;
      renew(upstream, false);
    }
  }

  private boolean belongsToOwnShard(UpstreamAnnouncement notice) {
    return shards.owner(notice.id(), notice.domain()).filter(ownShard::equals).isPresent();
  }

  private UpstreamLease createLease(UpstreamAnnouncement notice) {
    return new UpstreamLease(notice, belongsToOwnShard(notice));
  }

  void upstreamAnnounced(UpstreamAnnouncement notice) {
    UpstreamLease known = upstreams.get(notice.id());
    if (known != null && known.announcement.isSameInstance(notice)) {
      if (known.announcement.leaving() != notice.leaving()) {
        context.logEvent(
            "upstream-leaving", "upstream=" + notice.id() + " runs=" + known.runs.size());
      }
      known.announcement = notice;
      return;
    }
    if (known != null) {
      if (known.announcement.startedAt() > notice.startedAt()) {
        return;
      }
      instanceGone(known, "reborn");
    }
    UpstreamLease upstream = createLease(notice);
    upstreams.put(notice.id(), upstream);
    context.logEvent("upstream-found", "upstream=" + notice.id() + " address=" + notice.address());
    if (context.isDispatching() && upstream.inOwnShard) {
      renew(upstream, false);
    }
  }

  void upstreamDeparted(UpstreamAnnouncement notice) {
    UpstreamLease known = upstreams.get(notice.id());
    if (known == null || !known.announcement.isSameInstance(notice)) {
      return;
    }
    // What it ran may go on until the lease is over, although it said that it has left.
    known.announcement = asLeaving(known.announcement);
    if (known.runs.isEmpty() && !runs.hasUnclaimedRuns(known)) {
      upstreams.remove(notice.id());
      context.logEvent("upstream-left", "upstream=" + notice.id());
    } else {
      known.unansweredRenewals = Math.max(1, known.unansweredRenewals);
    }
  }

  private static UpstreamAnnouncement asLeaving(UpstreamAnnouncement notice) {
    return new UpstreamAnnouncement(
        notice.id(),
        notice.startedAt(),
        notice.sequence(),
        notice.service(),
        notice.address(),
        notice.domain(),
        true,
        notice.capacity(),
        notice.labels());
  }

  void startAnswered(LeaseEvent.StartAnswered answered) {
    UpstreamLease upstream = findInstance(answered.upstream());
    if (upstream == null) {
      return;
    }
    upstream.recordClock(answered.clockMillis(), context.arrivedAt());
    LeasedRun run = upstream.runs.get(answered.run());
    if (answered.result() == OrderResult.OTHER_LIFE) {
      instanceGone(upstream, "other-life");
      return;
    }
    if (run == null || run.startsSent == 0) {
      // The order of an earlier role of this host; its run may have been adopted since.
      return;
    }
    run.unansweredStarts--;
    if (answered.result() != OrderResult.NO_ANSWER) {
      runs.recordAnswered(run.lastStartSentAt);
    }
    switch (answered.result()) {
      case DONE -> {
        if (run.startsSent == 1) {
          runs.recordAnswerTime(context.now() - run.lastStartSentAt);
        }
        // A run that is being stopped is confirmed by the answer to the stop only.
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
      case NO_ROOM, UNWELL, LATE -> runs.startRefused(run, answered.result());
      case OLD -> {
        if (run.phase != LeasedRun.Phase.UNSURE) {
          runs.startRefused(run, answered.result());
        }
      }
      case INVALID -> {
        context.logEvent(
            "start-invalid", "run=" + run.id + " upstream=" + upstream.announcement.id());
        runFailed(run);
      }
      default -> throw new IllegalStateException("handled before: " + answered.result());
    }
  }

  void stopAnswered(LeaseEvent.StopAnswered answered) {
    UpstreamLease upstream = findInstance(answered.upstream());
    if (upstream == null) {
      return;
    }
    upstream.recordClock(answered.clockMillis(), context.arrivedAt());
    if (answered.result() == OrderResult.OTHER_LIFE) {
      instanceGone(upstream, "other-life");
      return;
    }
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
   * Returns for how long this host's clock has stood still, in milliseconds, judging by the clock
   * reading in an upstream's answer; at most 0 if it has not.
   */
  long localPauseMillis(UpstreamAnnouncement notice, OptionalLong clockMillis) {
    UpstreamLease upstream = findInstance(notice);
    return upstream == null || clockMillis.isEmpty()
        ? 0
        : upstream.localPauseMillis(clockMillis.getAsLong(), context.arrivedAt());
  }

  void renewalAnswered(LeaseEvent.RenewalAnswered answered) {
    UpstreamLease upstream = findInstance(answered.upstream());
    if (upstream == null || upstream.renewalNumber != answered.renewalNumber()) {
      return;
    }
    upstream.renewalInFlight = false;
    answered
        .clockMillis()
        .ifPresent(clock -> upstream.updateMaxClockLead(clock, context.arrivedAt()));
    upstream.recordClock(answered.clockMillis(), context.arrivedAt());
    switch (answered.result()) {
      case DONE -> renewalSucceeded(upstream, answered);
      case FENCED -> tokenSuperseded(upstream);
      case OTHER_LIFE -> instanceGone(upstream, "other-life");
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
      // At once: until the next call waits there, no end of a run is heard of.
      renew(upstream, true);
    }
  }

  /** Gives a run of an earlier dispatcher to the work that it belongs to, now or once it comes. */
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
    switch (end.cause()) {
      case DONE -> runSucceeded(run);
      case FAILED -> runFailed(run);
      case CUT_SHORT -> {
        context.logEvent(
            "run-cut-short", "run=" + run.id + " upstream=" + upstream.announcement.id());
        runs.endRun(run);
      }
      default -> throw new IllegalStateException("unknown cause " + end.cause());
    }
  }

  private void runSucceeded(LeasedRun run) {
    TaskState task = run.task;
    runs.endRun(run);
    if (!run.overdue) {
      run.upstream.consecutiveFailures = 0;
    }
    if (task != null) {
      task.work.recordRunTime(task.id.step(), context.now() - run.beganAt);
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

  /** The upstream's process is gone, and what it ran with it. */
  private void instanceGone(UpstreamLease upstream, String reason) {
    context.logEvent(
        "upstream-over",
        "upstream="
            + upstream.announcement.id()
            + " reason="
            + reason
            + " runs="
            + upstream.runs.size());
    runs.forgetUpstream(upstream);
    upstreams.remove(upstream.announcement.id(), upstream);
  }

  /**
   * Leaves an upstream to the host that holds the higher context.token().
   *
   * <p>That host is usually a dispatcher on the other side of a partition, and one of the two gives
   * the role up once they hear each other. Where the upstream goes on refusing, the higher token
   * may belong to a host that is gone, and only a still higher one helps.
   */
  private void tokenSuperseded(UpstreamLease upstream) {
    if (upstream.consecutiveRefusals > 0 && context.now() < upstream.nextRenewalAt) {
      // Of an order that was on its way when the first refusal came.
      return;
    }
    upstream.tokenAccepted = false;
    if (!upstream.inOwnShard) {
      // The dispatcher of its shard has it now.
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
      if (silent && context.now() > upstream.coveredUntil && !upstream.runs.isEmpty()) {
        context.logEvent(
            "lease-over",
            "upstream=" + upstream.announcement.id() + " runs=" + upstream.runs.size());
        runs.endRunsOn(upstream);
      }
      int mostUnanswered = upstream.inOwnShard ? 4 : 0;
      if (upstream.announcement.leaving()
          && upstream.runs.isEmpty()
          && upstream.unansweredRenewals > mostUnanswered) {
        upstreams.remove(upstream.announcement.id());
        context.logEvent("upstream-left", "upstream=" + upstream.announcement.id());
      }
    }
  }

  /** Returns whether an upstream is renewed: the shard's, and others while runs are read there. */
  private boolean shouldRenew(UpstreamLease upstream) {
    return upstream.inOwnShard || (upstream.tokenAccepted && !upstream.runs.isEmpty());
  }

  /**
   * Renews the lease of an upstream.
   *
   * <p>Once no renewal was answered for {@link #EXTENSION_SILENCE_TIMEOUT_MILLIS}, the lease isn't
   * made longer: an upstream that receives and can't answer would otherwise never end its runs, and
   * they couldn't start elsewhere.
   */
  private void renew(UpstreamLease upstream, boolean wait) {
    boolean heard = context.now() - upstream.lastRenewedAt <= EXTENSION_SILENCE_TIMEOUT_MILLIS;
    boolean extend = upstream.inOwnShard && heard && runs.mayExtendLease(upstream);
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
    boolean longPoll = wait && upstream.tokenAccepted && upstream.unansweredRenewals == 0;
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

  private @Nullable UpstreamLease findInstance(UpstreamAnnouncement notice) {
    UpstreamLease known = upstreams.get(notice.id());
    return known != null && known.announcement.isSameInstance(notice) ? known : null;
  }
}
