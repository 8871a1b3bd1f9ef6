package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamNotice;
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
final class LeaseBook {

  /**
   * An upstream that has seen a higher token is asked again after this, in milliseconds: longer
   * than a lease, so that a dispatcher that is gone doesn't hold it any more.
   */
  private static final long FENCED_MILLIS = 1_200;

  /**
   * After so many refusals in a row this host asks for a higher token: 2.4 s, in which a live
   * dispatcher that holds the higher one would have been heard if it can be heard at all.
   */
  private static final int MOST_FENCED = 3;

  /**
   * Silence of an upstream after which its lease isn't extended any more, in milliseconds: a poll
   * and its answer, so that one of them may be lost.
   */
  private static final long EXTEND_MILLIS = 450;

  /**
   * So many renewals in a row get a short time for their answer, as single calls are lost; the
   * first one of all, which connects, does not.
   */
  static final int SOON_REPEATED = 2;

  private final DispatchContext context;
  private final LeaseTerms terms;
  private final RunBook runs;
  private final WorkBook works;
  private final Map<String, UpstreamLease> upstreams = new LinkedHashMap<>();
  private ShardId ownShard = ShardId.WHOLE_FLEET;
  private ShardMap shards = ShardMap.of(Set.of(ShardId.WHOLE_FLEET));
  private long lastRenewal;

  LeaseBook(DispatchContext context, LeaseTerms terms, RunBook runs, WorkBook works) {
    this.context = context;
    this.terms = terms;
    this.runs = runs;
    this.works = works;
  }

  Collection<UpstreamLease> all() {
    return upstreams.values();
  }

  /** Returns the upstreams on which tasks may start now. */
  List<UpstreamLease> open() {
    return upstreams.values().stream()
        .filter(upstream -> upstream.usable(context.now()) && runs.mayExtend(upstream))
        .toList();
  }

  /** Returns the upstreams of this host's shard. */
  List<UpstreamLease> inScope() {
    return upstreams.values().stream().filter(upstream -> upstream.inScope).toList();
  }

  /** Returns whether each upstream that may be alive has answered under the present token. */
  boolean allHeard() {
    return upstreams.values().stream()
        .noneMatch(upstream -> upstream.inScope && !upstream.owned && upstream.unanswered == 0);
  }

  /** Takes every upstream of the shard over under a new token. */
  void takeOver() {
    inScope().forEach(upstream -> renew(upstream, false));
  }

  /** Forgets the leases, and keeps the upstreams. */
  void giveUp() {
    upstreams.replaceAll((id, upstream) -> leaseOn(upstream.notice));
  }

  /** Takes the upstreams over that come into the shard, and lets go of those that leave it. */
  void scopeChanged(ShardId own, Set<ShardId> live) {
    Set<ShardId> all = new HashSet<>(live);
    all.add(own);
    ownShard = own;
    shards = ShardMap.of(all);
    upstreams.values().forEach(this::rescope);
  }

  private void rescope(UpstreamLease upstream) {
    boolean inScope = owns(upstream.notice);
    if (inScope == upstream.inScope) {
      return;
    }
    upstream.inScope = inScope;
    upstream.fencedTimes = 0;
    if (context.dispatches()) {
      context.note(
          inScope ? "upstream-gained" : "upstream-given",
          "upstream=" + upstream.notice.id() + " runs=" + upstream.runs.size());
    }
    if (inScope && context.dispatches()) {
      // Another dispatcher may have had it meanwhile.
      upstream.owned = false;
      renew(upstream, false);
    }
  }

  private boolean owns(UpstreamNotice notice) {
    return shards.owner(notice.id(), notice.domain()).filter(ownShard::equals).isPresent();
  }

  private UpstreamLease leaseOn(UpstreamNotice notice) {
    return new UpstreamLease(notice, owns(notice));
  }

  void announced(UpstreamNotice notice) {
    UpstreamLease known = upstreams.get(notice.id());
    if (known != null && known.notice.sameLife(notice)) {
      if (known.notice.leaving() != notice.leaving()) {
        context.note("upstream-leaving", "upstream=" + notice.id() + " runs=" + known.runs.size());
      }
      known.notice = notice;
      return;
    }
    if (known != null) {
      if (known.notice.bornMillis() > notice.bornMillis()) {
        return;
      }
      lifeOver(known, "reborn");
    }
    UpstreamLease upstream = leaseOn(notice);
    upstreams.put(notice.id(), upstream);
    context.note("upstream-found", "upstream=" + notice.id() + " address=" + notice.address());
    if (context.dispatches() && upstream.inScope) {
      renew(upstream, false);
    }
  }

  void departed(UpstreamNotice notice) {
    UpstreamLease known = upstreams.get(notice.id());
    if (known == null || !known.notice.sameLife(notice)) {
      return;
    }
    // What it ran may go on until the lease is over, although it said that it has left.
    known.notice = leaving(known.notice);
    if (known.runs.isEmpty() && !runs.unclaimedOn(known)) {
      upstreams.remove(notice.id());
      context.note("upstream-left", "upstream=" + notice.id());
    } else {
      known.unanswered = Math.max(1, known.unanswered);
    }
  }

  private static UpstreamNotice leaving(UpstreamNotice notice) {
    return new UpstreamNotice(
        notice.id(),
        notice.bornMillis(),
        notice.sequence(),
        notice.service(),
        notice.address(),
        notice.domain(),
        true,
        notice.capacity(),
        notice.labels());
  }

  void startAnswered(LeaseEvent.StartAnswered answered) {
    UpstreamLease upstream = same(answered.upstream());
    if (upstream == null) {
      return;
    }
    upstream.clockRead(answered.clockMillis(), context.arrivedAt());
    LeasedRun run = upstream.runs.get(answered.run());
    if (answered.result() == OrderResult.OTHER_LIFE) {
      lifeOver(upstream, "other-life");
      return;
    }
    if (run == null || run.startsSent == 0) {
      // The order of an earlier role of this host; its run may have been adopted since.
      return;
    }
    run.startsOpen--;
    if (answered.result() != OrderResult.NO_ANSWER) {
      runs.answered(run.startSentAt);
    }
    switch (answered.result()) {
      case DONE -> {
        if (run.startsSent == 1) {
          runs.answeredAfter(context.now() - run.startSentAt);
        }
        // A run that is being stopped is confirmed by the answer to the stop only.
        if (run.phase != LeasedRun.Phase.STOPPING) {
          run.confirmed = context.nextOrder();
          run.phase = LeasedRun.Phase.RUNNING;
        }
      }
      case NO_ANSWER -> runs.startUnanswered(run);
      case FENCED -> {
        if (run.startsSent == 1) {
          runs.runOver(run);
        }
        outranked(upstream);
      }
      case NO_ROOM, UNWELL, LATE -> runs.refused(run, answered.result());
      case OLD -> {
        if (run.phase != LeasedRun.Phase.UNSURE) {
          runs.refused(run, answered.result());
        }
      }
      case INVALID -> {
        context.note("start-invalid", "run=" + run.id + " upstream=" + upstream.notice.id());
        failed(run);
      }
      default -> throw new IllegalStateException("handled before: " + answered.result());
    }
  }

  void stopAnswered(LeaseEvent.StopAnswered answered) {
    UpstreamLease upstream = same(answered.upstream());
    if (upstream == null) {
      return;
    }
    upstream.clockRead(answered.clockMillis(), context.arrivedAt());
    if (answered.result() == OrderResult.OTHER_LIFE) {
      lifeOver(upstream, "other-life");
      return;
    }
    LeasedRun run = upstream.runs.get(answered.run());
    if (run == null || run.stopsSent == 0) {
      return;
    }
    switch (answered.result()) {
      case DONE -> run.confirmed = context.nextOrder();
      case FENCED -> outranked(upstream);
      default -> {
        if (run.confirmed == 0) {
          run.stopSentAt = 0;
        }
      }
    }
  }

  /**
   * Returns for how long this host's clock has stood still, in milliseconds, judging by the clock
   * reading in an upstream's answer; at most 0 if it has not.
   */
  long standstill(UpstreamNotice notice, OptionalLong clockMillis) {
    UpstreamLease upstream = same(notice);
    return upstream == null || clockMillis.isEmpty()
        ? 0
        : upstream.clockJump(clockMillis.getAsLong(), context.arrivedAt());
  }

  void renewalAnswered(LeaseEvent.RenewalAnswered answered) {
    UpstreamLease upstream = same(answered.upstream());
    if (upstream == null || upstream.renewal != answered.renewal()) {
      return;
    }
    upstream.renewalOpen = false;
    answered
        .clockMillis()
        .ifPresent(clock -> upstream.updateAheadAtMost(clock, context.arrivedAt()));
    upstream.clockRead(answered.clockMillis(), context.arrivedAt());
    switch (answered.result()) {
      case DONE -> listed(upstream, answered);
      case FENCED -> outranked(upstream);
      case OTHER_LIFE -> lifeOver(upstream, "other-life");
      default -> {
        upstream.unanswered++;
        upstream.renewAt = context.now() + upstream.silencePause();
        if (upstream.unanswered <= 2) {
          context.note(
              "renewal-unanswered",
              "upstream=" + upstream.notice.id() + " times=" + upstream.unanswered);
        }
      }
    }
  }

  private void listed(UpstreamLease upstream, LeaseEvent.RenewalAnswered answered) {
    if (upstream.unanswered > 2) {
      context.note("upstream-back", "upstream=" + upstream.notice.id());
    }
    upstream.owned = true;
    upstream.listedAt = context.now();
    runs.answered(upstream.renewalSentAt);
    upstream.fencedTimes = 0;
    upstream.unanswered = 0;
    for (RunEnd end : answered.ended()) {
      if (end.number() > upstream.acknowledged) {
        upstream.acknowledged = end.number();
        ended(upstream, end);
      }
    }
    Set<RunId> running = new HashSet<>(answered.running());
    for (LeasedRun run : List.copyOf(upstream.runs.values())) {
      runs.compare(run, running.contains(run.id));
    }
    for (RunId id : running) {
      if (!upstream.runs.containsKey(id)) {
        found(id, upstream);
      }
    }
    if (kept(upstream)) {
      // At once: until the next call waits there, no end of a run is heard of.
      renew(upstream, true);
    }
  }

  /** Gives a run of an earlier dispatcher to the work that it belongs to, now or once it comes. */
  private void found(RunId id, UpstreamLease upstream) {
    // The earlier dispatcher may have renewed the lease just before this one took over.
    upstream.covered(terms, context.now());
    TaskState task = works.task(id.task());
    if (task != null && task.waits() && !runs.open(id.task())) {
      runs.adopt(task, upstream, id);
    } else {
      runs.keepRunning(id, upstream);
    }
  }

  private void ended(UpstreamLease upstream, RunEnd end) {
    LeasedRun run = upstream.runs.get(end.run());
    if (run == null) {
      if (end.cause() == RunEnd.Cause.DONE) {
        works.foundFinished(end.run().task());
      }
      return;
    }
    switch (end.cause()) {
      case DONE -> done(run);
      case FAILED -> failed(run);
      case CUT_SHORT -> {
        context.note("run-cut-short", "run=" + run.id + " upstream=" + upstream.notice.id());
        runs.runOver(run);
      }
      default -> throw new IllegalStateException("unknown cause " + end.cause());
    }
  }

  private void done(LeasedRun run) {
    TaskState task = run.task;
    runs.runOver(run);
    if (!run.overdue) {
      run.upstream.failureStreak = 0;
    }
    if (task != null) {
      task.work.ran(task.id.step(), context.now() - run.sentAt);
      works.finish(task);
    }
  }

  private void failed(LeasedRun run) {
    TaskState task = run.task;
    runs.runOver(run);
    run.upstream.disappointed(run.id.task().work(), context.now());
    if (task == null) {
      return;
    }
    task.failures++;
    task.avoidedUpstream = run.upstream.notice.id();
    context.note(
        "run-failed",
        "run=" + run.id + " upstream=" + task.avoidedUpstream + " failures=" + task.failures);
    if (task.failures >= task.work.request.maxAttempts()) {
      works.answer(
          task.work, new WorkOutcome.Failed("task " + task.id + " failed " + task.failures));
    }
  }

  /** The upstream's process is gone, and what it ran with it. */
  private void lifeOver(UpstreamLease upstream, String reason) {
    context.note(
        "upstream-over",
        "upstream=" + upstream.notice.id() + " reason=" + reason + " runs=" + upstream.runs.size());
    runs.forget(upstream);
    upstreams.remove(upstream.notice.id(), upstream);
  }

  /**
   * Leaves an upstream to the host that holds the higher context.token().
   *
   * <p>That host is usually a dispatcher on the other side of a partition, and one of the two gives
   * the role up once they hear each other. Where the upstream goes on refusing, the higher token
   * may belong to a host that is gone, and only a still higher one helps.
   */
  private void outranked(UpstreamLease upstream) {
    if (upstream.fencedTimes > 0 && context.now() < upstream.renewAt) {
      // Of an order that was on its way when the first refusal came.
      return;
    }
    upstream.owned = false;
    if (!upstream.inScope) {
      // The dispatcher of its shard has it now.
      return;
    }
    upstream.fencedTimes++;
    upstream.renewAt = context.now() + FENCED_MILLIS;
    context.note(
        "outranked",
        "upstream="
            + upstream.notice.id()
            + " token="
            + context.token()
            + " times="
            + upstream.fencedTimes);
    if (upstream.fencedTimes >= MOST_FENCED) {
      upstream.fencedTimes = 0;
      context.emit(new LeaseEffect.Outranked(context.token(), upstream.hasObeyed()));
    }
  }

  void tick() {
    for (UpstreamLease upstream : List.copyOf(upstreams.values())) {
      if (!upstream.renewalOpen && context.now() >= upstream.renewAt && kept(upstream)) {
        renew(upstream, true);
      }
      boolean silent = upstream.unanswered > 0 || (!upstream.inScope && !upstream.owned);
      if (silent && context.now() > upstream.coveredUntil && !upstream.runs.isEmpty()) {
        context.note(
            "lease-over", "upstream=" + upstream.notice.id() + " runs=" + upstream.runs.size());
        runs.allOver(upstream);
      }
      int mostUnanswered = upstream.inScope ? 4 : 0;
      if (upstream.notice.leaving()
          && upstream.runs.isEmpty()
          && upstream.unanswered > mostUnanswered) {
        upstreams.remove(upstream.notice.id());
        context.note("upstream-left", "upstream=" + upstream.notice.id());
      }
    }
  }

  /** Returns whether an upstream is renewed: the shard's, and others while runs are read there. */
  private boolean kept(UpstreamLease upstream) {
    return upstream.inScope || (upstream.owned && !upstream.runs.isEmpty());
  }

  /**
   * Renews the lease of an upstream.
   *
   * <p>Once no renewal was answered for {@link #EXTEND_MILLIS}, the lease isn't made longer: an
   * upstream that receives and can't answer would otherwise never end its runs, and they couldn't
   * start elsewhere.
   */
  private void renew(UpstreamLease upstream, boolean wait) {
    boolean heard = context.now() - upstream.listedAt <= EXTEND_MILLIS;
    boolean extend = upstream.inScope && heard && runs.mayExtend(upstream);
    long deadline = extend && upstream.owned ? upstream.deadline(terms, context.now()) : 0;
    if (deadline != 0) {
      upstream.covered(terms, context.now());
    }
    lastRenewal++;
    upstream.renewal = lastRenewal;
    upstream.renewalOpen = true;
    upstream.renewalSent = context.nextOrder();
    upstream.renewalSentAt = context.now();
    boolean longPoll = wait && upstream.owned && upstream.unanswered == 0;
    context.emit(
        new LeaseEffect.Renew(
            upstream.notice,
            upstream.renewal,
            context.token(),
            upstream.acknowledged,
            deadline,
            longPoll ? terms.pollMillis() : 0,
            upstream.owned && upstream.unanswered < SOON_REPEATED
                ? runs.renewalMillis()
                : terms.answerMillis()));
  }

  private @Nullable UpstreamLease same(UpstreamNotice notice) {
    UpstreamLease known = upstreams.get(notice.id());
    return known != null && known.notice.sameLife(notice) ? known : null;
  }
}
