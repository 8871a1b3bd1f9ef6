package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongConsumer;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.intake.IntakeEffect;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.intake.WorkIntake;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.membership.MembershipOptions;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.registration.ShardDispatcher;
import org.burdockbay.core.shard.ShardId;

/**
 * One host of a {@link LeaseModel}, with membership, intake and dispatcher wired as in a process.
 */
final class ModelEntryHost {

  private static final String GROUP = "entry";
  private static final long SILENCE_TIMEOUT_MILLIS = 450;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 150;
  private static final long TICK_INTERVAL_MILLIS = 25;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MAX_LAG_MILLIS = 1_000;

  final String name;
  final String domain;
  private final LeaseModel model;
  private final Map<Long, CallerAttempt> callers = new HashMap<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Long> restartSeenAt = new HashMap<>();
  private final Map<String, Long> lastContacts = new HashMap<>();
  private final List<Runnable> heldActions = new ArrayList<>();
  private final List<Runnable> inbox = new ArrayList<>();
  boolean up;
  boolean paused;

  /** How far the host's clock is ahead of the model's at the start of its process. */
  long clockAheadAtStartMillis;

  /** Whether the host has a disk, from which a restarted process restores the highest epoch. */
  boolean persistsEpoch;

  long savedEpoch;
  private long clockAheadMillis;
  private long generation;
  private long incarnation;
  private long lastTicket;
  private long clockPausedMillis;
  private long pausedAt;
  private boolean pausesClock;
  private boolean handlingBatch;

  /** The time until which the processor is busy with events that have arrived, in microseconds. */
  private long busyUntilMicros;

  private long workBusyUntil;
  private Membership membership;
  private WorkIntake intake;
  private LeaseDispatcher dispatcher;
  private Evacuations evacuations = Evacuations.NONE;
  private List<IntakeEvent.Dispatcher> knownDispatchers = List.of();

  /** When this host was last down, paused or cut off from the hosts with a disk. */
  private long lastOutOfTouchAt;

  ModelEntryHost(LeaseModel model, String name, String domain) {
    this.model = model;
    this.name = name;
    this.domain = domain;
  }

  void start() {
    up = true;
    paused = false;
    generation++;
    clockAheadMillis = clockAheadAtStartMillis;
    incarnation = clock();
    handlingBatch = false;
    inbox.clear();
    workBusyUntil = 0;
    restartSeenAt.clear();
    membership =
        Membership.withDiscovery(
            new HostDescriptor(name, GROUP, domain, ""),
            MembershipOptions.ofAddress(name, SILENCE_TIMEOUT_MILLIS, true)
                .withClaimsByDomain(model.options().stagedRecovery()),
            clock());
    model
        .hosts
        .values()
        .forEach(host -> membership.addHost(host.name, GROUP, host.domain, clock()));
    membership.restore(savedEpoch);
    intake =
        new WorkIntake(
            name,
            domain,
            SILENCE_TIMEOUT_MILLIS + LeaseTiming.DEFAULT.maxLeaseMillis(),
            model.options());
    LeaseTiming timing =
        LeaseTiming.DEFAULT.withCallerRetryDelay(model.callers().retryIntervalMillis());
    dispatcher = new LeaseDispatcher(name, timing, model.options(), model.workLimits());
    incarnations.clear();
    lastContacts.clear();
    evacuations = Evacuations.NONE;
    knownDispatchers = List.of();
    lastOutOfTouchAt = model.now();
    long started = generation;
    model.schedule(model.random().nextLong(TICK_INTERVAL_MILLIS), () -> tickPeriodically(started));
    model.schedule(
        model.random().nextLong(HEARTBEAT_INTERVAL_MILLIS), () -> heartbeatPeriodically(started));
  }

  /** Ends the process, which breaks the connections of its callers. */
  void kill() {
    up = false;
    generation++;
    heldActions.clear();
    List<CallerAttempt> accepted = List.copyOf(callers.values());
    callers.clear();
    model.callers().hostEnded(this, accepted);
  }

  /**
   * Pauses the process.
   *
   * @param clockToo whether the host's clock stops as well, as on a suspended machine
   */
  void pause(boolean clockToo) {
    if (up && !paused) {
      paused = true;
      pausesClock = clockToo;
      pausedAt = model.now();
    }
  }

  void resume() {
    if (!paused) {
      return;
    }
    paused = false;
    lastOutOfTouchAt = model.now();
    if (pausesClock) {
      clockPausedMillis += model.now() - pausedAt;
    }
    List<Runnable> actions = List.copyOf(heldActions);
    heldActions.clear();
    actions.forEach(Runnable::run);
  }

  void recover() {
    resume();
    if (!up) {
      start();
    }
  }

  int waitingCallers() {
    return callers.size();
  }

  boolean isDispatching() {
    return up && dispatcher.isDispatching();
  }

  /** Begins a planned stop: hands the role over, while waiting callers still get their answers. */
  void drain() {
    applyMembershipEffects(membership.drain(clock()));
  }

  void submit(CallerAttempt attempt) {
    model.trace(name, "submitted " + attempt.workId() + " up=" + up);
    if (!up) {
      model.callers().retryLater(attempt);
      return;
    }
    deliverWork(1, arrivedAt -> accept(attempt));
  }

  private void accept(CallerAttempt attempt) {
    lastTicket++;
    attempt.ticket = lastTicket;
    callers.put(lastTicket, attempt);
    handleIntake(new IntakeEvent.RequestReceived(lastTicket, attempt.request));
    if (attempt.isDisconnected) {
      forgetCaller(attempt);
    }
  }

  /** Notices that the connection of an attempt broke, behind its request. */
  void disconnect(CallerAttempt attempt) {
    deliverWork(
        0,
        arrivedAt -> {
          attempt.isDisconnected = true;
          forgetCaller(attempt);
        });
  }

  private void forgetCaller(CallerAttempt attempt) {
    if (callers.remove(attempt.ticket, attempt)) {
      handleIntake(new IntakeEvent.CallerDisconnected(attempt.ticket));
    }
  }

  void receiveAnnouncement(UpstreamAnnouncement announcement) {
    dispatch(new LeaseEvent.Announced(announcement));
    applyMembershipEffects(membership.growLayout(model.layout(), clock()));
  }

  /** Runs an action in the current process, once it isn't paused; drops it if the process ends. */
  void deliver(long delay, Runnable action) {
    long expectedGeneration = generation;
    model.schedule(delay, () -> receive(expectedGeneration, action));
  }

  /**
   * Delivers an event that concerns work, which waits while the host lags behind.
   *
   * @param action receives the time of arrival
   */
  private void deliverWork(long delay, LongConsumer action) {
    deliver(delay, () -> queueWork(action));
  }

  /** Runs an action that concerns work after those that arrived before it. */
  private void queueWork(LongConsumer action) {
    long arrivedAt = clock();
    if (!model.delaysWork()) {
      action.accept(arrivedAt);
      return;
    }
    workBusyUntil = Math.max(workBusyUntil, model.now()) + model.randomHandlingMillis();
    workBusyUntil = Math.min(workBusyUntil, model.now() + MAX_LAG_MILLIS);
    deliver(workBusyUntil - model.now(), () -> action.accept(arrivedAt));
  }

  private void receive(long expectedGeneration, Runnable action) {
    if (!up || expectedGeneration != generation) {
      return;
    }
    if (paused) {
      heldActions.add(() -> receive(expectedGeneration, action));
    } else if (model.eventMicros > 0) {
      runOnProcessor(model.eventMicros, action);
    } else if (model.batchesEvents()) {
      addToBatch(action);
    } else {
      action.run();
    }
  }

  /** Runs a periodic action, after all earlier events if the processor is limited. */
  private void runInOrder(Runnable action) {
    if (model.eventMicros > 0) {
      runOnProcessor(0, action);
    } else {
      action.run();
    }
  }

  /** Runs an action once the processor has handled all earlier events. */
  private void runOnProcessor(long micros, Runnable action) {
    long expectedGeneration = generation;
    long nowMicros = model.now() * MICROS_PER_MILLI;
    busyUntilMicros = Math.max(busyUntilMicros, nowMicros) + micros;
    model.schedule(
        (busyUntilMicros - nowMicros) / MICROS_PER_MILLI,
        () -> {
          if (up && expectedGeneration == generation) {
            action.run();
          }
        });
  }

  /** Adds an event to the batch that is handled once the control thread is free. */
  private void addToBatch(Runnable action) {
    inbox.add(action);
    if (inbox.size() == 1) {
      long expectedGeneration = generation;
      model.schedule(model.randomBusyMillis(), () -> handleBatch(expectedGeneration));
    }
  }

  private void handleBatch(long expectedGeneration) {
    if (!up || expectedGeneration != generation) {
      return;
    }
    if (paused) {
      heldActions.add(() -> handleBatch(expectedGeneration));
      return;
    }
    List<Runnable> batch = List.copyOf(inbox);
    inbox.clear();
    handlingBatch = true;
    for (Runnable action : batch) {
      if (up) {
        action.run();
      }
    }
    handlingBatch = false;
    applyEffects(dispatcher.place(clock()));
  }

  private long clock() {
    return model.now() + clockAheadMillis - clockPausedMillis;
  }

  private void tickPeriodically(long expectedGeneration) {
    if (!up || expectedGeneration != generation) {
      return;
    }
    if (!paused) {
      runInOrder(this::handleTick);
    }
    if (model.isCutOff(domain)) {
      lastOutOfTouchAt = model.now();
    }
    model.schedule(TICK_INTERVAL_MILLIS, () -> tickPeriodically(expectedGeneration));
  }

  private void handleTick() {
    applyMembershipEffects(membership.tick(clock()));
    savedEpoch = persistsEpoch ? membership.highestEpoch() : 0;
    dispatch(new LeaseEvent.Tick());
    handleIntake(new IntakeEvent.Tick());
  }

  private void heartbeatPeriodically(long expectedGeneration) {
    if (!up || expectedGeneration != generation) {
      return;
    }
    if (!paused) {
      runInOrder(this::sendHeartbeats);
    }
    receiveAgreedEvacuations();
    model.schedule(HEARTBEAT_INTERVAL_MILLIS, () -> heartbeatPeriodically(expectedGeneration));
  }

  /** Receives the agreed evacuations from a host with a disk, in some of its heartbeats. */
  private void receiveAgreedEvacuations() {
    if (model.evacuates && !model.isCutOff(domain) && model.faultRandom().nextInt(3) == 0) {
      Evacuations agreed = model.evacuations();
      deliver(2, () -> adopt(agreed));
    }
  }

  /** Adopts newer evacuations in the order in which a host's process does. */
  private void adopt(Evacuations offered) {
    if (offered.version() > evacuations.version()) {
      evacuations = offered;
      sendHeartbeats();
      handleIntake(
          new IntakeEvent.EvacuationsChanged(
              evacuations.domains(), evacuations.containsAll(LeaseModel.DOMAINS)));
      dispatch(new LeaseEvent.EvacuationsChanged(evacuations.domains()));
    }
  }

  /** Returns for how long this host has been up, running and connected, in milliseconds. */
  long millisInTouch() {
    return model.now() - lastOutOfTouchAt;
  }

  private void sendHeartbeats() {
    HostStatus status = status();
    handleIntake(new IntakeEvent.LoadReported(name, status.load()));
    for (ModelEntryHost other : model.hosts.values()) {
      if (other != this) {
        sendHeartbeat(other, status);
      }
    }
  }

  private HostStatus status() {
    return new HostStatus(
        name,
        GROUP,
        incarnation,
        storageIncarnation(),
        1,
        membership.claimedEpoch(),
        membership.highestEpoch(),
        membership.isDraining(),
        "",
        dispatcher.load(),
        domain,
        membership.layout(),
        membership.claimedShard().orElse(ShardId.WHOLE_FLEET),
        evacuations);
  }

  private void sendHeartbeat(ModelEntryHost other, HostStatus status) {
    long lastContactAt = lastContacts.getOrDefault(other.name, Long.MIN_VALUE);
    OptionalLong contactAge =
        lastContactAt == Long.MIN_VALUE
            ? OptionalLong.empty()
            : OptionalLong.of(clock() - lastContactAt);
    send(other, () -> other.receiveStatus(status, contactAge));
  }

  /** Returns 0, or that of a host with a disk where hosts wait for contact with one. */
  private long storageIncarnation() {
    return model.options().stagedRecovery() ? 1 : 0;
  }

  /** Handles a new connection to another host. */
  void handleReconnect(ModelEntryHost other) {
    deliver(
        0,
        () -> {
          sendHeartbeats();
          handleIntake(new IntakeEvent.PeerReconnected(other.name));
        });
  }

  /** Breaks the connection of a random waiting caller, which retries at any host. */
  void breakCallerConnection() {
    if (!up || paused || callers.isEmpty()) {
      return;
    }
    List<Long> tickets = List.copyOf(callers.keySet());
    long ticket = tickets.get(model.faultRandom().nextInt(tickets.size()));
    CallerAttempt attempt = callers.remove(ticket);
    model.trace(name, "lost the caller of " + attempt.workId());
    if (attempt.isWaiting) {
      model.callers().retryLater(attempt);
    }
    deliver(0, () -> handleIntake(new IntakeEvent.CallerDisconnected(ticket)));
  }

  private void receiveStatus(HostStatus status, OptionalLong contactAge) {
    lastContacts.put(status.host(), clock());
    adopt(status.evacuations());
    Long previous = incarnations.put(status.host(), status.incarnation());
    if (previous != null && previous < status.incarnation()) {
      restartSeenAt.put(status.host(), clock());
      dispatch(new LeaseEvent.EntryHostLost(status.host()));
    }
    applyMembershipEffects(membership.heartbeat(status, clock()));
    dispatch(new LeaseEvent.EntryHostMessageReceived(status.host(), contactAge));
    handleIntake(new IntakeEvent.DispatcherMessageReceived(status.host(), contactAge));
    handleIntake(new IntakeEvent.LoadReported(status.host(), status.load()));
  }

  private void send(ModelEntryHost other, Runnable action) {
    if (!up) {
      return;
    }
    if (other == this) {
      deliver(0, action);
      return;
    }
    LeaseModel.Link link = model.link(this, other);
    if (!model.isConnected(domain, other.domain)) {
      link.lossy = true;
    } else {
      model.reconnectIfLossy(link, this, other);
      if (!link.down) {
        other.deliverOver(link, model.randomLatencyMillis(domain, other.domain), action);
      }
    }
  }

  /** Runs an action on arrival, unless the connection that carries it was reset meanwhile. */
  private void deliverOver(LeaseModel.Link link, long delay, Runnable action) {
    long expectedGeneration = generation;
    long sentInGeneration = link.generation;
    LeaseModel.MessageChannel channel = link.channelTo(this);
    boolean inOrder = model.orderedDelivery;
    long earliestAt = model.now() + delay;
    long arrivesAt = inOrder ? channel.send(action, earliestAt) : earliestAt;
    model.schedule(
        arrivesAt - model.now(),
        () -> {
          if (link.generation == sentInGeneration) {
            receive(expectedGeneration, inOrder ? channel.receive() : action);
          }
        });
  }

  private void sendWork(ModelEntryHost other, LongConsumer action) {
    if (other == this) {
      deliverWork(0, action);
    } else if (model.orderedDelivery) {
      send(other, () -> other.queueWork(action));
    } else if (model.isConnected(domain, other.domain)) {
      other.deliverWork(model.randomLatencyMillis(domain, other.domain), action);
    }
  }

  private void applyMembershipEffects(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          notifyShardsChanged(claim.shard(), membership.routes());
          dispatch(new LeaseEvent.RoleGained(claim.epoch()));
          sendHeartbeats();
        }
        case MembershipEffect.Yield yield -> {
          dispatch(new LeaseEvent.RoleLost());
          sendHeartbeats();
        }
        case MembershipEffect.RoutesChanged routes -> applyRoutes(routes.view());
        case MembershipEffect.LayoutChanged changed -> sendHeartbeats();
        case MembershipEffect.HostLost lost -> {
          // The dispatcher detects silent hosts by itself.
        }
        case MembershipEffect.HostFound found -> {
          // The model takes no action on it.
        }
      }
    }
  }

  private void applyRoutes(RouteView view) {
    membership.claimedShard().ifPresent(own -> notifyShardsChanged(own, view));
    Map<ShardId, IntakeEvent.Dispatcher> dispatchers = new HashMap<>();
    Map<ShardId, ShardDispatcher> registrars = new HashMap<>();
    view.shards()
        .forEach(
            (shard, dispatching) -> {
              dispatchers.put(
                  shard, new IntakeEvent.Dispatcher(dispatching.host(), dispatching.epoch()));
              registrars.put(shard, new ShardDispatcher(dispatching.host(), dispatching.epoch()));
            });
    reportContact(dispatchers.values());
    dispatch(new LeaseEvent.DispatchersChanged(registrars));
    handleIntake(new IntakeEvent.OwnShardsChanged(Set.copyOf(membership.layout().shards(domain))));
    handleIntake(new IntakeEvent.DispatchersChanged(dispatchers));
  }

  /** Sends heartbeats to the dispatchers that have appeared, ahead of the submissions to them. */
  private void reportContact(Collection<IntakeEvent.Dispatcher> dispatchers) {
    HostStatus status = status();
    for (IntakeEvent.Dispatcher dispatcher : dispatchers) {
      if (!knownDispatchers.contains(dispatcher) && !dispatcher.host().equals(name)) {
        sendHeartbeat(model.hosts.get(dispatcher.host()), status);
      }
    }
    knownDispatchers = List.copyOf(dispatchers);
  }

  private void notifyShardsChanged(ShardId own, RouteView view) {
    dispatch(new LeaseEvent.ShardsChanged(own, view.liveShards()));
  }

  private void handleIntake(IntakeEvent event) {
    if (event instanceof IntakeEvent.DispatchersChanged changed) {
      model.trace(name, "dispatchers=" + changed.dispatchers());
    }
    for (IntakeEffect effect : intake.handle(event, clock())) {
      if (endsByError()) {
        return;
      }
      switch (effect) {
        case IntakeEffect.Submit submit -> {
          ModelEntryHost target = model.hosts.get(submit.to().host());
          sendWork(
              target,
              arrivedAt ->
                  target.dispatchSubmission(
                      new LeaseEvent.Submitted(
                          name,
                          submit.to().token(),
                          submit.ticket(),
                          submit.request(),
                          submit.ageMillis(),
                          submit.quietPeriodMillis(),
                          submit.origin()),
                      arrivedAt));
        }
        case IntakeEffect.Cancel cancel -> {
          ModelEntryHost target = model.hosts.get(cancel.to().host());
          LeaseEvent cancelled =
              new LeaseEvent.Cancelled(name, cancel.to().token(), cancel.workId());
          if (model.orderedDelivery && target != this) {
            send(target, () -> target.dispatch(cancelled));
          }
          sendWork(target, arrivedAt -> target.dispatch(cancelled, arrivedAt));
        }
        case IntakeEffect.Answer answer -> {
          CallerAttempt attempt = callers.remove(answer.ticket());
          if (attempt != null && attempt.isWaiting) {
            model.recordAnswer(attempt, answer.outcome());
          }
        }
        case IntakeEffect.LogEvent logged ->
            model.trace(name, logged.event() + " " + logged.fields());
      }
    }
  }

  /**
   * Returns whether the process has ended, or ends now because of an error on its control thread
   * between two effects of an event.
   */
  private boolean endsByError() {
    if (up && model.isErrorDue()) {
      model.trace(name, "ended by an error");
      model.kill(this);
      model.schedule(model.randomRestartMillis(), this::recover);
    }
    return !up;
  }

  /** Returns the estimated memory of the work that this host dispatches, in bytes. */
  long workBytes() {
    return dispatcher.workBytes();
  }

  private void dispatchSubmission(LeaseEvent.Submitted event, long arrivedAt) {
    if (arrivedAt > restartSeenAt.getOrDefault(event.entryHost(), Long.MIN_VALUE)) {
      dispatch(event, arrivedAt);
    }
  }

  private void dispatch(LeaseEvent event) {
    dispatch(event, clock());
  }

  private void dispatch(LeaseEvent event, long arrivedAt) {
    applyEffects(dispatcher.handle(event, arrivedAt, clock()));
    if (!handlingBatch) {
      applyEffects(dispatcher.place(clock()));
    }
  }

  private void applyEffects(List<LeaseEffect> effects) {
    model.checkWorkBytes(this, dispatcher.workBytes());
    for (LeaseEffect effect : effects) {
      if (endsByError()) {
        return;
      }
      switch (effect) {
        case LeaseEffect.Start start -> {
          model.recordStartSent(this, start.run(), start.upstream().domain());
          callUpstream(
              start.upstream(),
              0,
              upstream -> {
                OrderResult result = upstream.start(start);
                return new LeaseEvent.StartAnswered(
                    start.upstream(),
                    start.run(),
                    result,
                    OptionalLong.of(upstream.clock()),
                    model.startTimeInAnswers(upstream));
              },
              new LeaseEvent.StartAnswered(
                  start.upstream(), start.run(), OrderResult.NO_ANSWER, OptionalLong.empty()));
        }
        case LeaseEffect.Stop stop ->
            callUpstream(
                stop.upstream(),
                0,
                upstream -> {
                  OrderResult result = upstream.stop(stop);
                  return new LeaseEvent.StopAnswered(
                      stop.upstream(),
                      stop.run(),
                      result,
                      OptionalLong.of(upstream.clock()),
                      model.startTimeInAnswers(upstream));
                },
                new LeaseEvent.StopAnswered(
                    stop.upstream(), stop.run(), OrderResult.NO_ANSWER, OptionalLong.empty()));
        case LeaseEffect.Renew renew -> renew(renew);
        case LeaseEffect.Report report -> {
          ModelEntryHost target = model.hosts.get(report.entryHost());
          send(
              target,
              () ->
                  target.handleIntake(
                      new IntakeEvent.OutcomeReported(name, report.workId(), report.outcome())));
        }
        case LeaseEffect.RegisterWork register ->
            sendLeaseEvent(
                register.registrar(),
                new LeaseEvent.WorkRegistered(
                    name,
                    register.registrarToken(),
                    register.token(),
                    register.workId(),
                    register.underWay()));
        case LeaseEffect.ConfirmRegistration confirm ->
            sendLeaseEvent(
                confirm.dispatcher(),
                new LeaseEvent.RegistrationConfirmed(
                    name, confirm.token(), confirm.workId(), confirm.quietPeriodMillis()));
        case LeaseEffect.DeferRegistration defer ->
            sendLeaseEvent(
                defer.dispatcher(),
                new LeaseEvent.RegistrationDeferred(
                    name, defer.token(), defer.workId(), defer.holder()));
        case LeaseEffect.DeregisterWork deregister ->
            sendLeaseEvent(
                deregister.registrar(),
                new LeaseEvent.WorkDeregistered(name, deregister.token(), deregister.workId()));
        case LeaseEffect.Superseded superseded ->
            deliver(
                0,
                () ->
                    applyMembershipEffects(
                        membership.handleSupersededClaim(
                            superseded.token(), superseded.acceptedBefore(), clock())));
        case LeaseEffect.RoleReleased released ->
            deliver(0, () -> applyMembershipEffects(membership.reset(clock())));
        case LeaseEffect.LogEvent logged -> {
          model.trace(name, logged.event() + " " + logged.fields());
        }
      }
    }
  }

  /** Sends a message between dispatchers, which arrives as the given event. */
  private void sendLeaseEvent(String receiver, LeaseEvent event) {
    ModelEntryHost target = model.hosts.get(receiver);
    send(target, () -> target.dispatch(event));
  }

  private void callUpstream(
      UpstreamAnnouncement announcement,
      long waitMillis,
      java.util.function.Function<ModelUpstream, LeaseEvent> order,
      LeaseEvent unanswered) {
    ModelUpstream upstream = upstream(announcement);
    Call call = new Call(unanswered, waitMillis + LeaseTiming.DEFAULT.answerTimeoutMillis());
    if (!model.isConnected(domain, upstream.domain)) {
      return;
    }
    if (model.random().nextDouble() < model.delayedCallShare) {
      model.schedule(
          model.random().nextLong(model.minCallDelayMillis, model.maxCallDelayMillis),
          () -> {
            if (upstream.up) {
              LeaseEvent unusedAnswer = order.apply(upstream);
              LeaseModel.check(unusedAnswer != null, "an order has no outcome");
            }
          });
      return;
    }
    model.schedule(
        model.randomLatencyMillis(domain, upstream.domain),
        () -> {
          if (upstream.up) {
            LeaseEvent answer = order.apply(upstream);
            call.answer(answer, upstream);
          } else if (upstream.refusesConnections) {
            call.refuse(upstream);
          }
        });
  }

  private void renew(LeaseEffect.Renew renew) {
    ModelUpstream upstream = upstream(renew.upstream());
    Call call =
        new Call(
            new LeaseEvent.RenewalAnswered(
                renew.upstream(),
                renew.renewalNumber(),
                OrderResult.NO_ANSWER,
                OptionalLong.empty(),
                List.of(),
                List.of()),
            renew.waitMillis() + renew.answerTimeoutMillis());
    if (model.isConnected(domain, upstream.domain)
        && model.random().nextDouble() >= model.delayedCallShare) {
      model.schedule(
          model.randomLatencyMillis(domain, upstream.domain),
          () -> {
            if (upstream.up) {
              upstream.renew(renew, answer -> call.answer(answer, upstream));
            } else if (upstream.refusesConnections) {
              call.refuse(upstream);
            }
          });
    }
  }

  private ModelUpstream upstream(UpstreamAnnouncement announcement) {
    return model.upstreams.stream()
        .filter(each -> each.id.equals(announcement.id()))
        .findFirst()
        .orElseThrow();
  }

  /** A call to an upstream, which ends once: with the upstream's answer or with the timeout. */
  private final class Call {

    private final LeaseEvent unanswered;
    private boolean finished;

    Call(LeaseEvent unanswered, long timeoutMillis) {
      this.unanswered = unanswered;
      deliverWork(timeoutMillis, arrivedAt -> finish(unanswered, arrivedAt));
    }

    void answer(LeaseEvent answer, ModelUpstream upstream) {
      boolean lost = model.random().nextDouble() < model.lostAnswerShare;
      if (!lost && model.isConnected(upstream.domain, domain)) {
        deliverWork(
            model.randomLatencyMillis(upstream.domain, domain),
            arrivedAt -> finish(answer, arrivedAt));
      }
    }

    /** Ends the call because nothing listens at the upstream's address. */
    void refuse(ModelUpstream upstream) {
      if (model.isConnected(upstream.domain, domain)) {
        deliverWork(1, arrivedAt -> finish(unanswered, arrivedAt));
      }
    }

    private void finish(LeaseEvent event, long arrivedAt) {
      if (!finished) {
        finished = true;
        dispatch(event, arrivedAt);
      }
    }
  }
}
