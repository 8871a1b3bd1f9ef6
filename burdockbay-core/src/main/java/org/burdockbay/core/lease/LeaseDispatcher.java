package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkOutcome;
import org.jspecify.annotations.Nullable;

/**
 * Dispatches sized tasks to leased upstreams, while this host has the role.
 *
 * <p>Feed it events with the time in milliseconds and carry out the effects in order. Work that an
 * entry host submits is answered by exactly one {@link LeaseEffect.Report} for each entry host that
 * waits, unless the role or the entry host is lost.
 *
 * <p>No two runs of a task overlap: a task starts only when every earlier run of it that this
 * dispatcher knows of is over, and an earlier dispatcher's runs are over when the work's quiet time
 * is. Not safe for use by several threads.
 */
public final class LeaseDispatcher {

  /** Outcomes are kept for entry hosts that ask again, in milliseconds. */
  private static final long KEPT_OUTCOME_MILLIS = 5_000;

  /**
   * An upstream that has seen a higher token is asked again after this, in milliseconds: longer
   * than a lease, so that a dispatcher that is gone doesn't hold it any more.
   */
  private static final long FENCED_MILLIS = 1_200;

  /**
   * A gap between two events that shows that the process stood still, in milliseconds. A heartbeat
   * of 150 ms and this are less than the 450 ms after which hosts count as lost.
   */
  private static final long STALL_MILLIS = 250;

  /** After so many refusals in a row this host asks for a higher token; takes about 4 s. */
  private static final int MOST_FENCED = 4;

  private final String self;
  private final LeaseTerms terms;
  private final Map<String, UpstreamLease> upstreams = new LinkedHashMap<>();
  private final Map<String, WorkState> works = new LinkedHashMap<>();
  private final Map<TaskId, LeasedRun> openRuns = new HashMap<>();
  private final Map<String, Long> entriesHeard = new HashMap<>();
  private final Map<String, KeptOutcome> outcomes = new LinkedHashMap<>();
  private final Map<RefusedTicket, KeptOutcome> refusals = new HashMap<>();
  private final Map<String, Long> highestRuns = new LinkedHashMap<>();
  private final TakenOverRuns takenOver = new TakenOverRuns();
  private final AdmissionRule admission = new AdmissionRule();
  private List<LeaseEffect> effects = new ArrayList<>();
  private long token;
  private long lastRenewal;
  private long now;

  /**
   * Creates a dispatcher without the role.
   *
   * @param self the id of this host
   */
  public LeaseDispatcher(String self, LeaseTerms terms) {
    this.self = self;
    this.terms = terms;
  }

  /** Handles an event and returns what is to be done. */
  public List<LeaseEffect> handle(LeaseEvent event, long time) {
    boolean stalled = dispatches() && time - now > STALL_MILLIS;
    if (stalled) {
      stalled(time - now);
    }
    now = Math.max(now, time);
    switch (event) {
      case LeaseEvent.Stalled suspended -> {
        if (dispatches()) {
          stalled(suspended.millis());
        }
      }
      case LeaseEvent.RoleGained gained -> roleGained(gained.token());
      case LeaseEvent.RoleLost lost -> roleLost();
      case LeaseEvent.Announced announced -> announced(announced.notice());
      case LeaseEvent.Departed departed -> departed(departed.notice());
      default -> {
        if (dispatches()) {
          dispatch(event);
        }
      }
    }
    List<LeaseEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** Returns whether this host has the role. */
  public boolean dispatches() {
    return token != 0;
  }

  /** Returns the number of pieces of work that aren't answered yet. */
  public int unanswered() {
    return works.size();
  }

  /** Returns the number of pieces of work of a queue of which no task has started. */
  public long waiting(String queue) {
    return works.values().stream()
        .filter(work -> !work.offered && work.request.queue().equals(queue))
        .count();
  }

  /** Returns the upstreams that take tasks at present. */
  public long usableUpstreams() {
    return upstreams.values().stream().filter(upstream -> upstream.usable(now)).count();
  }

  private void dispatch(LeaseEvent event) {
    switch (event) {
      case LeaseEvent.Submitted submitted -> submitted(submitted);
      case LeaseEvent.Cancelled cancelled -> abandon(cancelled.entryHost(), cancelled.workId());
      case LeaseEvent.EntryHeard heard -> entriesHeard.put(heard.entryHost(), now);
      case LeaseEvent.EntryLost lost -> entryLost(lost.entryHost());
      case LeaseEvent.StartAnswered answered -> startAnswered(answered);
      case LeaseEvent.StopAnswered answered -> stopAnswered(answered);
      case LeaseEvent.RenewalAnswered answered -> renewalAnswered(answered);
      case LeaseEvent.Tick tick -> tick();
      case LeaseEvent.RoleGained gained -> throw new IllegalStateException("handled before");
      case LeaseEvent.RoleLost lost -> throw new IllegalStateException("handled before");
      case LeaseEvent.Stalled stalled -> throw new IllegalStateException("handled before");
      case LeaseEvent.Announced announced -> throw new IllegalStateException("handled before");
      case LeaseEvent.Departed departed -> throw new IllegalStateException("handled before");
    }
    schedule();
  }

  private void roleGained(long gained) {
    token = gained;
    note("role-gained", "token=" + gained + " upstreams=" + upstreams.size());
    for (UpstreamLease upstream : upstreams.values()) {
      renew(upstream, false);
    }
  }

  /**
   * Gives the role up after a stall.
   *
   * <p>A frozen process that goes on finds messages that were sent long ago, takes them for fresh,
   * and would start work that its entry hosts have given to another dispatcher meanwhile. Up to
   * {@link #STALL_MILLIS} no entry host has turned away yet, since a heartbeat that was due during
   * the stall is missing for less than the time after which hosts count as lost.
   */
  private void stalled(long millis) {
    note("stalled", "millis=" + millis);
    effects.add(new LeaseEffect.Stalled());
    roleLost();
  }

  /** Forgets everything but the upstreams: what runs goes on until its lease is over. */
  private void roleLost() {
    if (!dispatches()) {
      return;
    }
    note("role-lost", "token=" + token + " unanswered=" + works.size());
    token = 0;
    works.clear();
    openRuns.clear();
    entriesHeard.clear();
    outcomes.clear();
    refusals.clear();
    takenOver.clear();
    upstreams.replaceAll((id, upstream) -> new UpstreamLease(upstream.notice));
  }

  private void announced(UpstreamNotice notice) {
    UpstreamLease known = upstreams.get(notice.id());
    if (known != null && known.notice.sameLife(notice)) {
      if (known.notice.leaving() != notice.leaving()) {
        note("upstream-leaving", "upstream=" + notice.id() + " runs=" + known.runs.size());
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
    UpstreamLease upstream = new UpstreamLease(notice);
    upstreams.put(notice.id(), upstream);
    note("upstream-found", "upstream=" + notice.id() + " address=" + notice.address());
    if (dispatches()) {
      renew(upstream, false);
    }
  }

  private void departed(UpstreamNotice notice) {
    UpstreamLease known = upstreams.get(notice.id());
    if (known == null || !known.notice.sameLife(notice)) {
      return;
    }
    // What it ran may go on until the lease is over, although it said that it has left.
    known.notice = leaving(known.notice);
    if (known.runs.isEmpty()) {
      upstreams.remove(notice.id());
      note("upstream-left", "upstream=" + notice.id());
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

  private void submitted(LeaseEvent.Submitted submitted) {
    String id = submitted.request().id();
    entriesHeard.put(submitted.entryHost(), now);
    KeptOutcome kept = outcomes.get(id);
    if (kept != null && now - kept.at <= KEPT_OUTCOME_MILLIS) {
      report(submitted.entryHost(), id, kept.outcome);
      return;
    }
    RefusedTicket ticket = new RefusedTicket(submitted.entryHost(), submitted.ticket());
    KeptOutcome refused = refusals.get(ticket);
    if (refused != null) {
      // A repetition that crossed the refusal on its way. Starting it now would make the refusal,
      // which promised that nothing runs, untrue.
      report(submitted.entryHost(), id, refused.outcome);
      return;
    }
    WorkState known = works.get(id);
    if (known != null) {
      // The same work again, from this or another entry host: it joins what is under way.
      known.tickets.put(submitted.entryHost(), submitted.ticket());
      return;
    }
    WorkState work = new WorkState(submitted.request(), now - submitted.ageMillis());
    work.tickets.put(submitted.entryHost(), submitted.ticket());
    work.quietUntil = now + submitted.quietMillis();
    // Dropped before, for an entry host that was lost and is back, or run by another dispatcher:
    // "not run" can't be promised any more.
    work.offered = submitted.quietMillis() > 0 || highestRuns.containsKey(id);
    works.put(id, work);
    adopt(work);
    refuseImpossible(work);
  }

  /** Gives the work the runs that an earlier dispatcher started and that were found running. */
  private void adopt(WorkState work) {
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        task.lastRun = highestRuns.getOrDefault(work.request.id(), 0L);
        if (takenOver.takeFinished(task.id)) {
          work.finished(task);
          continue;
        }
        takenOver
            .takeRunning(task.id)
            .ifPresent(found -> adopt(task, found.upstream(), found.run()));
      }
    }
    if (work.complete()) {
      answer(work, new WorkOutcome.Completed());
    }
  }

  private void adopt(TaskState task, UpstreamLease upstream, RunId id) {
    LeasedRun run = new LeasedRun(id, upstream, task, now);
    run.phase = LeasedRun.Phase.RUNNING;
    run.confirmedAt = now;
    task.run = run;
    task.lastRun = id.run();
    task.work.offered = true;
    upstream.add(run);
    openRuns.put(task.id, run);
    note("run-adopted", "run=" + id + " upstream=" + upstream.notice.id());
  }

  private void refuseImpossible(WorkState work) {
    if (upstreams.isEmpty() || work.offered || !works.containsKey(work.request.id())) {
      return;
    }
    for (List<TaskState> tasks : work.steps) {
      if (!PlacementPolicy.possible(upstreams.values(), tasks.getFirst())) {
        refuse(work, "no upstream can run it", AdmissionRule.RETRY_MILLIS);
        return;
      }
    }
  }

  private void abandon(String entryHost, String workId) {
    WorkState work = works.get(workId);
    if (work == null) {
      return;
    }
    work.tickets.remove(entryHost);
    if (work.tickets.isEmpty()) {
      note("work-abandoned", "work=" + workId + " age=" + (now - work.arrivedAt));
      drop(work);
    }
  }

  /**
   * Drops the work of a lost entry host.
   *
   * <p>Its caller comes again elsewhere, perhaps to a dispatcher on the other side of a partition.
   * What runs here has to be over by then.
   */
  private void entryLost(String entryHost) {
    List<String> lost =
        works.values().stream()
            .filter(work -> work.tickets.containsKey(entryHost))
            .map(work -> work.request.id())
            .toList();
    lost.forEach(id -> abandon(entryHost, id));
  }

  private void dropLostEntries() {
    List<String> silent =
        entriesHeard.entrySet().stream()
            .filter(heard -> now - heard.getValue() > LeaseTerms.ENTRY_LOST_MILLIS)
            .map(Map.Entry::getKey)
            .filter(host -> !host.equals(self))
            .toList();
    for (String host : silent) {
      entriesHeard.remove(host);
      entryLost(host);
    }
  }

  private void startAnswered(LeaseEvent.StartAnswered answered) {
    UpstreamLease upstream = same(answered.upstream());
    if (upstream == null) {
      return;
    }
    upstream.clockRead(answered.clockMillis(), now);
    LeasedRun run = upstream.runs.get(answered.run());
    if (answered.result() == OrderResult.OTHER_LIFE) {
      lifeOver(upstream, "other-life");
      return;
    }
    if (run == null) {
      return;
    }
    switch (answered.result()) {
      case DONE -> {
        run.confirmedAt = now;
        if (run.phase != LeasedRun.Phase.STOPPING) {
          run.phase = LeasedRun.Phase.RUNNING;
        }
      }
      case NO_ANSWER -> {
        if (run.phase == LeasedRun.Phase.STARTING) {
          run.phase = LeasedRun.Phase.UNSURE;
          note("start-unanswered", "run=" + run.id + " upstream=" + upstream.notice.id());
        }
      }
      case FENCED -> {
        runOver(run);
        outranked(upstream);
      }
      case NO_ROOM, UNWELL, LATE -> notStarted(run, answered.result());
      case OLD -> {
        if (run.phase != LeasedRun.Phase.UNSURE) {
          notStarted(run, answered.result());
        }
      }
      case INVALID -> {
        note("start-invalid", "run=" + run.id + " upstream=" + upstream.notice.id());
        failed(run);
      }
      default -> throw new IllegalStateException("handled before: " + answered.result());
    }
  }

  private void notStarted(LeasedRun run, OrderResult result) {
    note(
        "start-refused",
        "run=" + run.id + " upstream=" + run.upstream.notice.id() + " result=" + result);
    runOver(run);
    if (result != OrderResult.OLD) {
      run.upstream.pause(now);
    }
  }

  private void stopAnswered(LeaseEvent.StopAnswered answered) {
    UpstreamLease upstream = same(answered.upstream());
    if (upstream == null) {
      return;
    }
    upstream.clockRead(answered.clockMillis(), now);
    if (answered.result() == OrderResult.OTHER_LIFE) {
      lifeOver(upstream, "other-life");
      return;
    }
    LeasedRun run = upstream.runs.get(answered.run());
    if (run == null) {
      return;
    }
    switch (answered.result()) {
      case DONE -> run.confirmedAt = now;
      case FENCED -> outranked(upstream);
      default -> run.stopSentAt = 0;
    }
  }

  private void renewalAnswered(LeaseEvent.RenewalAnswered answered) {
    UpstreamLease upstream = same(answered.upstream());
    if (upstream == null || upstream.renewal != answered.renewal()) {
      return;
    }
    upstream.renewalOpen = false;
    upstream.clockRead(answered.clockMillis(), now);
    switch (answered.result()) {
      case DONE -> listed(upstream, answered);
      case FENCED -> outranked(upstream);
      case OTHER_LIFE -> lifeOver(upstream, "other-life");
      default -> {
        upstream.unanswered++;
        upstream.renewAt = now + (upstream.unanswered > 1 ? UpstreamLease.PAUSE_MILLIS : 0);
        if (upstream.unanswered <= 2) {
          note(
              "renewal-unanswered",
              "upstream=" + upstream.notice.id() + " times=" + upstream.unanswered);
        }
      }
    }
  }

  private void listed(UpstreamLease upstream, LeaseEvent.RenewalAnswered answered) {
    if (upstream.unanswered > 2) {
      note("upstream-back", "upstream=" + upstream.notice.id());
    }
    upstream.owned = true;
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
      compare(run, running.contains(run.id));
    }
    for (RunId id : running) {
      if (!upstream.runs.containsKey(id)) {
        found(id, upstream);
      }
    }
    // At once: until the next call waits there, no end of a run is heard of.
    renew(upstream, true);
  }

  /** Gives a run of an earlier dispatcher to the work that it belongs to, now or once it comes. */
  private void found(RunId id, UpstreamLease upstream) {
    TaskState task = task(id.task());
    if (task != null && task.waits() && !openRuns.containsKey(id.task())) {
      adopt(task, upstream, id);
    } else {
      takenOver.foundRunning(id, upstream, now);
    }
  }

  private @Nullable TaskState task(TaskId id) {
    WorkState work = works.get(id.work());
    boolean exists =
        work != null
            && id.step() < work.steps.size()
            && id.index() < work.steps.get(id.step()).size();
    return exists ? work.steps.get(id.step()).get(id.index()) : null;
  }

  /** Compares a run with the list of an upstream's runs. */
  private void compare(LeasedRun run, boolean there) {
    boolean listedSince = run.confirmedAt != 0 && run.confirmedAt <= run.upstream.renewalSentAt;
    switch (run.phase) {
      case UNSURE -> {
        if (there) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmedAt = now;
        } else {
          stop(run);
        }
      }
      case RUNNING, STOPPING -> {
        if (!there && listedSince) {
          runOver(run);
        } else if (run.phase == LeasedRun.Phase.STOPPING && run.stopSentAt == 0) {
          stop(run);
        }
      }
      case STARTING -> {
        if (there) {
          run.phase = LeasedRun.Phase.RUNNING;
          run.confirmedAt = now;
        }
      }
      default -> throw new IllegalStateException("unknown phase " + run.phase);
    }
  }

  private void ended(UpstreamLease upstream, RunEnd end) {
    LeasedRun run = upstream.runs.get(end.run());
    if (run == null) {
      if (end.cause() == RunEnd.Cause.DONE) {
        foundFinished(end.run().task());
      }
      return;
    }
    switch (end.cause()) {
      case DONE -> done(run);
      case FAILED -> failed(run);
      case CUT_SHORT -> {
        note("run-cut-short", "run=" + run.id + " upstream=" + upstream.notice.id());
        runOver(run);
      }
      default -> throw new IllegalStateException("unknown cause " + end.cause());
    }
  }

  /** Takes the result of a run of an earlier dispatcher. */
  private void foundFinished(TaskId id) {
    TaskState task = task(id);
    if (task == null) {
      takenOver.foundFinished(id, now);
    } else if (task.waits()) {
      finish(task);
    }
  }

  private void done(LeasedRun run) {
    run.upstream.failureStreak = 0;
    TaskState task = run.task;
    runOver(run);
    if (task != null) {
      finish(task);
    }
  }

  private void finish(TaskState task) {
    task.work.finished(task);
    if (task.work.complete()) {
      answer(task.work, new WorkOutcome.Completed());
    }
  }

  private void failed(LeasedRun run) {
    TaskState task = run.task;
    runOver(run);
    run.upstream.pause(now);
    if (task == null) {
      return;
    }
    task.failures++;
    task.avoidedUpstream = run.upstream.notice.id();
    note(
        "run-failed",
        "run=" + run.id + " upstream=" + task.avoidedUpstream + " failures=" + task.failures);
    if (task.failures >= task.work.request.maxAttempts()) {
      answer(task.work, new WorkOutcome.Failed("task " + task.id + " failed " + task.failures));
    }
  }

  /** Takes note that a run is over, whatever became of it; its task may start again. */
  private void runOver(LeasedRun run) {
    run.upstream.remove(run);
    openRuns.remove(run.id.task(), run);
    TaskState task = run.task;
    if (task != null) {
      task.run = null;
      run.task = null;
    }
  }

  /** The upstream's process is gone, and what it ran with it. */
  private void lifeOver(UpstreamLease upstream, String reason) {
    note(
        "upstream-over",
        "upstream=" + upstream.notice.id() + " reason=" + reason + " runs=" + upstream.runs.size());
    List.copyOf(upstream.runs.values()).forEach(this::runOver);
    takenOver.forget(upstream);
    upstreams.remove(upstream.notice.id(), upstream);
  }

  /**
   * Leaves an upstream to the host that holds the higher token.
   *
   * <p>That host is usually a dispatcher on the other side of a partition, and one of the two gives
   * the role up once they hear each other. Where the upstream goes on refusing, the higher token
   * may belong to a host that is gone, and only a still higher one helps.
   */
  private void outranked(UpstreamLease upstream) {
    upstream.owned = false;
    upstream.fencedTimes++;
    upstream.renewAt = now + FENCED_MILLIS;
    note(
        "outranked",
        "upstream=" + upstream.notice.id() + " token=" + token + " times=" + upstream.fencedTimes);
    if (upstream.fencedTimes >= MOST_FENCED) {
      upstream.fencedTimes = 0;
      effects.add(new LeaseEffect.Outranked(token));
    }
  }

  private void answer(WorkState work, WorkOutcome outcome) {
    String id = work.request.id();
    outcomes.put(id, new KeptOutcome(outcome, now));
    work.tickets.keySet().forEach(host -> report(host, id, outcome));
    drop(work);
  }

  private void refuse(WorkState work, String reason, long retryAfterMillis) {
    note(
        "work-refused",
        "work="
            + work.request.id()
            + " age="
            + (now - work.arrivedAt)
            + " estimate="
            + work.chainMillis()
            + " reason="
            + reason.replace(' ', '-'));
    works.remove(work.request.id());
    WorkOutcome outcome = new WorkOutcome.NotRun(reason, retryAfterMillis);
    work.tickets.forEach(
        (host, ticket) -> {
          refusals.put(new RefusedTicket(host, ticket), new KeptOutcome(outcome, now));
          report(host, work.request.id(), outcome);
        });
  }

  private void report(String host, String id, WorkOutcome outcome) {
    effects.add(new LeaseEffect.Report(host, id, outcome));
  }

  /** Forgets work and stops what runs of it. */
  private void drop(WorkState work) {
    works.remove(work.request.id());
    long highest = 0;
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        highest = Math.max(highest, task.lastRun);
        LeasedRun run = task.run;
        if (run != null) {
          run.task = null;
          task.run = null;
          stop(run);
        }
      }
    }
    if (highest > 0) {
      highestRuns.put(work.request.id(), highest);
    }
  }

  private void stop(LeasedRun run) {
    run.phase = LeasedRun.Phase.STOPPING;
    run.confirmedAt = 0;
    run.stopSentAt = now;
    effects.add(new LeaseEffect.Stop(run.upstream.notice, run.id, token));
  }

  private void tick() {
    for (UpstreamLease upstream : List.copyOf(upstreams.values())) {
      if (!upstream.renewalOpen && now >= upstream.renewAt) {
        renew(upstream, true);
      }
      if (upstream.unanswered > 0 && now > upstream.coveredUntil && !upstream.runs.isEmpty()) {
        note("lease-over", "upstream=" + upstream.notice.id() + " runs=" + upstream.runs.size());
        List.copyOf(upstream.runs.values()).forEach(this::runOver);
      }
      if (upstream.notice.leaving() && upstream.runs.isEmpty() && upstream.unanswered > 4) {
        upstreams.remove(upstream.notice.id());
        note("upstream-left", "upstream=" + upstream.notice.id());
      }
    }
    dropLostEntries();
    takenOver.expire(now).forEach(this::stopUnclaimed);
    outcomes.values().removeIf(kept -> now - kept.at > KEPT_OUTCOME_MILLIS);
    refusals.values().removeIf(kept -> now - kept.at > KEPT_OUTCOME_MILLIS);
    if (highestRuns.size() > 20_000) {
      highestRuns.remove(highestRuns.keySet().iterator().next());
    }
    for (WorkState work : List.copyOf(works.values())) {
      expire(work);
    }
  }

  private void stopUnclaimed(TakenOverRuns.Found found) {
    note("run-unclaimed", "run=" + found.run() + " upstream=" + found.upstream().notice.id());
    LeasedRun run = new LeasedRun(found.run(), found.upstream(), now);
    found.upstream().add(run);
    openRuns.putIfAbsent(found.run().task(), run);
    stop(run);
  }

  private void expire(WorkState work) {
    if (now >= work.expiresAt()) {
      if (work.offered) {
        note("work-expired", "work=" + work.request.id() + " age=" + (now - work.arrivedAt));
        answer(work, new WorkOutcome.GivenUp("not finished in time"));
      } else {
        refuse(work, "not started in time", AdmissionRule.RETRY_MILLIS);
      }
    } else if (!work.offered && admission.hopeless(work, now)) {
      refuse(work, "no room in time", AdmissionRule.RETRY_MILLIS);
    }
  }

  /**
   * Renews the lease of an upstream.
   *
   * <p>Once a renewal wasn't answered twice, the lease isn't made longer: an upstream that receives
   * and can't answer would otherwise never end its runs, and they couldn't start elsewhere.
   */
  private void renew(UpstreamLease upstream, boolean wait) {
    boolean extend = upstream.unanswered < 2 && mayExtend(upstream);
    long deadline = extend && upstream.owned ? upstream.deadline(terms, now) : 0;
    if (deadline != 0) {
      upstream.covered(terms, now);
    }
    lastRenewal++;
    upstream.renewal = lastRenewal;
    upstream.renewalOpen = true;
    upstream.renewalSentAt = now;
    boolean longPoll = wait && upstream.owned && upstream.unanswered == 0;
    effects.add(
        new LeaseEffect.Renew(
            upstream.notice,
            upstream.renewal,
            token,
            upstream.acknowledged,
            deadline,
            longPoll ? terms.pollMillis() : 0));
  }

  /**
   * Returns whether the lease of an upstream may be made longer.
   *
   * <p>A lease covers everything that runs on the upstream. A run that is to stop, or that nobody
   * has claimed, may start elsewhere under another dispatcher as soon as the lease that it had is
   * over; a longer one would let the two overlap.
   */
  private boolean mayExtend(UpstreamLease upstream) {
    return !takenOver.anyOn(upstream)
        && upstream.runs.values().stream()
            .noneMatch(run -> run.phase == LeasedRun.Phase.STOPPING && run.confirmedAt == 0);
  }

  /** Places waiting tasks: work with the earliest latest start first. */
  private void schedule() {
    if (works.isEmpty()) {
      return;
    }
    List<UpstreamLease> open =
        upstreams.values().stream()
            .filter(upstream -> upstream.usable(now) && mayExtend(upstream))
            .toList();
    for (WorkState work : admission.order(works.values(), now)) {
      if (now < work.quietUntil) {
        continue;
      }
      for (int step = 0; step < work.steps.size(); step++) {
        if (work.ready(step)) {
          place(work.steps.get(step), open);
        }
      }
    }
  }

  private void place(Collection<TaskState> tasks, List<UpstreamLease> open) {
    for (TaskState task : tasks) {
      if (!task.waits() || openRuns.containsKey(task.id)) {
        continue;
      }
      var chosen = PlacementPolicy.choose(open, task, now);
      if (chosen.isEmpty()) {
        return;
      }
      start(task, chosen.get());
    }
  }

  private void start(TaskState task, UpstreamLease upstream) {
    task.lastRun++;
    RunId id = new RunId(task.id, task.lastRun);
    LeasedRun run = new LeasedRun(id, upstream, task, now);
    task.run = run;
    task.work.offered = true;
    upstream.add(run);
    upstream.covered(terms, now);
    openRuns.put(task.id, run);
    effects.add(
        new LeaseEffect.Start(
            upstream.notice,
            id,
            task.work.request.payload(),
            token,
            upstream.deadline(terms, now)));
    note(
        "run-started",
        "run="
            + id
            + " upstream="
            + upstream.notice.id()
            + " age="
            + (now - task.work.arrivedAt)
            + " free="
            + upstream.free().cpuMillicores());
  }

  private @Nullable UpstreamLease same(UpstreamNotice notice) {
    UpstreamLease known = upstreams.get(notice.id());
    return known != null && known.notice.sameLife(notice) ? known : null;
  }

  private void note(String event, String fields) {
    effects.add(new LeaseEffect.Note(event, fields));
  }

  private record KeptOutcome(WorkOutcome outcome, long at) {}

  private record RefusedTicket(String entryHost, long ticket) {}
}
