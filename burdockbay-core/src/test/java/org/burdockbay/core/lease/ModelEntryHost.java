package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
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
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkRequest;

/** One host of a {@link LeaseModel}: membership, intake and dispatch, wired as a process does. */
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
  private final Map<Long, WorkRequest> callers = new HashMap<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Long> restartSeenAt = new HashMap<>();
  private final List<Runnable> heldActions = new ArrayList<>();
  private final List<Runnable> inbox = new ArrayList<>();
  boolean up;
  boolean paused;

  /** By how much its time of day is ahead when its process starts, in milliseconds. */
  long clockAheadAtStartMillis;

  /** Whether it has a disk, from which the process recalls the highest epoch. */
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

  /** Until when the processor is busy with what has arrived, in microseconds. */
  private long busyUntilMicros;

  private long workBusyUntil;
  private Membership membership;
  private WorkIntake intake;
  private LeaseDispatcher dispatcher;

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
            MembershipOptions.ofAddress(name, SILENCE_TIMEOUT_MILLIS, true),
            clock());
    model.hosts.keySet().forEach(host -> membership.addHost(host, GROUP, clock()));
    membership.restore(savedEpoch);
    intake =
        new WorkIntake(name, domain, SILENCE_TIMEOUT_MILLIS + LeaseTiming.DEFAULT.maxLeaseMillis());
    dispatcher = new LeaseDispatcher(name, LeaseTiming.DEFAULT);
    incarnations.clear();
    long started = generation;
    model.schedule(model.random().nextLong(TICK_INTERVAL_MILLIS), () -> tickPeriodically(started));
    model.schedule(
        model.random().nextLong(HEARTBEAT_INTERVAL_MILLIS), () -> heartbeatPeriodically(started));
  }

  /** Ends the process; its callers see their connections break. */
  void kill() {
    up = false;
    generation++;
    heldActions.clear();
    callers.values().forEach(model::resubmitLater);
    callers.clear();
  }

  /**
   * Stops the process.
   *
   * @param clockToo whether its clock doesn't count that time either, as in a suspended machine
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
    if (pausesClock) {
      clockPausedMillis += model.now() - pausedAt;
    }
    List<Runnable> waiting = List.copyOf(heldActions);
    heldActions.clear();
    waiting.forEach(Runnable::run);
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

  /** A planned stop: the role is handed over, and what waits here is answered first. */
  void drain() {
    applyMembershipEffects(membership.drain(clock()));
  }

  void submit(WorkRequest request) {
    model.trace(name, "submitted " + request.id() + " up=" + up);
    if (!up) {
      model.resubmitLater(request);
      return;
    }
    deliverWork(
        1,
        arrivedAt -> {
          lastTicket++;
          callers.put(lastTicket, request);
          handleIntake(new IntakeEvent.RequestReceived(lastTicket, request));
        });
  }

  void receiveAnnouncement(UpstreamAnnouncement notice) {
    dispatch(new LeaseEvent.Announced(notice));
    applyMembershipEffects(membership.growLayout(model.layout(), clock()));
  }

  /** Runs an action in this life of the process, once it isn't frozen. */
  void deliver(long delay, Runnable action) {
    long meant = generation;
    model.schedule(delay, () -> receive(meant, action));
  }

  /** Runs a task of the work, which waits while the host is behind; it gets the arrival time. */
  private void deliverWork(long delay, LongConsumer action) {
    deliver(delay, () -> queueWork(action));
  }

  /** Runs a task of the work that has arrived behind the work that waits. */
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

  private void receive(long meant, Runnable action) {
    if (!up || meant != generation) {
      return;
    }
    if (paused) {
      heldActions.add(() -> receive(meant, action));
    } else if (model.eventMicros > 0) {
      runOnProcessor(model.eventMicros, action);
    } else if (model.batchesEvents()) {
      addToBatch(action);
    } else {
      action.run();
    }
  }

  /** Does what is due, behind what has arrived before if the processor is limited. */
  private void runInOrder(Runnable action) {
    if (model.eventMicros > 0) {
      runOnProcessor(0, action);
    } else {
      action.run();
    }
  }

  /** Handles an event once the processor is done with all that arrived before. */
  private void runOnProcessor(long micros, Runnable action) {
    long meant = generation;
    long nowMicros = model.now() * MICROS_PER_MILLI;
    busyUntilMicros = Math.max(busyUntilMicros, nowMicros) + micros;
    model.schedule(
        (busyUntilMicros - nowMicros) / MICROS_PER_MILLI,
        () -> {
          if (up && meant == generation) {
            action.run();
          }
        });
  }

  /** Handles what arrives while the control thread is busy as one batch. */
  private void addToBatch(Runnable action) {
    inbox.add(action);
    if (inbox.size() == 1) {
      long meant = generation;
      model.schedule(model.randomBusyMillis(), () -> handleBatch(meant));
    }
  }

  private void handleBatch(long meant) {
    if (!up || meant != generation) {
      return;
    }
    if (paused) {
      heldActions.add(() -> handleBatch(meant));
      return;
    }
    List<Runnable> batch = List.copyOf(inbox);
    inbox.clear();
    handlingBatch = true;
    batch.forEach(Runnable::run);
    handlingBatch = false;
    applyEffects(dispatcher.place(clock()));
  }

  private long clock() {
    return model.now() + clockAheadMillis - clockPausedMillis;
  }

  private void tickPeriodically(long meant) {
    if (!up || meant != generation) {
      return;
    }
    if (!paused) {
      runInOrder(this::handleTick);
    }
    model.schedule(TICK_INTERVAL_MILLIS, () -> tickPeriodically(meant));
  }

  private void handleTick() {
    applyMembershipEffects(membership.tick(clock()));
    savedEpoch = persistsEpoch ? membership.highestEpoch() : 0;
    dispatch(new LeaseEvent.Tick());
    handleIntake(new IntakeEvent.Tick());
  }

  private void heartbeatPeriodically(long meant) {
    if (!up || meant != generation) {
      return;
    }
    if (!paused) {
      runInOrder(this::sendHeartbeats);
    }
    model.schedule(HEARTBEAT_INTERVAL_MILLIS, () -> heartbeatPeriodically(meant));
  }

  private void sendHeartbeats() {
    HostStatus status =
        new HostStatus(
            name,
            GROUP,
            incarnation,
            0,
            1,
            membership.claimedEpoch(),
            membership.highestEpoch(),
            membership.isDraining(),
            "",
            dispatcher.load(),
            domain,
            membership.layout(),
            membership.claimedShard().orElse(ShardId.WHOLE_FLEET));
    handleIntake(new IntakeEvent.LoadReported(name, status.load()));
    for (ModelEntryHost other : model.hosts.values()) {
      if (other != this) {
        send(other, () -> other.receiveStatus(status));
      }
    }
  }

  /** The connection to another host is new. */
  void handleReconnect(ModelEntryHost other) {
    deliver(
        0,
        () -> {
          sendHeartbeats();
          handleIntake(new IntakeEvent.PeerReconnected(other.name));
        });
  }

  /** The connection of a caller that waits here breaks; it asks again elsewhere. */
  void breakCallerConnection() {
    if (!up || paused || callers.isEmpty()) {
      return;
    }
    List<Long> tickets = List.copyOf(callers.keySet());
    long ticket = tickets.get(model.faultRandom().nextInt(tickets.size()));
    WorkRequest request = callers.remove(ticket);
    model.trace(name, "lost the caller of " + request.id());
    model.resubmitLater(request);
    deliver(0, () -> handleIntake(new IntakeEvent.CallerDisconnected(ticket)));
  }

  private void receiveStatus(HostStatus status) {
    Long before = incarnations.put(status.host(), status.incarnation());
    if (before != null && before < status.incarnation()) {
      restartSeenAt.put(status.host(), clock());
      dispatch(new LeaseEvent.EntryHostLost(status.host()));
    }
    applyMembershipEffects(membership.heartbeat(status, clock()));
    dispatch(new LeaseEvent.EntryHostMessageReceived(status.host()));
    handleIntake(new IntakeEvent.DispatcherMessageReceived(status.host()));
    handleIntake(new IntakeEvent.LoadReported(status.host(), status.load()));
  }

  private void send(ModelEntryHost other, Runnable action) {
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

  /** Runs an action unless the connection that brings it is reset meanwhile. */
  private void deliverOver(LeaseModel.Link link, long delay, Runnable action) {
    long meant = generation;
    long sentOver = link.generation;
    LeaseModel.MessageChannel stream = link.channelTo(this);
    boolean inOrder = model.orderedDelivery;
    long earliestAt = model.now() + delay;
    long arrivesAt = inOrder ? stream.send(action, earliestAt) : earliestAt;
    model.schedule(
        arrivesAt - model.now(),
        () -> {
          if (link.generation == sentOver) {
            receive(meant, inOrder ? stream.receive() : action);
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
          // The dispatcher finds out by itself.
        }
        case MembershipEffect.HostFound found -> {
          // Nothing depends on it here.
        }
      }
    }
  }

  private void applyRoutes(RouteView view) {
    membership.claimedShard().ifPresent(own -> notifyShardsChanged(own, view));
    Map<ShardId, IntakeEvent.Dispatcher> known = new HashMap<>();
    view.shards()
        .forEach(
            (shard, found) ->
                known.put(shard, new IntakeEvent.Dispatcher(found.host(), found.epoch())));
    handleIntake(new IntakeEvent.DispatchersChanged(known));
  }

  private void notifyShardsChanged(ShardId own, RouteView view) {
    dispatch(new LeaseEvent.ShardsChanged(own, view.liveShards()));
  }

  private void handleIntake(IntakeEvent event) {
    if (event instanceof IntakeEvent.DispatchersChanged changed) {
      model.trace(name, "dispatchers=" + changed.dispatchers());
    }
    for (IntakeEffect effect : intake.handle(event, clock())) {
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
                          submit.quietPeriodMillis()),
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
          WorkRequest request = callers.remove(answer.ticket());
          if (request != null) {
            model.recordAnswer(request, answer.outcome());
          }
        }
        case IntakeEffect.LogEvent note -> model.trace(name, note.event() + " " + note.fields());
      }
    }
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
    for (LeaseEffect effect : effects) {
      switch (effect) {
        case LeaseEffect.Start start ->
            callUpstream(
                start.upstream(),
                0,
                upstream -> {
                  OrderResult result = upstream.start(start);
                  return new LeaseEvent.StartAnswered(
                      start.upstream(), start.run(), result, clockOf(upstream, result));
                },
                new LeaseEvent.StartAnswered(
                    start.upstream(), start.run(), OrderResult.NO_ANSWER, OptionalLong.empty()));
        case LeaseEffect.Stop stop ->
            callUpstream(
                stop.upstream(),
                0,
                upstream -> {
                  OrderResult result = upstream.stop(stop);
                  return new LeaseEvent.StopAnswered(
                      stop.upstream(), stop.run(), result, clockOf(upstream, result));
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
        case LeaseEffect.Superseded outranked ->
            deliver(
                0,
                () ->
                    applyMembershipEffects(
                        membership.handleSupersededClaim(
                            outranked.token(), outranked.acceptedBefore(), clock())));
        case LeaseEffect.RoleReleased stalled ->
            deliver(0, () -> applyMembershipEffects(membership.reset(clock())));
        case LeaseEffect.LogEvent note -> model.trace(name, note.event() + " " + note.fields());
      }
    }
  }

  private static OptionalLong clockOf(ModelUpstream upstream, OrderResult result) {
    return result == OrderResult.OTHER_LIFE
        ? OptionalLong.empty()
        : OptionalLong.of(upstream.clock());
  }

  private void callUpstream(
      UpstreamAnnouncement notice,
      long waitMillis,
      java.util.function.Function<ModelUpstream, LeaseEvent> order,
      LeaseEvent unanswered) {
    ModelUpstream upstream = upstream(notice);
    Call call = new Call(unanswered, waitMillis + LeaseTiming.DEFAULT.answerTimeoutMillis());
    if (!model.isConnected(domain, upstream.domain)) {
      return;
    }
    if (model.random().nextDouble() < model.delayedCallShare) {
      model.schedule(
          2_000 + model.random().nextLong(10_000),
          () -> {
            if (upstream.up) {
              LeaseEvent unheard = order.apply(upstream);
              LeaseModel.check(unheard != null, "an order has an outcome");
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
            }
          });
    }
  }

  private ModelUpstream upstream(UpstreamAnnouncement notice) {
    return model.upstreams.stream()
        .filter(each -> each.id.equals(notice.id()))
        .findFirst()
        .orElseThrow();
  }

  /** A call to an upstream: answered once, by the upstream or by the timeout. */
  private final class Call {

    private boolean finished;

    Call(LeaseEvent unanswered, long timeoutMillis) {
      deliverWork(timeoutMillis, arrivedAt -> finish(unanswered, arrivedAt));
    }

    void answer(LeaseEvent answer, ModelUpstream upstream) {
      boolean lost = model.random().nextDouble() < model.lostAnswerShare;
      if (!lost && model.isConnected(domain, upstream.domain)) {
        deliverWork(
            model.randomLatencyMillis(upstream.domain, domain),
            arrivedAt -> finish(answer, arrivedAt));
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
