package org.burdockbay.core.lease;

import java.util.List;
import java.util.OptionalLong;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.fleet.UpstreamAnnouncement;

/**
 * Dispatches sized tasks to leased upstreams, while this host has the role.
 *
 * <p>Feed it events with the time in milliseconds and carry out the effects in order. Work that an
 * entry host submits is answered by exactly one {@link LeaseEffect.Report} for each entry host that
 * waits, unless the role or the entry host is lost.
 *
 * <p>In a divided fleet it keeps leases on the upstreams of its shard only, and knows all others: a
 * task that none of them can run is refused as impossible.
 *
 * <p>No two runs of a task overlap: a task starts only when every earlier run of it that this
 * dispatcher knows of is over, and an earlier dispatcher's runs are over when the work's quiet time
 * is. Not safe for use by several threads.
 */
public final class LeaseDispatcher {

  /**
   * A gap between two events that shows that the process stood still, in milliseconds. A heartbeat
   * of 150 ms and this are less than the 450 ms after which hosts count as lost.
   */
  private static final long PAUSE_THRESHOLD_MILLIS = 250;

  private static final int MILLICORES = 1_000;

  private final DispatchContext context = new DispatchContext();
  private final AdmissionRule admission = new AdmissionRule();
  private final StragglerRule stragglers = new StragglerRule();
  private final RunTable runs;
  private final WorkTable works;
  private final LeaseTable leases;

  /** Whether something has happened since the last round of placements. */
  private boolean placementNeeded;

  /**
   * Creates a dispatcher without the role.
   *
   * @param self the id of this host
   */
  public LeaseDispatcher(String self, LeaseTiming terms) {
    this.runs = new RunTable(context, terms);
    this.works = new WorkTable(self, context, runs, admission);
    this.leases = new LeaseTable(context, terms, runs, works);
  }

  /** Handles an event and returns what is to be done; {@link #place} starts what can start. */
  public List<LeaseEffect> handle(LeaseEvent event, long time) {
    return handle(event, time, time);
  }

  /**
   * Handles an event that has waited.
   *
   * @param arrivedAt when it reached this host, in milliseconds
   * @param time the time of handling; a gap between two events shows that the process stood still,
   *     so ticks have to be handled in time, however many events wait
   */
  public List<LeaseEffect> handle(LeaseEvent event, long arrivedAt, long time) {
    observeTime(time);
    context.setArrivedAt(arrivedAt);
    route(event);
    return context.takeEffects();
  }

  /**
   * Starts the tasks that can start now; call it once a number of events have been handled.
   *
   * <p>A round looks at all waiting work. One for each event costs most when the most events come:
   * an overloaded host falls behind, its heartbeats come late, and others take its role.
   */
  public List<LeaseEffect> place(long time) {
    observeTime(time);
    if (context.isDispatching() && placementNeeded) {
      placementNeeded = false;
      placeWaitingTasks();
    }
    return context.takeEffects();
  }

  /** Returns whether this host has the role. */
  public boolean isDispatching() {
    return context.isDispatching();
  }

  /** Returns the number of pieces of work that aren't answered yet. */
  public int unansweredCount() {
    return works.unansweredWork().size();
  }

  /** Returns how much room the upstreams have on which tasks may start now. */
  public DomainLoad load() {
    List<UpstreamLease> open = leases.usableUpstreams();
    Backlog backlog = new Backlog(open);
    works.unansweredWork().forEach(backlog::add);
    int freeCores =
        open.stream()
            .mapToInt(upstream -> Math.max(0, upstream.freeCapacity().cpuMillicores()) / MILLICORES)
            .sum();
    return new DomainLoad(freeCores, Math.round(backlog.waitMillis()));
  }

  private void observeTime(long time) {
    long gap = time - context.now();
    if (context.isDispatching() && gap > PAUSE_THRESHOLD_MILLIS) {
      releaseRoleAfterPause(gap);
    }
    context.advanceTo(time);
  }

  private void route(LeaseEvent event) {
    switch (event) {
      case LeaseEvent.RoleGained gained -> roleGained(gained.token());
      case LeaseEvent.RoleLost lost -> roleLost();
      case LeaseEvent.Announced announced -> leases.upstreamAnnounced(announced.announcement());
      case LeaseEvent.Departed departed -> leases.upstreamDeparted(departed.announcement());
      case LeaseEvent.ShardsChanged changed -> {
        leases.shardsChanged(changed.ownShard(), changed.liveShards());
        placementNeeded = true;
      }
      case LeaseEvent.ProcessPaused suspended -> {
        if (context.isDispatching()) {
          releaseRoleAfterPause(suspended.pausedMillis());
        }
      }
      default -> {
        if (context.isDispatching()) {
          handleAsDispatcher(event);
          placementNeeded = true;
        }
      }
    }
  }

  private void handleAsDispatcher(LeaseEvent event) {
    switch (event) {
      case LeaseEvent.Submitted submitted -> workSubmitted(submitted);
      case LeaseEvent.Cancelled cancelled -> workCancelled(cancelled);
      case LeaseEvent.EntryHostMessageReceived heard -> works.recordContact(heard.entryHost());
      case LeaseEvent.EntryHostLost lost -> works.entryHostLost(lost.entryHost());
      case LeaseEvent.StartAnswered answered ->
          handleAnswer(
              answered.upstream(), answered.clockMillis(), () -> leases.startAnswered(answered));
      case LeaseEvent.StopAnswered answered ->
          handleAnswer(
              answered.upstream(), answered.clockMillis(), () -> leases.stopAnswered(answered));
      case LeaseEvent.RenewalAnswered answered ->
          handleAnswer(
              answered.upstream(), answered.clockMillis(), () -> leases.renewalAnswered(answered));
      case LeaseEvent.Tick tick -> tick();
      default -> throw new IllegalStateException("handled before: " + event);
    }
  }

  private void workSubmitted(LeaseEvent.Submitted submitted) {
    if (hasCurrentToken(submitted.token(), submitted.request().id())) {
      works.submit(submitted, leases);
    }
  }

  private void workCancelled(LeaseEvent.Cancelled cancelled) {
    if (hasCurrentToken(cancelled.token(), cancelled.workId())) {
      works.abandon(cancelled.entryHost(), cancelled.workId());
    }
  }

  /**
   * Returns whether a message was meant for the role as this host holds it now.
   *
   * <p>A host may lose the role and claim it again within a millisecond. A submission that was sent
   * before knows of no earlier dispatcher whose runs may go on; taken up, it would start tasks that
   * run already. The entry host submits again as soon as it hears of the new token, and its
   * cancellation of the earlier submission must not meet the new one.
   */
  private boolean hasCurrentToken(long token, String workId) {
    if (token != context.token()) {
      context.logEvent(
          "message-outdated", "work=" + workId + " token=" + token + " now=" + context.token());
    }
    return token == context.token();
  }

  /**
   * Handles an answer of an upstream unless it shows that this host stood still together with its
   * clock, as a suspended machine does. No event comes late by that clock then; but a start needs a
   * fresh reading of the upstream's clock, and the first one gives the standstill away.
   */
  private void handleAnswer(
      UpstreamAnnouncement upstream, OptionalLong clockMillis, Runnable handler) {
    long standstill = leases.localPauseMillis(upstream, clockMillis);
    if (standstill > PAUSE_THRESHOLD_MILLIS) {
      releaseRoleAfterPause(standstill);
    } else {
      handler.run();
    }
  }

  private void tick() {
    leases.tick();
    runs.tick();
    runs.moveStragglers(stragglers, leases::usableUpstreams);
    works.tick();
  }

  private void roleGained(long token) {
    context.setToken(token);
    context.logEvent(
        "role-gained", "token=" + token + " upstreams=" + leases.ownUpstreams().size());
    leases.takeOver();
  }

  /**
   * Gives the role up after a stall.
   *
   * <p>A frozen process that goes on finds messages that were sent long ago, takes them for fresh,
   * and would start work that its entry hosts have given to another dispatcher meanwhile. Up to
   * {@link #PAUSE_THRESHOLD_MILLIS} no entry host has turned away yet, since a heartbeat that was
   * due during the stall is missing for less than the time after which hosts count as lost.
   */
  private void releaseRoleAfterPause(long millis) {
    context.logEvent("stalled", "millis=" + millis);
    context.emit(new LeaseEffect.RoleReleased());
    roleLost();
  }

  /** Forgets everything but the upstreams: what runs goes on until its lease is over. */
  private void roleLost() {
    if (!context.isDispatching()) {
      return;
    }
    context.logEvent("role-lost", "token=" + context.token() + " unanswered=" + unansweredCount());
    context.setToken(0);
    works.clear();
    runs.clear();
    leases.releaseLeases();
  }

  /** Places waiting tasks, in the order that the {@link AdmissionRule} gives. */
  private void placeWaitingTasks() {
    if (works.unansweredWork().isEmpty()) {
      return;
    }
    List<UpstreamLease> open = leases.usableUpstreams();
    PlacementPolicy placement = new PlacementPolicy(open, context.now());
    Backlog backlog = new Backlog(open);
    boolean allHeard = leases.allAnswered();
    for (WorkState work : admission.order(works.unansweredWork(), context.now())) {
      if (context.now() < work.quietPeriodEndsAt) {
        continue;
      }
      if (allHeard && !work.mayHaveStarted && cannotStartInTime(work, backlog, placement)) {
        works.refuse(work, "no room in time", AdmissionRule.RETRY_AFTER_MILLIS);
      } else {
        placeWork(work, placement);
        backlog.add(work);
      }
    }
  }

  /** Returns whether work can't have all its tasks started in time behind what goes first. */
  private boolean cannotStartInTime(WorkState work, Backlog backlog, PlacementPolicy placement) {
    return admission.missesTarget(work, context.now(), backlog) && !placement.fitsCompletely(work);
  }

  private void placeWork(WorkState work, PlacementPolicy placement) {
    for (int step = 0; step < work.steps.size(); step++) {
      if (work.isReady(step)) {
        placeTasks(work.steps.get(step), placement);
      }
    }
  }

  /** Starts what fits; the tasks of a step are alike, so none fits after one that doesn't. */
  private void placeTasks(Iterable<TaskState> tasks, PlacementPolicy placement) {
    for (TaskState task : tasks) {
      if (task.isWaiting() && !runs.hasOpenRun(task.id)) {
        var chosen = placement.choose(task);
        if (chosen.isEmpty()) {
          return;
        }
        runs.start(task, chosen.get());
        placement.updateMaxFreeCapacity();
      }
    }
  }
}
