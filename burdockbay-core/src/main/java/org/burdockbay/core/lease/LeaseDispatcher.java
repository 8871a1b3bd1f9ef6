package org.burdockbay.core.lease;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.limits.WorkLimits;
import org.burdockbay.core.scheduling.SchedulingOptions;

/**
 * Dispatches sized tasks to leased upstreams while this host has the role.
 *
 * <p>Callers pass events with the time in milliseconds and carry out the returned effects in order.
 * Each entry host that waits for a piece of work gets exactly one {@link LeaseEffect.Report},
 * unless the role or the entry host is lost.
 *
 * <p>In a fleet that is divided into shards, it keeps leases only on the upstreams of its shard,
 * but records all others: a task that no upstream of the fleet can run is refused as impossible.
 *
 * <p>No two runs of a task overlap: a task starts only when every earlier run of it that this
 * dispatcher has recorded is over; runs of an earlier dispatcher are over when the work's quiet
 * period ends, and the registrar of the work lets one dispatcher have it at a time. Not
 * thread-safe.
 */
public final class LeaseDispatcher {

  /**
   * A gap between two events that indicates a pause of the process, in milliseconds. Together with
   * a heartbeat interval of 150 ms it stays below the 450 ms after which hosts are considered lost.
   */
  private static final long PAUSE_THRESHOLD_MILLIS = 250;

  private static final int MILLICORES_PER_CORE = 1_000;

  private final DispatchContext context;
  private final AdmissionRule admission = new AdmissionRule();
  private final ShareRule shares;
  private final StragglerRule stragglers = new StragglerRule();
  private final RunTable runs;
  private final WorkRegistrations registrations;
  private final WorkTable works;
  private final LeaseTable leases;

  /** Whether an event since the last placement round may allow tasks to start. */
  private boolean placementNeeded;

  /** Creates a dispatcher without the role, with all scheduling options off. */
  public LeaseDispatcher(String self, LeaseTiming timing) {
    this(self, timing, SchedulingOptions.NONE);
  }

  /** Creates a dispatcher without the role, and without limits on its work. */
  public LeaseDispatcher(String self, LeaseTiming timing, SchedulingOptions options) {
    this(self, timing, options, WorkLimits.UNLIMITED);
  }

  /**
   * Creates a dispatcher without the role.
   *
   * @param self the id of this host
   * @param timing the durations of leases and orders
   * @param options the scheduling options that are on
   * @param limits the limits on the work that is accepted
   */
  public LeaseDispatcher(
      String self, LeaseTiming timing, SchedulingOptions options, WorkLimits limits) {
    this.context = new DispatchContext(options);
    this.shares = new ShareRule(context);
    this.runs = new RunTable(context, timing, limits);
    this.registrations = new WorkRegistrations(self, context, runs, timing);
    this.works = new WorkTable(self, context, runs, admission, registrations, limits);
    this.leases = new LeaseTable(context, timing, runs, works);
  }

  /**
   * Handles an event and returns the effects to carry out; {@link #place} starts the tasks that can
   * start.
   */
  public List<LeaseEffect> handle(LeaseEvent event, long time) {
    return handle(event, time, time);
  }

  /**
   * Handles an event that may have waited in a queue.
   *
   * @param arrivedAt when the event reached this host, in milliseconds
   * @param time the time of handling, in milliseconds; a gap between two events indicates a pause
   *     of the process, so ticks have to be handled on time, however many events wait
   */
  public List<LeaseEffect> handle(LeaseEvent event, long arrivedAt, long time) {
    observeTime(time);
    context.setArrivedAt(arrivedAt);
    route(event);
    registrations.removeEnded();
    return context.takeEffects();
  }

  /**
   * Starts the tasks that can start now; call it after a batch of events.
   *
   * <p>A placement round examines all waiting work, so one round for each event would cost most
   * under the highest load: an overloaded host would fall behind, its heartbeats would be late, and
   * others would take over its role.
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

  /** Returns the estimated memory that the unanswered work takes, in bytes; on any thread. */
  public long workBytes() {
    return works.usedBytes();
  }

  /** Returns the free capacity of the upstreams on which tasks may start now, and the backlog. */
  public DomainLoad load() {
    List<UpstreamLease> usableUpstreams = leases.usableUpstreams();
    Backlog backlog = new Backlog(usableUpstreams, context.profiles());
    works.unansweredWork().forEach(backlog::add);
    int freeCores =
        usableUpstreams.stream()
            .mapToInt(
                upstream ->
                    Math.max(0, upstream.freeCapacity().cpuMillicores()) / MILLICORES_PER_CORE)
            .sum();
    int totalCores =
        usableUpstreams.stream()
            .mapToInt(
                upstream -> upstream.announcement.capacity().cpuMillicores() / MILLICORES_PER_CORE)
            .sum();
    return new DomainLoad(freeCores, Math.round(backlog.waitMillis()), totalCores);
  }

  /** Returns the speeds of upstreams to report to other hosts, by id; empty without the role. */
  public Map<String, Double> upstreamSpeeds() {
    return context.isDispatching() ? context.profiles().speedsToReport() : Map.of();
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
      case LeaseEvent.Announced announced ->
          placementNeeded |= leases.upstreamAnnounced(announced.announcement());
      case LeaseEvent.Departed departed -> leases.upstreamDeparted(departed.announcement());
      case LeaseEvent.ShardsChanged changed -> {
        leases.shardsChanged(changed.ownShard(), changed.liveShards());
        shares.shardChanged(changed.ownShard());
        placementNeeded = true;
      }
      case LeaseEvent.EvacuationsChanged changed -> {
        leases.evacuationsChanged(changed.domains());
        if (context.isDispatching()) {
          works.endEvacuatedWork(leases);
        }
        placementNeeded = true;
      }
      case LeaseEvent.DispatchersChanged changed -> {
        registrations.updateDispatchers(changed.dispatchers());
        placementNeeded = true;
      }
      case LeaseEvent.SpeedsReported reported -> leases.speedsReported(reported.speeds());
      case LeaseEvent.ProcessPaused paused -> {
        if (context.isDispatching()) {
          releaseRoleAfterPause(paused.pausedMillis());
        }
      }
      default -> {
        if (context.isDispatching()) {
          handleAsDispatcher(event);
          placementNeeded |= mayAllowStarts(event);
        }
      }
    }
  }

  /** Returns whether tasks may start because of an event; registrations by others start none. */
  private static boolean mayAllowStarts(LeaseEvent event) {
    return !(event instanceof LeaseEvent.WorkRegistered
        || event instanceof LeaseEvent.RegistrationDeferred);
  }

  private void handleAsDispatcher(LeaseEvent event) {
    switch (event) {
      case LeaseEvent.Submitted submitted -> workSubmitted(submitted);
      case LeaseEvent.Cancelled cancelled -> workCancelled(cancelled);
      case LeaseEvent.EntryHostMessageReceived contacted ->
          works.recordContact(contacted.entryHost(), contacted.lastContactAgeMillis());
      case LeaseEvent.EntryHostLost lost -> works.entryHostLost(lost.entryHost());
      case LeaseEvent.StartAnswered answered ->
          handleAnswer(
              answered.upstream(),
              answered.startedAt(),
              answered.clockMillis(),
              () -> leases.startAnswered(answered));
      case LeaseEvent.StopAnswered answered ->
          handleAnswer(
              answered.upstream(),
              answered.startedAt(),
              answered.clockMillis(),
              () -> leases.stopAnswered(answered));
      case LeaseEvent.RenewalAnswered answered ->
          handleAnswer(
              answered.upstream(),
              answered.startedAt(),
              answered.clockMillis(),
              () -> leases.renewalAnswered(answered));
      case LeaseEvent.Tick tick -> tick();
      case LeaseEvent.WorkRegistered registered -> registrations.workRegistered(registered);
      case LeaseEvent.WorkDeregistered removed -> registrations.workDeregistered(removed);
      case LeaseEvent.RegistrationConfirmed confirmed ->
          registrations.confirmed(
              confirmed.registrar(),
              confirmed.token(),
              confirmed.workId(),
              confirmed.quietPeriodMillis());
      case LeaseEvent.RegistrationDeferred deferred ->
          registrations.deferred(
              deferred.registrar(), deferred.token(), deferred.workId(), deferred.holder());
      default ->
          throw new IllegalStateException("unexpected event in the dispatcher role: " + event);
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
   * Returns whether a message was sent to the role that this host holds now.
   *
   * <p>A host may lose the role and claim it again within a millisecond. A submission sent before
   * that doesn't take into account an earlier dispatcher whose runs may go on; accepting it would
   * start tasks that are already running. The entry host submits the work again as soon as it
   * discovers the new token, and its cancellation of the earlier submission must not affect the new
   * one.
   */
  private boolean hasCurrentToken(long token, String workId) {
    if (token != context.token()) {
      context.logEvent(
          "message-outdated", "work=" + workId + " token=" + token + " now=" + context.token());
    }
    return token == context.token();
  }

  /**
   * Handles an answer of an upstream, unless it shows that this host was paused together with its
   * clock, as a suspended machine is.
   *
   * <p>By that clock no event is late. But a start needs a fresh reading of the upstream's clock,
   * and the first reading reveals the pause.
   */
  private void handleAnswer(
      UpstreamAnnouncement upstream,
      OptionalLong startedAt,
      OptionalLong clockMillis,
      Runnable handler) {
    long pauseMillis = leases.localPauseMillis(upstream, startedAt, clockMillis);
    if (pauseMillis > PAUSE_THRESHOLD_MILLIS) {
      releaseRoleAfterPause(pauseMillis);
    } else {
      handler.run();
    }
  }

  private void tick() {
    leases.tick();
    runs.tick();
    runs.moveStragglers(stragglers, leases::usableUpstreams);
    works.endEvacuatedWork(leases);
    registrations.tick();
    works.tick();
  }

  private void roleGained(long token) {
    context.setToken(token);
    context.logEvent(
        "role-gained", "token=" + token + " upstreams=" + leases.ownUpstreams().size());
    registrations.roleGained();
    leases.takeOver();
  }

  /**
   * Gives up the role after a pause of this process.
   *
   * <p>A process that resumes finds messages that were sent long ago, treats them as fresh, and
   * would start work that its entry hosts have passed to another dispatcher in the meantime. After
   * a pause of up to {@link #PAUSE_THRESHOLD_MILLIS} no entry host has switched yet, since a
   * heartbeat that was due during the pause is missing for less than the time after which hosts are
   * considered lost.
   */
  private void releaseRoleAfterPause(long millis) {
    context.logEvent("stalled", "millis=" + millis);
    context.emit(new LeaseEffect.RoleReleased());
    roleLost();
  }

  /** Discards all state but the upstreams: runs go on until their lease is over. */
  private void roleLost() {
    if (!context.isDispatching()) {
      return;
    }
    context.logEvent("role-lost", "token=" + context.token() + " unanswered=" + unansweredCount());
    context.setToken(0);
    works.clear();
    registrations.clear();
    shares.clear();
    runs.clear();
    leases.releaseLeases();
  }

  /**
   * Places waiting tasks in the order given by {@link AdmissionRule}, and refuses work that can no
   * longer be answered in time.
   */
  private void placeWaitingTasks() {
    if (works.unansweredWork().isEmpty()) {
      return;
    }
    works.admitConfirmed(leases);
    List<UpstreamLease> usableUpstreams = leases.usableUpstreams();
    PlacementPolicy placement = runs.placement(usableUpstreams);
    Backlog backlog = new Backlog(usableUpstreams, context.profiles());
    boolean mayRefuse = leases.mayRefuseForCapacity();
    shares.compareFlows(works.unansweredWork(), usableUpstreams);
    for (WorkState work : admission.order(works.unansweredWork(), context.now(), shares)) {
      if (!works.mayStart(work)) {
        continue;
      }
      if (mayRefuse && !work.mayHaveStarted && cannotStartInTime(work, backlog, placement)) {
        works.refuse(work, shares.refusalReason(work), AdmissionRule.RETRY_AFTER_MILLIS);
      } else {
        placeWork(work, placement);
        backlog.add(work);
      }
    }
  }

  /**
   * Returns whether work can't start all its tasks in time behind the work that is placed before
   * it.
   */
  private boolean cannotStartInTime(WorkState work, Backlog backlog, PlacementPolicy placement) {
    return admission.exceedsCapacity(work, context.now(), backlog)
        || (admission.missesTarget(work, context.now(), backlog)
            && !placement.fitsCompletely(work));
  }

  private void placeWork(WorkState work, PlacementPolicy placement) {
    for (int step = 0; step < work.steps.size(); step++) {
      if (work.isReady(step)) {
        placeTasks(work.steps.get(step), placement);
      }
    }
  }

  /**
   * Starts as many tasks of a step as fit. The tasks of a step are alike, so once one doesn't fit,
   * none of the following does.
   */
  private void placeTasks(Iterable<TaskState> tasks, PlacementPolicy placement) {
    for (TaskState task : tasks) {
      if (runs.isWaiting(task)) {
        if (!runs.mayStart(task)) {
          return;
        }
        var chosen = placement.choose(task);
        if (chosen.isEmpty()) {
          return;
        }
        runs.start(task, chosen.get());
        shares.recordStart(task);
        placement.updateMaxFreeCapacity();
      }
    }
  }
}
