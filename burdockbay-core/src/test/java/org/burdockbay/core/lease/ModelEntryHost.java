package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.LongConsumer;
import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.intake.IntakeEffect;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.intake.WorkIntake;
import org.burdockbay.core.membership.HostCard;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.membership.MembershipTerms;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkRequest;

/** One host of a {@link LeaseModel}: membership, intake and dispatch, wired as a process does. */
final class ModelEntryHost {

  private static final String GROUP = "entry";
  private static final long LOST_MILLIS = 450;
  private static final long HEARTBEAT_MILLIS = 150;
  private static final long TICK_MILLIS = 25;
  private static final long MICROS_PER_MILLI = 1_000;
  private static final long MOST_LAG_MILLIS = 1_000;

  final String name;
  final String domain;
  private final LeaseModel model;
  private final Map<Long, WorkRequest> callers = new HashMap<>();
  private final Map<String, Long> incarnations = new HashMap<>();
  private final Map<String, Long> restartSeenAt = new HashMap<>();
  private final List<Runnable> held = new ArrayList<>();
  private final List<Runnable> inbox = new ArrayList<>();
  boolean up;
  boolean frozen;

  /** By how much its time of day is ahead when its process starts, in milliseconds. */
  long aheadAtStart;

  /** Whether it has a disk, from which the process recalls the highest epoch. */
  boolean keepsEpoch;

  long savedEpoch;
  private long aheadMillis;
  private long life;
  private long incarnation;
  private long lastTicket;
  private long suspendedMillis;
  private long frozenAt;
  private boolean clockStops;
  private boolean placing;

  /** Until when the processor is busy with what has arrived, in microseconds. */
  private long busyUntilMicros;

  private long workUntil;
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
    frozen = false;
    life++;
    aheadMillis = aheadAtStart;
    incarnation = clock();
    placing = false;
    inbox.clear();
    workUntil = 0;
    restartSeenAt.clear();
    membership =
        Membership.growing(
            new HostCard(name, GROUP, domain, ""),
            MembershipTerms.ofAddress(name, LOST_MILLIS, true),
            clock());
    model.hosts.keySet().forEach(host -> membership.admit(host, GROUP, clock()));
    membership.recall(savedEpoch);
    intake = new WorkIntake(name, domain, LOST_MILLIS + LeaseTerms.DEFAULT.longestMillis());
    dispatcher = new LeaseDispatcher(name, LeaseTerms.DEFAULT);
    incarnations.clear();
    long started = life;
    model.after(model.random().nextLong(TICK_MILLIS), () -> tick(started));
    model.after(model.random().nextLong(HEARTBEAT_MILLIS), () -> beat(started));
  }

  /** Ends the process; its callers see their connections break. */
  void kill() {
    up = false;
    life++;
    held.clear();
    callers.values().forEach(model::brokenConnection);
    callers.clear();
  }

  /**
   * Stops the process.
   *
   * @param clockToo whether its clock doesn't count that time either, as in a suspended machine
   */
  void freeze(boolean clockToo) {
    if (up && !frozen) {
      frozen = true;
      clockStops = clockToo;
      frozenAt = model.now();
    }
  }

  void thaw() {
    if (!frozen) {
      return;
    }
    frozen = false;
    if (clockStops) {
      suspendedMillis += model.now() - frozenAt;
    }
    List<Runnable> waiting = List.copyOf(held);
    held.clear();
    waiting.forEach(Runnable::run);
  }

  void recover() {
    thaw();
    if (!up) {
      start();
    }
  }

  int waiting() {
    return callers.size();
  }

  boolean dispatches() {
    return up && dispatcher.dispatches();
  }

  /** A planned stop: the role is handed over, and what waits here is answered first. */
  void drain() {
    run(membership.drain(clock()));
  }

  void submit(WorkRequest request) {
    model.trace(name, "submitted " + request.id() + " up=" + up);
    if (!up) {
      model.brokenConnection(request);
      return;
    }
    deliverWork(
        1,
        arrivedAt -> {
          lastTicket++;
          callers.put(lastTicket, request);
          intake(new IntakeEvent.Opened(lastTicket, request));
        });
  }

  void announced(UpstreamNotice notice) {
    dispatch(new LeaseEvent.Announced(notice));
    run(membership.suits(model.layout(), clock()));
  }

  /** Runs an action in this life of the process, once it isn't frozen. */
  void deliver(long delay, Runnable action) {
    long meant = life;
    model.after(delay, () -> arrive(meant, action));
  }

  /** Runs a task of the work, which waits while the host is behind; it gets the arrival time. */
  private void deliverWork(long delay, LongConsumer action) {
    deliver(delay, () -> queueWork(action));
  }

  /** Runs a task of the work that has arrived behind the work that waits. */
  private void queueWork(LongConsumer action) {
    long arrivedAt = clock();
    if (!model.lags()) {
      action.accept(arrivedAt);
      return;
    }
    workUntil = Math.max(workUntil, model.now()) + model.handlingMillis();
    workUntil = Math.min(workUntil, model.now() + MOST_LAG_MILLIS);
    deliver(workUntil - model.now(), () -> action.accept(arrivedAt));
  }

  private void arrive(long meant, Runnable action) {
    if (!up || meant != life) {
      return;
    }
    if (frozen) {
      held.add(() -> arrive(meant, action));
    } else if (model.eventMicros > 0) {
      takeTurn(model.eventMicros, action);
    } else if (model.batches()) {
      gather(action);
    } else {
      action.run();
    }
  }

  /** Does what is due, behind what has arrived before if the processor is limited. */
  private void inTurn(Runnable action) {
    if (model.eventMicros > 0) {
      takeTurn(0, action);
    } else {
      action.run();
    }
  }

  /** Handles an event once the processor is done with all that arrived before. */
  private void takeTurn(long micros, Runnable action) {
    long meant = life;
    long nowMicros = model.now() * MICROS_PER_MILLI;
    busyUntilMicros = Math.max(busyUntilMicros, nowMicros) + micros;
    model.after(
        (busyUntilMicros - nowMicros) / MICROS_PER_MILLI,
        () -> {
          if (up && meant == life) {
            action.run();
          }
        });
  }

  /** Handles what arrives while the control thread is busy as one batch. */
  private void gather(Runnable action) {
    inbox.add(action);
    if (inbox.size() == 1) {
      long meant = life;
      model.after(model.busyMillis(), () -> handleInbox(meant));
    }
  }

  private void handleInbox(long meant) {
    if (!up || meant != life) {
      return;
    }
    if (frozen) {
      held.add(() -> handleInbox(meant));
      return;
    }
    List<Runnable> batch = List.copyOf(inbox);
    inbox.clear();
    placing = true;
    batch.forEach(Runnable::run);
    placing = false;
    carryOut(dispatcher.place(clock()));
  }

  private long clock() {
    return model.now() + aheadMillis - suspendedMillis;
  }

  private void tick(long meant) {
    if (!up || meant != life) {
      return;
    }
    if (!frozen) {
      inTurn(this::timePasses);
    }
    model.after(TICK_MILLIS, () -> tick(meant));
  }

  private void timePasses() {
    run(membership.tick(clock()));
    savedEpoch = keepsEpoch ? membership.highestEpoch() : 0;
    dispatch(new LeaseEvent.Tick());
    intake(new IntakeEvent.Tick());
  }

  private void beat(long meant) {
    if (!up || meant != life) {
      return;
    }
    if (!frozen) {
      inTurn(this::heartbeat);
    }
    model.after(HEARTBEAT_MILLIS, () -> beat(meant));
  }

  private void heartbeat() {
    HostStatus status =
        new HostStatus(
            name,
            GROUP,
            incarnation,
            0,
            1,
            membership.claimedEpoch(),
            membership.highestEpoch(),
            membership.draining(),
            "",
            dispatcher.load(),
            domain,
            membership.layout(),
            membership.claimedShard().orElse(ShardId.WHOLE_FLEET));
    intake(new IntakeEvent.LoadTold(name, status.load()));
    for (ModelEntryHost other : model.hosts.values()) {
      if (other != this) {
        send(other, () -> other.heard(status));
      }
    }
  }

  /** The connection to another host is new. */
  void reset(ModelEntryHost other) {
    deliver(
        0,
        () -> {
          heartbeat();
          intake(new IntakeEvent.PeerReset(other.name));
        });
  }

  /** The connection of a caller that waits here breaks; it asks again elsewhere. */
  void loseCaller() {
    if (!up || frozen || callers.isEmpty()) {
      return;
    }
    List<Long> tickets = List.copyOf(callers.keySet());
    long ticket = tickets.get(model.faults().nextInt(tickets.size()));
    WorkRequest request = callers.remove(ticket);
    model.trace(name, "lost the caller of " + request.id());
    model.brokenConnection(request);
    deliver(0, () -> intake(new IntakeEvent.Left(ticket)));
  }

  private void heard(HostStatus status) {
    Long before = incarnations.put(status.host(), status.incarnation());
    if (before != null && before < status.incarnation()) {
      restartSeenAt.put(status.host(), clock());
      dispatch(new LeaseEvent.EntryLost(status.host()));
    }
    run(membership.heartbeat(status, clock()));
    dispatch(new LeaseEvent.EntryHeard(status.host()));
    intake(new IntakeEvent.DispatcherHeard(status.host()));
    intake(new IntakeEvent.LoadTold(status.host(), status.load()));
  }

  private void send(ModelEntryHost other, Runnable action) {
    if (other == this) {
      deliver(0, action);
      return;
    }
    LeaseModel.Link link = model.link(this, other);
    if (!model.connected(domain, other.domain)) {
      link.lossy = true;
    } else {
      model.renewIfLossy(link, this, other);
      if (!link.down) {
        other.deliverOver(link, model.oneWayMillis(domain, other.domain), action);
      }
    }
  }

  /** Runs an action unless the connection that brings it is reset meanwhile. */
  private void deliverOver(LeaseModel.Link link, long delay, Runnable action) {
    long meant = life;
    long sentOver = link.generation;
    LeaseModel.Stream stream = link.streamTo(this);
    boolean inOrder = model.ordered;
    long earliestAt = model.now() + delay;
    long arrivesAt = inOrder ? stream.send(action, earliestAt) : earliestAt;
    model.after(
        arrivesAt - model.now(),
        () -> {
          if (link.generation == sentOver) {
            arrive(meant, inOrder ? stream.receive() : action);
          }
        });
  }

  private void sendWork(ModelEntryHost other, LongConsumer action) {
    if (other == this) {
      deliverWork(0, action);
    } else if (model.ordered) {
      send(other, () -> other.queueWork(action));
    } else if (model.connected(domain, other.domain)) {
      other.deliverWork(model.oneWayMillis(domain, other.domain), action);
    }
  }

  private void run(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          scope(claim.shard(), membership.routes());
          dispatch(new LeaseEvent.RoleGained(claim.epoch()));
          heartbeat();
        }
        case MembershipEffect.Yield yield -> {
          dispatch(new LeaseEvent.RoleLost());
          heartbeat();
        }
        case MembershipEffect.Routes routes -> routed(routes.view());
        case MembershipEffect.LayoutChanged changed -> heartbeat();
        case MembershipEffect.HostLost lost -> {
          // The dispatcher finds out by itself.
        }
        case MembershipEffect.HostFound found -> {
          // Nothing depends on it here.
        }
      }
    }
  }

  private void routed(RouteView view) {
    membership.claimedShard().ifPresent(own -> scope(own, view));
    Map<ShardId, IntakeEvent.Dispatcher> known = new HashMap<>();
    view.shards()
        .forEach(
            (shard, found) ->
                known.put(shard, new IntakeEvent.Dispatcher(found.host(), found.epoch())));
    intake(new IntakeEvent.DispatchersChanged(known));
  }

  private void scope(ShardId own, RouteView view) {
    dispatch(new LeaseEvent.ScopeChanged(own, view.liveShards()));
  }

  private void intake(IntakeEvent event) {
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
                  target.submitted(
                      new LeaseEvent.Submitted(
                          name,
                          submit.to().token(),
                          submit.ticket(),
                          submit.request(),
                          submit.ageMillis(),
                          submit.quietMillis()),
                      arrivedAt));
        }
        case IntakeEffect.Cancel cancel -> {
          ModelEntryHost target = model.hosts.get(cancel.to().host());
          LeaseEvent cancelled =
              new LeaseEvent.Cancelled(name, cancel.to().token(), cancel.workId());
          if (model.ordered && target != this) {
            send(target, () -> target.dispatch(cancelled));
          }
          sendWork(target, arrivedAt -> target.dispatch(cancelled, arrivedAt));
        }
        case IntakeEffect.Answer answer -> {
          WorkRequest request = callers.remove(answer.ticket());
          if (request != null) {
            model.answered(request, answer.outcome());
          }
        }
        case IntakeEffect.Note note -> model.trace(name, note.event() + " " + note.fields());
      }
    }
  }

  private void submitted(LeaseEvent.Submitted event, long arrivedAt) {
    if (arrivedAt > restartSeenAt.getOrDefault(event.entryHost(), Long.MIN_VALUE)) {
      dispatch(event, arrivedAt);
    }
  }

  private void dispatch(LeaseEvent event) {
    dispatch(event, clock());
  }

  private void dispatch(LeaseEvent event, long arrivedAt) {
    carryOut(dispatcher.handle(event, arrivedAt, clock()));
    if (!placing) {
      carryOut(dispatcher.place(clock()));
    }
  }

  private void carryOut(List<LeaseEffect> effects) {
    for (LeaseEffect effect : effects) {
      switch (effect) {
        case LeaseEffect.Start start ->
            call(
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
            call(
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
                  target.intake(new IntakeEvent.Reported(name, report.workId(), report.outcome())));
        }
        case LeaseEffect.Outranked outranked ->
            deliver(
                0,
                () ->
                    run(
                        membership.outranked(
                            outranked.token(), outranked.obeyedBefore(), clock())));
        case LeaseEffect.Stalled stalled -> deliver(0, () -> run(membership.startOver(clock())));
        case LeaseEffect.Note note -> model.trace(name, note.event() + " " + note.fields());
      }
    }
  }

  private static OptionalLong clockOf(ModelUpstream upstream, OrderResult result) {
    return result == OrderResult.OTHER_LIFE
        ? OptionalLong.empty()
        : OptionalLong.of(upstream.clock());
  }

  private void call(
      UpstreamNotice notice,
      long waitMillis,
      java.util.function.Function<ModelUpstream, LeaseEvent> order,
      LeaseEvent unanswered) {
    ModelUpstream upstream = upstream(notice);
    Call call = new Call(unanswered, waitMillis + LeaseTerms.DEFAULT.answerMillis());
    if (!model.connected(domain, upstream.domain)) {
      return;
    }
    if (model.random().nextDouble() < model.heldUp) {
      model.after(
          2_000 + model.random().nextLong(10_000),
          () -> {
            if (upstream.up) {
              LeaseEvent unheard = order.apply(upstream);
              LeaseModel.check(unheard != null, "an order has an outcome");
            }
          });
      return;
    }
    model.after(
        model.oneWayMillis(domain, upstream.domain),
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
                renew.renewal(),
                OrderResult.NO_ANSWER,
                OptionalLong.empty(),
                List.of(),
                List.of()),
            renew.waitMillis() + renew.answerMillis());
    if (model.connected(domain, upstream.domain) && model.random().nextDouble() >= model.heldUp) {
      model.after(
          model.oneWayMillis(domain, upstream.domain),
          () -> {
            if (upstream.up) {
              upstream.renew(renew, answer -> call.answer(answer, upstream));
            }
          });
    }
  }

  private ModelUpstream upstream(UpstreamNotice notice) {
    return model.upstreams.stream()
        .filter(each -> each.id.equals(notice.id()))
        .findFirst()
        .orElseThrow();
  }

  /** A call to an upstream: answered once, by the upstream or by the timeout. */
  private final class Call {

    private boolean done;

    Call(LeaseEvent unanswered, long timeoutMillis) {
      deliverWork(timeoutMillis, arrivedAt -> finish(unanswered, arrivedAt));
    }

    void answer(LeaseEvent answer, ModelUpstream upstream) {
      boolean lost = model.random().nextDouble() < model.answerLost;
      if (!lost && model.connected(domain, upstream.domain)) {
        deliverWork(
            model.oneWayMillis(upstream.domain, domain), arrivedAt -> finish(answer, arrivedAt));
      }
    }

    private void finish(LeaseEvent event, long arrivedAt) {
      if (!done) {
        done = true;
        dispatch(event, arrivedAt);
      }
    }
  }
}
