package org.burdockbay.core.lease;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.registration.ShardDispatcher;
import org.burdockbay.core.registration.WorkRegistrar;
import org.burdockbay.core.shard.ShardId;
import org.jspecify.annotations.Nullable;

/**
 * Registers the work of this dispatcher with the registrars of its ids, and keeps the registrations
 * of other dispatchers with this host as the registrar.
 *
 * <p>The registrar of an id is a dispatcher, chosen by rendezvous hashing over the shards that have
 * one, so no message is needed to find it. Work starts only once its registrar has confirmed that
 * no other dispatcher has it, and stays registered until none of its runs is left.
 *
 * <p>A registrar that doesn't answer doesn't hold work up for long: the work then starts after the
 * time for which runs of an earlier attempt may go on. A caller whose connection broke unnoticed by
 * its entry host isn't covered while the registrar can't be reached.
 */
final class WorkRegistrations {

  /** Silence of a registrar after which work no longer waits for it, in milliseconds. */
  private static final long ANSWER_TIMEOUT_MILLIS = 100;

  /** Time after which a silent registrar is waited for again, in milliseconds. */
  private static final long SILENCE_RETENTION_MILLIS = 500;

  /** Interval at which unconfirmed registrations are sent again, in milliseconds. */
  private static final long RETRY_INTERVAL_MILLIS = 100;

  /** Interval at which confirmed registrations are repeated, in milliseconds. */
  private static final long REPEAT_INTERVAL_MILLIS = 1_000;

  private final String self;
  private final DispatchContext context;
  private final RunTable runs;
  private final WorkRegistrar registrar;
  private final long maxLeaseMillis;
  private final Map<String, Registration> registrations = new HashMap<>();

  /** The registered work that is no longer waited for, but of which runs may be left. */
  private final Set<String> endingWork = new HashSet<>();

  /** Until when work doesn't wait for a registrar that didn't answer in time, by host. */
  private final Map<String, Long> silentUntil = new HashMap<>();

  private Map<ShardId, ShardDispatcher> dispatchers = Map.of();

  WorkRegistrations(String self, DispatchContext context, RunTable runs, LeaseTiming timing) {
    this.self = self;
    this.maxLeaseMillis = timing.maxLeaseMillis();
    this.context = context;
    this.runs = runs;
    this.registrar =
        new WorkRegistrar(
            self,
            timing.maxLeaseMillis(),
            timing.maxOrphanedRunMillis(),
            timing.callerRetryDelayMillis());
  }

  /** Discards all state but the dispatchers of the fleet, when this host loses its role. */
  void clear() {
    registrations.clear();
    endingWork.clear();
    silentUntil.clear();
    registrar.clear();
  }

  /** Replaces the dispatchers, and registers the work whose registrar has changed. */
  void updateDispatchers(Map<ShardId, ShardDispatcher> changed) {
    dispatchers = changed;
    if (context.isDispatching()) {
      handleDecisions(registrar.updateDispatchers(dispatchers, context.now()));
      registrations.forEach(this::updateRegistrar);
    }
  }

  /** Prepares this host as a registrar, when it gains the role. */
  void roleGained() {
    handleDecisions(registrar.updateDispatchers(dispatchers, context.now()));
  }

  /** Returns whether tasks of the work may start, as far as other dispatchers are concerned. */
  boolean isConfirmed(WorkState work) {
    Registration registration = registrations.get(work.request.id());
    return registration == null || registration.state != State.PENDING;
  }

  /** Registers new work. */
  void register(WorkState work) {
    String id = work.request.id();
    endingWork.remove(id);
    Registration known = registrations.get(id);
    if (known != null) {
      // Runs of an earlier dispatcher may go on although an earlier attempt was cancelled here.
      delayStarts(work, Math.max(0, known.work.quietPeriodEndsAt - context.now()));
      work.mayHaveStarted |= known.work.mayHaveStarted;
      known.work = work;
      return;
    }
    Registration added = new Registration(id, work);
    registrations.put(id, added);
    requestRegistration(added, registrarOf(id));
  }

  /** Removes the registration of work once no run of it is left, here or elsewhere. */
  void workEnded(String workId) {
    Registration registration = registrations.get(workId);
    if (registration == null) {
      return;
    }
    if (isOver(registration)) {
      deregister(workId);
    } else {
      endingWork.add(workId);
    }
  }

  private boolean isOver(Registration registration) {
    return !runs.hasOpenRuns(registration.workId)
        && context.now() >= registration.work.quietPeriodEndsAt;
  }

  /** Removes the registrations of ended work of which no run is left by now. */
  void removeEnded() {
    if (!endingWork.isEmpty()) {
      for (String id : List.copyOf(endingWork)) {
        if (isOver(registrations.get(id))) {
          endingWork.remove(id);
          deregister(id);
        }
      }
    }
  }

  /** Handles a registration by another dispatcher. */
  void workRegistered(LeaseEvent.WorkRegistered event) {
    if (event.registrarToken() == context.token()) {
      ShardDispatcher dispatcher = new ShardDispatcher(event.dispatcher(), event.token());
      handleDecisions(
          registrar.register(dispatcher, event.workId(), event.underWay(), context.now()));
    }
  }

  /** Handles the removal of a registration by another dispatcher. */
  void workDeregistered(LeaseEvent.WorkDeregistered event) {
    ShardDispatcher dispatcher = new ShardDispatcher(event.dispatcher(), event.token());
    handleDecisions(registrar.deregister(dispatcher, event.workId(), context.now()));
  }

  /** Handles the confirmation of a registration. */
  void confirmed(String host, long token, String workId, long quietPeriodMillis) {
    silentUntil.remove(host);
    Registration registration = registrations.get(workId);
    if (registration == null || token != context.token() || !registration.isWith(host)) {
      return;
    }
    if (registration.state != State.CONFIRMED) {
      delayStarts(registration.work, quietPeriodMillis);
    }
    registration.state = State.CONFIRMED;
    registration.isHeldElsewhere = false;
  }

  /** Handles the notice that another dispatcher has the work. */
  void deferred(String host, long token, String workId, String holder) {
    silentUntil.remove(host);
    Registration registration = registrations.get(workId);
    if (registration == null || token != context.token() || !registration.isWith(host)) {
      return;
    }
    if (!holder.isEmpty() && !registration.isHeldElsewhere) {
      registration.isHeldElsewhere = true;
      handleOtherHolder(registration, holder);
    }
    registration.deferred = true;
    if (registration.state == State.ASSUMED && !runs.hasOpenRuns(workId)) {
      registration.state = State.PENDING;
    }
  }

  /**
   * Handles that another dispatcher has the work, and may run it.
   *
   * <p>Runs here are stopped: those of an earlier dispatcher that were adopted before the
   * registrar's answer, whose lease would be extended beyond the quiet period of the holder, and
   * those that were started while the registrar didn't answer.
   */
  private void handleOtherHolder(Registration registration, String holder) {
    WorkState work = registration.work;
    context.logEvent(
        "work-elsewhere",
        "work="
            + registration.workId
            + " holder="
            + holder
            + " runs="
            + runs.hasOpenRuns(registration.workId));
    work.mayHaveStarted = true;
    registration.state = State.PENDING;
    runs.stopRunsOf(work);
  }

  void tick() {
    handleDecisions(registrar.tick(context.now()));
    List.copyOf(registrations.values()).forEach(this::repeatIfDue);
  }

  private void repeatIfDue(Registration registration) {
    ShardDispatcher target = registration.registrar;
    if (target == null) {
      return;
    }
    long silence = context.now() - registration.requestedAt;
    if (registration.state == State.PENDING
        && !registration.deferred
        && silence >= ANSWER_TIMEOUT_MILLIS) {
      silentUntil.put(target.host(), context.now() + SILENCE_RETENTION_MILLIS);
      assume(registration, target);
    }
    long interval =
        registration.state == State.CONFIRMED ? REPEAT_INTERVAL_MILLIS : RETRY_INTERVAL_MILLIS;
    if (context.now() - registration.sentAt >= interval) {
      send(registration, target);
    }
  }

  /** Lets work start without a confirmation, as the registrar doesn't answer. */
  private void assume(Registration registration, ShardDispatcher target) {
    registration.state = State.ASSUMED;
    delayStarts(registration.work, registrar.minQuietPeriodMillis());
    context.logEvent(
        "registration-unanswered",
        "work="
            + registration.workId
            + " registrar="
            + target.host()
            + " silence="
            + (context.now() - registration.requestedAt)
            + " quiet="
            + registrar.minQuietPeriodMillis());
  }

  private void delayStarts(WorkState work, long quietPeriodMillis) {
    work.quietPeriodEndsAt = Math.max(work.quietPeriodEndsAt, context.now() + quietPeriodMillis);
    work.mayHaveStarted |= quietPeriodMillis > 0;
  }

  private void updateRegistrar(String workId, Registration registration) {
    ShardDispatcher current = registrarOf(workId);
    ShardDispatcher previous = registration.registrar;
    if (current == null ? previous == null : current.equals(previous)) {
      return;
    }
    if (registration.isHeldElsewhere && !dispatchers.containsValue(previous)) {
      // The earlier registrar may have had the work itself; its runs end with their lease.
      delayStarts(registration.work, maxLeaseMillis);
    }
    requestRegistration(registration, current);
  }

  private @Nullable ShardDispatcher registrarOf(String workId) {
    if (dispatchers.isEmpty() || dispatchers.containsKey(ShardId.WHOLE_FLEET)) {
      return null;
    }
    return WorkRegistrar.registrarOf(workId, dispatchers).orElse(null);
  }

  private void requestRegistration(Registration registration, @Nullable ShardDispatcher target) {
    registration.registrar = target;
    registration.requestedAt = context.now();
    registration.deferred = false;
    registration.isHeldElsewhere = false;
    if (target == null) {
      // The only dispatcher of an undivided fleet needs no registrar.
      registration.state = State.CONFIRMED;
      return;
    }
    if (registration.state == State.CONFIRMED) {
      registration.state = State.ASSUMED;
    }
    send(registration, target);
    if (registration.state == State.PENDING && isSilent(target)) {
      assume(registration, target);
    }
  }

  private boolean isSilent(ShardDispatcher target) {
    return context.now() < silentUntil.getOrDefault(target.host(), Long.MIN_VALUE);
  }

  private void send(Registration registration, ShardDispatcher target) {
    registration.sentAt = context.now();
    boolean underWay = registration.state != State.PENDING;
    if (isSelf(target)) {
      handleDecisions(registrar.register(ownRole(), registration.workId, underWay, context.now()));
    } else {
      context.emit(
          new LeaseEffect.RegisterWork(
              target.host(), target.token(), context.token(), registration.workId, underWay));
    }
  }

  private void deregister(String workId) {
    Registration removed = registrations.remove(workId);
    if (removed != null && removed.registrar != null) {
      sendRemoval(workId, removed.registrar);
    }
  }

  private void sendRemoval(String workId, ShardDispatcher target) {
    if (isSelf(target)) {
      handleDecisions(registrar.deregister(ownRole(), workId, context.now()));
    } else {
      context.emit(new LeaseEffect.DeregisterWork(target.host(), context.token(), workId));
    }
  }

  private void handleDecisions(List<WorkRegistrar.Decision> decisions) {
    for (WorkRegistrar.Decision decision : decisions) {
      switch (decision) {
        case WorkRegistrar.Decision.Confirmed confirmed -> handleConfirmed(confirmed);
        case WorkRegistrar.Decision.Deferred deferred -> handleDeferred(deferred);
      }
    }
  }

  private void handleConfirmed(WorkRegistrar.Decision.Confirmed confirmed) {
    ShardDispatcher dispatcher = confirmed.dispatcher();
    if (isSelf(dispatcher)) {
      confirmed(self, dispatcher.token(), confirmed.workId(), confirmed.quietPeriodMillis());
    } else {
      context.emit(
          new LeaseEffect.ConfirmRegistration(
              dispatcher.host(),
              dispatcher.token(),
              confirmed.workId(),
              confirmed.quietPeriodMillis()));
    }
  }

  private void handleDeferred(WorkRegistrar.Decision.Deferred deferred) {
    ShardDispatcher dispatcher = deferred.dispatcher();
    if (deferred.underWay()) {
      context.logEvent(
          "registration-conflict",
          "work="
              + deferred.workId()
              + " holder="
              + deferred.holder()
              + " other="
              + dispatcher.host());
    }
    if (isSelf(dispatcher)) {
      deferred(self, dispatcher.token(), deferred.workId(), deferred.holder());
    } else {
      context.emit(
          new LeaseEffect.DeferRegistration(
              dispatcher.host(), dispatcher.token(), deferred.workId(), deferred.holder()));
    }
  }

  private boolean isSelf(ShardDispatcher dispatcher) {
    return dispatcher.host().equals(self);
  }

  private ShardDispatcher ownRole() {
    return new ShardDispatcher(self, context.token());
  }

  /** The state of a registration. */
  private enum State {
    /** Not answered, or another dispatcher has the work; no task may start. */
    PENDING,
    /** Confirmed by the registrar. */
    CONFIRMED,
    /** Confirmed by an earlier registrar, or not answered in time; tasks may start. */
    ASSUMED
  }

  private static final class Registration {

    final String workId;
    WorkState work;
    @Nullable ShardDispatcher registrar;
    State state = State.PENDING;

    /** Whether the registrar has answered that the work has to wait. */
    boolean deferred;

    /** Whether another dispatcher has the work, as the registrar has answered. */
    boolean isHeldElsewhere;

    /** When the registration was first requested from this registrar, in milliseconds. */
    long requestedAt;

    long sentAt;

    Registration(String workId, WorkState work) {
      this.workId = workId;
      this.work = work;
    }

    boolean isWith(String host) {
      return registrar != null && registrar.host().equals(host);
    }
  }
}
