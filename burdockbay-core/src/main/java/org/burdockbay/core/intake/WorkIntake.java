package org.burdockbay.core.intake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;

/**
 * Keeps callers' work at the entry host that they reached, and answers each caller once.
 *
 * <p>The work goes to the dispatcher of a shard, and again to its successor. Runs that the earlier
 * dispatcher started may go on for a while, so the successor is told for how long nothing may
 * start. Work that a shard refuses is offered to others that have room. Not safe for use by several
 * threads.
 */
public final class WorkIntake {

  /** Work without an outcome is submitted again after this, in milliseconds; messages get lost. */
  private static final long SUBMISSION_RETRY_INTERVAL_MILLIS = 400;

  /** When a caller may come back if no dispatcher was found in time, in milliseconds. */
  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Longest wait for a dispatcher, in milliseconds: an election and a few heartbeats. */
  private static final long DISPATCHER_TIMEOUT_MILLIS = 1_000;

  /** Longest wait for the dispatcher of one shard while others have one, in milliseconds. */
  private static final long SUCCESSOR_TIMEOUT_MILLIS = DISPATCHER_TIMEOUT_MILLIS / 2;

  /** Work is offered to so many further shards at most after it was refused. */
  private static final int MAX_SPILLS = 2;

  /**
   * How long cancellations and what is known of answered work are kept, in milliseconds: longer
   * than a caller whose connection broke takes to come again.
   */
  private static final long RETENTION_MILLIS = 1_500;

  /**
   * A dispatcher that isn't heard for longer is replaced, unless this host stood still; in
   * milliseconds. The time after which a host counts as lost, and a few ticks.
   */
  private static final long MAX_DISPATCHER_SILENCE_MILLIS = 600;

  private final String self;
  private final long maxOrphanedRunMillis;
  private final ShardSelector shardSelector;
  private final Map<Long, PendingWork> workByTicket = new LinkedHashMap<>();
  private final Map<String, PendingWork> workById = new LinkedHashMap<>();
  private final Map<String, Long> lastContactAt = new HashMap<>();
  private final Map<ShardId, Long> withoutDispatcherSince = new HashMap<>();
  private final Map<IntakeEffect.Cancel, Long> cancellations = new LinkedHashMap<>();
  private Map<ShardId, IntakeEvent.Dispatcher> dispatchers = Map.of();
  private List<IntakeEffect> effects = new ArrayList<>();
  private long now;

  /**
   * Creates an intake that knows no dispatcher yet.
   *
   * @param self the id of this host
   * @param domain the failure domain of this host
   * @param runsOnMillis for how long a dispatcher that this host doesn't hear any more may keep
   *     runs of its work alive, in milliseconds
   */
  public WorkIntake(String self, String domain, long runsOnMillis) {
    this.self = self;
    this.maxOrphanedRunMillis = runsOnMillis;
    this.shardSelector = new ShardSelector(domain);
  }

  /** Handles an event and returns what is to be done. */
  public List<IntakeEffect> handle(IntakeEvent event, long time) {
    now = Math.max(now, time);
    switch (event) {
      case IntakeEvent.RequestReceived opened -> acceptRequest(opened);
      case IntakeEvent.CallerDisconnected left -> handleDisconnect(left.ticket());
      case IntakeEvent.OutcomeReported reported -> handleOutcome(reported);
      case IntakeEvent.DispatchersChanged changed -> updateDispatchers(changed.dispatchers());
      case IntakeEvent.LoadReported told -> shardSelector.updateLoad(told.host(), told.load());
      case IntakeEvent.DispatcherMessageReceived heard -> recordContact(heard.host());
      case IntakeEvent.PeerReconnected reset -> resendAfterReconnect(reset.host());
      case IntakeEvent.Tick tick -> tick();
    }
    List<IntakeEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** Returns the number of callers that wait. */
  public int waitingCallers() {
    return workByTicket.size();
  }

  private void acceptRequest(IntakeEvent.RequestReceived opened) {
    PendingWork work = workById.computeIfAbsent(opened.request().id(), PendingWork::new);
    PendingWork.Caller caller = new PendingWork.Caller(opened.ticket(), opened.request(), now);
    if (work.callers.isEmpty()) {
      work.refusedBy.clear();
    }
    work.callers.put(opened.ticket(), caller);
    workByTicket.put(opened.ticket(), work);
    submit(work, caller);
  }

  private void handleDisconnect(long ticket) {
    PendingWork work = workByTicket.get(ticket);
    if (work == null) {
      return;
    }
    logEvent("caller-left", work, work.callers.get(ticket), "");
    removeCaller(work, ticket);
    if (work.callers.isEmpty()) {
      cancel(work);
    }
  }

  private void handleOutcome(IntakeEvent.OutcomeReported reported) {
    PendingWork work = workById.get(reported.workId());
    if (work == null || work.callers.isEmpty()) {
      return;
    }
    boolean askedLast =
        work.submittedTo
            .map(IntakeEvent.Dispatcher::host)
            .filter(reported.from()::equals)
            .isPresent();
    switch (reported.outcome()) {
      case WorkOutcome.NotRun notRun when askedLast -> handleRefusal(work, notRun);
      case WorkOutcome.GivenUp givenUp when askedLast -> answerAll(work, givenUp);
      case WorkOutcome.Completed completed -> acceptFinalOutcome(work, completed, askedLast);
      case WorkOutcome.Failed failed -> acceptFinalOutcome(work, failed, askedLast);
      case WorkOutcome.NotRun late -> logOutdatedReport(work, reported.from());
      case WorkOutcome.GivenUp late -> logOutdatedReport(work, reported.from());
    }
  }

  /** Takes an outcome that holds whichever dispatcher tells it. */
  private void acceptFinalOutcome(PendingWork work, WorkOutcome outcome, boolean askedLast) {
    if (!askedLast) {
      cancel(work);
    }
    answerAll(work, outcome);
  }

  /** What an earlier dispatcher doesn't run may run under the one that has the work now. */
  private void logOutdatedReport(PendingWork work, String from) {
    logEvent("report-outdated", work, work.callers.values().iterator().next(), " from=" + from);
  }

  /** Offers refused work to another shard; the caller is refused once none is left. */
  private void handleRefusal(PendingWork work, WorkOutcome.NotRun notRun) {
    PendingWork.Caller first = work.callers.values().iterator().next();
    work.submittedTo.map(IntakeEvent.Dispatcher::host).ifPresent(work.refusedBy::add);
    Optional<ShardId> next =
        work.refusedBy.size() <= MAX_SPILLS
            ? shardSelector.selectAlternative(first.request, work.refusedBy)
            : Optional.empty();
    if (next.isEmpty()) {
      answerAll(work, refusalOutcome(work, notRun));
      return;
    }
    logEvent("work-spilled", work, first, " to=" + next.get());
    work.submittedTo = Optional.empty();
    work.shard = next;
    submitAll(work);
  }

  /** Claims that nothing has run only where no earlier dispatcher may have run something. */
  private static WorkOutcome refusalOutcome(PendingWork work, WorkOutcome.NotRun notRun) {
    return work.mayHaveRun ? new WorkOutcome.GivenUp(notRun.reason()) : notRun;
  }

  private void updateDispatchers(Map<ShardId, IntakeEvent.Dispatcher> changed) {
    if (changed.equals(dispatchers)) {
      return;
    }
    updateLastContacts();
    Set<IntakeEvent.Dispatcher> appeared = new HashSet<>(changed.values());
    appeared.removeAll(dispatchers.values());
    appeared.forEach(dispatcher -> lastContactAt.put(dispatcher.host(), now));
    dispatchers.keySet().forEach(shard -> withoutDispatcherSince.putIfAbsent(shard, now));
    withoutDispatcherSince.keySet().removeAll(changed.keySet());
    dispatchers = changed;
    shardSelector.updateDispatchers(changed);
    workById.values().stream().filter(this::needsResubmission).forEach(this::submitAll);
  }

  /** Returns whether the dispatcher that is to have the work isn't the one that has it. */
  private boolean needsResubmission(PendingWork work) {
    return work.shard.isEmpty() || !work.submittedTo.equals(dispatcherOf(work));
  }

  private Optional<IntakeEvent.Dispatcher> dispatcherOf(PendingWork work) {
    return work.shard.map(dispatchers::get);
  }

  private void recordContact(String host) {
    lastContactAt.put(host, now);
  }

  /**
   * Notes when each dispatcher was heard last for the work that it has; this host hears itself all
   * the time.
   */
  private void updateLastContacts() {
    lastContactAt.put(self, now);
    for (PendingWork work : workById.values()) {
      if (work.submittedTo.isPresent() && work.submittedTo.equals(dispatcherOf(work))) {
        work.lastContactAt =
            lastContactAt.getOrDefault(work.submittedTo.get().host(), work.lastContactAt);
      }
    }
  }

  /** Repeats what the earlier connection to a host may have lost. */
  private void resendAfterReconnect(String host) {
    cancellations.keySet().stream()
        .filter(cancel -> cancel.to().host().equals(host))
        .forEach(effects::add);
    workById.values().stream()
        .filter(work -> dispatcherOf(work).filter(it -> it.host().equals(host)).isPresent())
        .forEach(this::submitAll);
  }

  private void submitAll(PendingWork work) {
    work.callers.values().forEach(caller -> submit(work, caller));
  }

  private void submit(PendingWork work, PendingWork.Caller caller) {
    if (work.shard.isEmpty() || mayLeaveShard(work)) {
      work.shard = shardSelector.select(caller.request).or(() -> work.shard);
    }
    dispatcherOf(work).ifPresent(target -> submitTo(target, work, caller));
  }

  private boolean mayLeaveShard(PendingWork work) {
    Long since = work.shard.map(withoutDispatcherSince::get).orElse(null);
    return since != null && (now - since >= SUCCESSOR_TIMEOUT_MILLIS || hasLayoutChanged(work));
  }

  /** Returns whether the fleet was divided, or united, since the work got its shard. */
  private boolean hasLayoutChanged(PendingWork work) {
    return work.shard.filter(ShardId.WHOLE_FLEET::equals).isPresent()
        || dispatchers.containsKey(ShardId.WHOLE_FLEET);
  }

  private void submitTo(
      IntakeEvent.Dispatcher target, PendingWork work, PendingWork.Caller caller) {
    if (work.submittedTo.isPresent() && !work.submittedTo.get().equals(target)) {
      moveTo(work, caller, target);
    }
    work.submittedTo = Optional.of(target);
    cancellations.remove(new IntakeEffect.Cancel(target, work.id));
    work.lastSubmittedAt = now;
    caller.lastSubmittedAt = now;
    effects.add(
        new IntakeEffect.Submit(
            target,
            caller.ticket,
            caller.request,
            now - caller.arrivedAt,
            Math.max(0, work.quietPeriodEndsAt - now)));
  }

  private void moveTo(PendingWork work, PendingWork.Caller caller, IntakeEvent.Dispatcher target) {
    work.quietPeriodEndsAt =
        Math.max(work.quietPeriodEndsAt, orphanedSince(work) + maxOrphanedRunMillis);
    work.mayHaveRun = true;
    // In a cut of one direction the earlier dispatcher may hear this host and go on.
    cancel(work);
    logEvent("work-moved", work, caller, " to=" + target.host() + " token=" + target.token());
  }

  /**
   * Tells the dispatcher that has the work to drop it.
   *
   * <p>The caller may come again at another host, which may ask another shard. So this is repeated
   * if the connection breaks that may have lost it.
   */
  private void cancel(PendingWork work) {
    work.submittedTo.ifPresent(
        to -> {
          IntakeEffect.Cancel cancel = new IntakeEffect.Cancel(to, work.id);
          cancellations.put(cancel, now);
          effects.add(cancel);
        });
  }

  /**
   * Returns from when on the dispatcher that has the work may have missed this host, in
   * milliseconds.
   *
   * <p>Usually that is when it was heard last. A host that stood still submits, before it learns
   * what has changed, to a dispatcher that it hasn't heard for long and that may be alive.
   */
  private static long orphanedSince(PendingWork work) {
    boolean longUnheard = work.lastSubmittedAt - work.lastContactAt > MAX_DISPATCHER_SILENCE_MILLIS;
    return longUnheard ? work.lastSubmittedAt : work.lastContactAt;
  }

  private void tick() {
    updateLastContacts();
    cancellations.values().removeIf(at -> now - at > RETENTION_MILLIS);
    workById
        .values()
        .removeIf(work -> work.callers.isEmpty() && now - work.idleSince > RETENTION_MILLIS);
    for (PendingWork work : List.copyOf(workById.values())) {
      List.copyOf(work.callers.values()).forEach(caller -> checkTimeouts(work, caller));
    }
  }

  private void checkTimeouts(PendingWork work, PendingWork.Caller caller) {
    long age = now - caller.arrivedAt;
    if (age >= caller.request.budgetMillis()) {
      giveUp(work, caller, "no outcome in time");
    } else if (dispatchers.isEmpty() && age >= DISPATCHER_TIMEOUT_MILLIS) {
      giveUp(work, caller, "no dispatcher");
    } else if (now - caller.lastSubmittedAt >= SUBMISSION_RETRY_INTERVAL_MILLIS) {
      submit(work, caller);
    }
  }

  private void giveUp(PendingWork work, PendingWork.Caller caller, String reason) {
    boolean neverLeft = work.submittedTo.isEmpty() && !work.mayHaveRun;
    answer(
        work,
        caller,
        neverLeft
            ? new WorkOutcome.NotRun(reason, RETRY_AFTER_MILLIS)
            : new WorkOutcome.GivenUp(reason));
    if (work.callers.isEmpty()) {
      cancel(work);
    }
  }

  private void answerAll(PendingWork work, WorkOutcome outcome) {
    List.copyOf(work.callers.values()).forEach(caller -> answer(work, caller, outcome));
    if (outcome instanceof WorkOutcome.NotRun) {
      workById.remove(work.id);
    }
  }

  private void answer(PendingWork work, PendingWork.Caller caller, WorkOutcome outcome) {
    removeCaller(work, caller.ticket);
    effects.add(
        new IntakeEffect.Answer(caller.ticket, caller.request, now - caller.arrivedAt, outcome));
  }

  private void removeCaller(PendingWork work, long ticket) {
    workByTicket.remove(ticket);
    work.callers.remove(ticket);
    work.idleSince = now;
  }

  private void logEvent(String event, PendingWork work, PendingWork.Caller caller, String fields) {
    effects.add(
        new IntakeEffect.LogEvent(
            event,
            "work="
                + work.id
                + " age="
                + (now - caller.arrivedAt)
                + " submitted="
                + work.submittedTo.map(IntakeEvent.Dispatcher::host).orElse("none")
                + fields));
  }
}
