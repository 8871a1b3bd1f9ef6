package org.burdockbay.core.intake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.burdockbay.core.routing.LayoutAwareRouter;
import org.burdockbay.core.routing.WorkRouter;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;

/**
 * Holds callers' work at the entry host that received it, and answers each caller once.
 *
 * <p>Work is submitted to the dispatcher of a shard, and resubmitted to that dispatcher's
 * successor. Runs that the earlier dispatcher started may continue for a while, so each submission
 * carries a quiet period in which the successor must not start the work. Work that a shard refuses
 * is offered to other shards that have free capacity.
 *
 * <p>Not thread-safe.
 */
public final class WorkIntake {

  /** Interval at which work without an outcome is resubmitted, as messages may be lost. */
  private static final long SUBMISSION_RETRY_INTERVAL_MILLIS = 400;

  /** Longest wait for any dispatcher: the duration of an election and a few heartbeats. */
  private static final long DISPATCHER_TIMEOUT_MILLIS = 1_000;

  /** Longest wait for the dispatcher of one shard while other shards have one. */
  private static final long SUCCESSOR_TIMEOUT_MILLIS = DISPATCHER_TIMEOUT_MILLIS / 2;

  /** Maximum number of further shards to which refused work is offered. */
  private static final int MAX_SPILLS = 2;

  /**
   * Time for which cancellations and the state of answered work are retained. Exceeds the time in
   * which a caller whose connection broke retries.
   */
  private static final long RETENTION_MILLIS = 1_500;

  /**
   * Silence after which a dispatcher has been replaced, unless this host was paused: the time after
   * which a host is considered lost, plus a few ticks.
   */
  private static final long DISPATCHER_SILENCE_TIMEOUT_MILLIS = 600;

  /**
   * Time without a message of this host after which a dispatcher drops this host's work, in
   * milliseconds.
   */
  private static final long INBOUND_SILENCE_TIMEOUT_MILLIS = 450;

  /**
   * Maximum number of dispatchers that may fall silent while they have a piece of work. The work
   * itself may be what ends their processes, so it isn't submitted to any number of hosts.
   */
  private static final int MAX_LOST_DISPATCHERS = 1;

  private final String self;
  private final String domain;
  private final long maxOrphanedRunMillis;
  private final WorkRouter shardSelector;
  private final HeldWork heldWork;
  private final Map<Long, PendingWork> workByTicket = new LinkedHashMap<>();
  private final Map<String, PendingWork> workById = new LinkedHashMap<>();
  private final Map<String, Long> lastContactByHost = new HashMap<>();
  private final Map<ShardId, Long> withoutDispatcherSince = new HashMap<>();
  private final Map<IntakeEffect.Cancel, Long> cancellations = new LinkedHashMap<>();

  /** The hosts that receive no messages of this host. */
  private final Set<String> unreachableHosts = new HashSet<>();

  private Map<ShardId, IntakeEvent.Dispatcher> dispatchers = Map.of();
  private boolean allDomainsEvacuated;
  private List<IntakeEffect> effects = new ArrayList<>();
  private long now;

  /** Creates an intake without dispatchers, with all scheduling options off. */
  public WorkIntake(String self, String domain, long maxOrphanedRunMillis) {
    this(self, domain, maxOrphanedRunMillis, SchedulingOptions.NONE);
  }

  /**
   * Creates an intake without dispatchers.
   *
   * @param self the id of this host
   * @param domain the failure domain of this host
   * @param maxOrphanedRunMillis the longest time for which runs of this host's work may continue
   *     after the last contact with their dispatcher, in milliseconds
   * @param options the scheduling options that are on
   */
  public WorkIntake(
      String self, String domain, long maxOrphanedRunMillis, SchedulingOptions options) {
    this.self = self;
    this.domain = domain;
    this.maxOrphanedRunMillis = maxOrphanedRunMillis;
    this.shardSelector =
        LayoutAwareRouter.create(
            options,
            domain,
            new ShardSelector(domain),
            fields -> effects.add(new IntakeEffect.LogEvent("work-routed", fields)));
    this.heldWork = new HeldWork(self, options);
  }

  /**
   * Handles an event.
   *
   * @param time the current time in milliseconds; if the time of an earlier event was later, that
   *     one is used
   * @return the actions to carry out, in order
   */
  public List<IntakeEffect> handle(IntakeEvent event, long time) {
    now = Math.max(now, time);
    switch (event) {
      case IntakeEvent.RequestReceived received -> acceptRequest(received);
      case IntakeEvent.CallerDisconnected disconnected -> handleDisconnect(disconnected.ticket());
      case IntakeEvent.CancelRequested requested -> handleCancelRequest(requested.workId());
      case IntakeEvent.OutcomeReported reported -> handleOutcome(reported);
      case IntakeEvent.DispatchersChanged changed -> updateDispatchers(changed.dispatchers());
      case IntakeEvent.OwnShardsChanged changed -> heldWork.updateOwnShards(changed.shards());
      case IntakeEvent.EvacuationsChanged changed -> {
        allDomainsEvacuated = changed.complete();
        shardSelector.updateEvacuations(changed.domains());
      }
      case IntakeEvent.LoadReported report -> {
        shardSelector.updateLoad(report.host(), report.load(), now);
        heldWork.recordLoad(report.host(), now);
      }
      case IntakeEvent.DispatcherMessageReceived received -> {
        recordContact(received);
        heldWork.recordHeartbeat(received.host(), received.lastContactAgeMillis(), now);
      }
      case IntakeEvent.PeerReconnected reconnected -> resendAfterReconnect(reconnected.host());
      case IntakeEvent.Tick tick -> tick();
    }
    List<IntakeEffect> result = effects;
    effects = new ArrayList<>();
    return result;
  }

  /** Returns whether callers wait for a piece of work. */
  public boolean holds(String workId) {
    PendingWork work = workById.get(workId);
    return work != null && !work.callers.isEmpty();
  }

  /** Returns the number of waiting callers. */
  public int waitingCallers() {
    return workByTicket.size();
  }

  private void acceptRequest(IntakeEvent.RequestReceived received) {
    PendingWork work = workById.computeIfAbsent(received.request().id(), PendingWork::new);
    PendingWork.Caller caller = new PendingWork.Caller(received.ticket(), received.request(), now);
    if (work.callers.isEmpty()) {
      work.refusedBy.clear();
    }
    work.callers.put(received.ticket(), caller);
    workByTicket.put(received.ticket(), work);
    if (heldWork.isHolding() && work.submittedTo.isEmpty()) {
      submitInOrder(waiting -> waiting.submittedTo.isEmpty());
    } else {
      submit(work, caller);
    }
    if (allDomainsEvacuated && work.submittedTo.isEmpty()) {
      giveUp(work, caller, "all failure domains are evacuated");
    }
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

  private void handleCancelRequest(String workId) {
    if (!holds(workId)) {
      return;
    }
    PendingWork work = workById.get(workId);
    logEvent("work-cancelled", work, work.callers.values().iterator().next(), "");
    answerAll(work, new WorkOutcome.Failed("cancelled by a caller"));
    cancel(work);
  }

  private void handleOutcome(IntakeEvent.OutcomeReported reported) {
    PendingWork work = workById.get(reported.workId());
    if (work == null || work.callers.isEmpty()) {
      return;
    }
    heldWork.recordOutcome(work.id);
    boolean fromCurrentDispatcher =
        work.submittedTo
            .map(IntakeEvent.Dispatcher::host)
            .filter(reported.from()::equals)
            .isPresent();
    switch (reported.outcome()) {
      case WorkOutcome.NotRun notRun when fromCurrentDispatcher -> handleRefusal(work, notRun);
      case WorkOutcome.GivenUp givenUp when fromCurrentDispatcher -> answerAll(work, givenUp);
      case WorkOutcome.Completed completed ->
          acceptFinalOutcome(work, completed, fromCurrentDispatcher);
      case WorkOutcome.Failed failed -> acceptFinalOutcome(work, failed, fromCurrentDispatcher);
      case WorkOutcome.NotRun late -> logOutdatedReport(work, reported.from());
      case WorkOutcome.GivenUp late -> logOutdatedReport(work, reported.from());
    }
  }

  /** Answers all callers with an outcome that is valid whichever dispatcher reports it. */
  private void acceptFinalOutcome(
      PendingWork work, WorkOutcome outcome, boolean fromCurrentDispatcher) {
    if (!fromCurrentDispatcher) {
      cancel(work);
    }
    answerAll(work, outcome);
  }

  /**
   * Logs a report of an earlier dispatcher without using it: work that this dispatcher doesn't run
   * may be run by the one that has the work now.
   */
  private void logOutdatedReport(PendingWork work, String from) {
    logEvent("report-outdated", work, work.callers.values().iterator().next(), " from=" + from);
  }

  /** Offers refused work to another shard, or answers the callers if there is none. */
  private void handleRefusal(PendingWork work, WorkOutcome.NotRun notRun) {
    PendingWork.Caller first = work.callers.values().iterator().next();
    boolean evacuated = work.shard.filter(shardSelector::isEvacuated).isPresent();
    if (!evacuated) {
      work.submittedTo.map(IntakeEvent.Dispatcher::host).ifPresent(work.refusedBy::add);
    }
    Optional<ShardId> next = selectNext(work, first);
    if (next.isEmpty()) {
      answerAll(work, refusalOutcome(work, notRun));
      return;
    }
    logEvent("work-spilled", work, first, " to=" + next.get());
    work.submittedTo = Optional.empty();
    work.shard = next;
    submitAll(work);
  }

  /**
   * Returns the shard to which refused work is offered next. Work that only evacuated shards have
   * refused goes to any other one, like new work.
   */
  private Optional<ShardId> selectNext(PendingWork work, PendingWork.Caller caller) {
    if (work.refusedBy.isEmpty()) {
      return shardSelector.select(caller.request, now);
    }
    return work.refusedBy.size() <= MAX_SPILLS
        ? shardSelector.selectAlternative(caller.request, work.refusedBy, now)
        : Optional.empty();
  }

  /** Returns the refusal, or a given-up outcome if an earlier dispatcher may have run the work. */
  private static WorkOutcome refusalOutcome(PendingWork work, WorkOutcome.NotRun notRun) {
    return work.mayHaveRun ? new WorkOutcome.GivenUp(notRun.reason()) : notRun;
  }

  private void updateDispatchers(Map<ShardId, IntakeEvent.Dispatcher> current) {
    if (current.equals(dispatchers)) {
      return;
    }
    updateLastContacts();
    Set<IntakeEvent.Dispatcher> appeared = new HashSet<>(current.values());
    appeared.removeAll(dispatchers.values());
    appeared.forEach(dispatcher -> lastContactByHost.put(dispatcher.host(), now));
    dispatchers.keySet().forEach(shard -> withoutDispatcherSince.putIfAbsent(shard, now));
    withoutDispatcherSince.keySet().removeAll(current.keySet());
    dispatchers = current;
    shardSelector.updateDispatchers(IntakeEvent.Dispatcher.hosts(current));
    heldWork.updateDispatchers(current, now);
    submitInOrder(this::needsResubmission);
  }

  private void submitInOrder(Predicate<PendingWork> filter) {
    heldWork.inReleaseOrder(workById.values(), now).stream()
        .filter(filter)
        .forEach(this::submitAll);
  }

  /** Returns whether the work is unassigned or its shard's dispatcher isn't the one that has it. */
  private boolean needsResubmission(PendingWork work) {
    return work.shard.isEmpty() || !work.submittedTo.equals(dispatcherOf(work));
  }

  private Optional<IntakeEvent.Dispatcher> dispatcherOf(PendingWork work) {
    return work.shard.map(dispatchers::get);
  }

  /**
   * Records a message of a host, and whether that host receives messages of this one.
   *
   * <p>Every message counts, as heartbeats to that host report the last message, of whatever kind,
   * and a dispatcher counts its contact with this host by that report.
   *
   * <p>In a one-way partition heartbeats of a dispatcher go on arriving although it receives no
   * work. It then gets no new work. What it has stays with it, as its runs may go on.
   */
  private void recordContact(IntakeEvent.DispatcherMessageReceived received) {
    String host = received.host();
    lastContactByHost.put(host, now);
    if (received.lastContactAgeMillis().isEmpty()) {
      return;
    }
    boolean reachable =
        received.lastContactAgeMillis().getAsLong() <= INBOUND_SILENCE_TIMEOUT_MILLIS;
    if (reachable ? unreachableHosts.remove(host) : unreachableHosts.add(host)) {
      shardSelector.updateUnreachableHosts(unreachableHosts);
    }
  }

  /**
   * Updates the time of last contact with the dispatcher of each piece of work. This host is always
   * in contact with itself.
   */
  private void updateLastContacts() {
    lastContactByHost.put(self, now);
    for (PendingWork work : workById.values()) {
      if (work.submittedTo.isPresent() && work.submittedTo.equals(dispatcherOf(work))) {
        work.lastContactAt =
            lastContactByHost.getOrDefault(work.submittedTo.get().host(), work.lastContactAt);
      }
    }
  }

  /** Resends the messages that the previous connection to a host may have lost. */
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
    if (heldWork.awaitsShard(work, shard -> !shardSelector.isEvacuated(shard), now)) {
      hold(work, caller, "shard-without-dispatcher");
      return;
    }
    if (work.shard.isEmpty() || mayLeaveShard(work)) {
      work.shard = shardSelector.select(caller.request, now).or(() -> work.shard);
    }
    Optional<IntakeEvent.Dispatcher> target = dispatcherOf(work);
    if (heldWork.mustWait(work, target, now)) {
      hold(work, caller, target.isEmpty() ? "no-dispatcher" : "dispatcher-cold");
    } else {
      target.ifPresent(dispatcher -> submitTo(dispatcher, work, caller));
    }
  }

  private void hold(PendingWork work, PendingWork.Caller caller, String reason) {
    if (heldWork.add(work)) {
      logEvent("work-held", work, caller, " reason=" + reason);
    }
  }

  /** Returns whether the work's shard is vacant and another shard may take the work. */
  private boolean mayLeaveShard(PendingWork work) {
    Long vacantSince = work.shard.map(withoutDispatcherSince::get).orElse(null);
    return vacantSince != null
        && (now - vacantSince >= SUCCESSOR_TIMEOUT_MILLIS || hasLayoutChanged(work));
  }

  /**
   * Returns whether the fleet was divided into shards, or merged into one, since the work was
   * assigned to its shard.
   */
  private boolean hasLayoutChanged(PendingWork work) {
    return work.shard.filter(ShardId.WHOLE_FLEET::equals).isPresent()
        || dispatchers.containsKey(ShardId.WHOLE_FLEET);
  }

  private void submitTo(
      IntakeEvent.Dispatcher target, PendingWork work, PendingWork.Caller caller) {
    if (work.submittedTo.isPresent() && !work.submittedTo.get().equals(target)) {
      countIfLost(work);
      if (work.lostDispatchers > MAX_LOST_DISPATCHERS) {
        // The next tick gives the work up.
        return;
      }
      moveTo(work, caller, target);
    }
    if (heldWork.release(work, target, now)) {
      logEvent("work-released", work, caller, " to=" + target.host());
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
            Math.max(0, work.quietPeriodEndsAt - now),
            domain));
  }

  /** Counts the dispatcher that has the work as lost if it has fallen silent. */
  private void countIfLost(PendingWork work) {
    boolean lost =
        work.submittedTo
            .filter(dispatcher -> !dispatcher.host().equals(self))
            .map(dispatcher -> lastContactByHost.getOrDefault(dispatcher.host(), now))
            .filter(contactAt -> now - contactAt >= INBOUND_SILENCE_TIMEOUT_MILLIS)
            .isPresent();
    if (lost) {
      work.lostDispatchers++;
    }
  }

  private void moveTo(PendingWork work, PendingWork.Caller caller, IntakeEvent.Dispatcher target) {
    work.quietPeriodEndsAt =
        Math.max(work.quietPeriodEndsAt, orphanedSince(work) + maxOrphanedRunMillis);
    work.mayHaveRun = true;
    // In a one-way partition the earlier dispatcher may still receive messages and continue.
    cancel(work);
    logEvent(
        "work-moved",
        work,
        caller,
        " to="
            + target.host()
            + " token="
            + target.token()
            + " quiet="
            + Math.max(0, work.quietPeriodEndsAt - now));
  }

  /**
   * Cancels the work at the dispatcher that has it.
   *
   * <p>The caller may retry at another host, which may select another shard. The cancellation is
   * therefore retained, and resent if the connection breaks, as it may have been lost.
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
   * Returns the time of the last contact between this host and the dispatcher that has the work, in
   * milliseconds.
   *
   * <p>Usually this is the time of the dispatcher's last message. A host that was paused may submit
   * work, before it discovers what has changed, to a dispatcher that has long been silent but is
   * still alive; then it is the time of the submission.
   */
  private static long orphanedSince(PendingWork work) {
    boolean wasSilent =
        work.lastSubmittedAt - work.lastContactAt > DISPATCHER_SILENCE_TIMEOUT_MILLIS;
    return wasSilent ? work.lastSubmittedAt : work.lastContactAt;
  }

  private void tick() {
    updateLastContacts();
    cancellations.values().removeIf(cancelledAt -> now - cancelledAt > RETENTION_MILLIS);
    workById
        .values()
        .removeIf(work -> work.callers.isEmpty() && now - work.idleSince > RETENTION_MILLIS);
    for (PendingWork work : heldWork.inReleaseOrder(workById.values(), now)) {
      List.copyOf(work.callers.values()).forEach(caller -> checkTimeouts(work, caller));
    }
  }

  private void checkTimeouts(PendingWork work, PendingWork.Caller caller) {
    long age = now - caller.arrivedAt;
    if (age >= caller.request.budgetMillis()) {
      giveUp(work, caller, "no outcome in time");
    } else if (work.lostDispatchers > MAX_LOST_DISPATCHERS) {
      giveUp(work, caller, "its dispatchers were lost");
    } else if (hasWaitedTooLong(work, caller)) {
      giveUp(work, caller, "no dispatcher");
    } else if (now - caller.lastSubmittedAt >= SUBMISSION_RETRY_INTERVAL_MILLIS) {
      submit(work, caller);
    }
  }

  /** Returns whether work has waited for a dispatcher as long as it may. */
  private boolean hasWaitedTooLong(PendingWork work, PendingWork.Caller caller) {
    long age = now - caller.arrivedAt;
    boolean awaitsDispatchers = dispatchers.isEmpty() || heldWork.contains(work);
    if (heldWork.isInForce() && awaitsDispatchers) {
      return !heldWork.canEndInTime(caller.request, age);
    }
    return hasNoDispatcher(work) && age >= DISPATCHER_TIMEOUT_MILLIS;
  }

  private boolean hasNoDispatcher(PendingWork work) {
    return dispatchers.isEmpty() || (work.submittedTo.isEmpty() && shardSelector.isEmpty());
  }

  private void giveUp(PendingWork work, PendingWork.Caller caller, String reason) {
    boolean neverSubmitted = work.submittedTo.isEmpty() && !work.mayHaveRun;
    answer(
        work,
        caller,
        neverSubmitted
            ? new WorkOutcome.NotRun(reason, heldWork.retryAfterMillis(work))
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
        new IntakeEffect.Answer(
            caller.ticket,
            caller.request,
            now - caller.arrivedAt,
            shardSelector.withRetryInterval(caller.request, outcome, now)));
  }

  private void removeCaller(PendingWork work, long ticket) {
    workByTicket.remove(ticket);
    work.callers.remove(ticket);
    work.idleSince = now;
    if (work.callers.isEmpty()) {
      heldWork.forget(work);
    }
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
