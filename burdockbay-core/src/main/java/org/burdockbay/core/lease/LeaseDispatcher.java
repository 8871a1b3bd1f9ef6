package org.burdockbay.core.lease;

import java.util.List;
import java.util.OptionalLong;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.fleet.UpstreamNotice;

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
  private static final long STALL_MILLIS = 250;

  private static final int MILLICORES = 1_000;

  private final DispatchContext context = new DispatchContext();
  private final AdmissionRule admission = new AdmissionRule();
  private final StragglerRule stragglers = new StragglerRule();
  private final RunBook runs;
  private final WorkBook works;
  private final LeaseBook leases;

  /** Whether something has happened since the last round of placements. */
  private boolean unplaced;

  /**
   * Creates a dispatcher without the role.
   *
   * @param self the id of this host
   */
  public LeaseDispatcher(String self, LeaseTerms terms) {
    this.runs = new RunBook(context, terms);
    this.works = new WorkBook(self, context, runs, admission);
    this.leases = new LeaseBook(context, terms, runs, works);
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
    observe(time);
    context.arrived(arrivedAt);
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
    observe(time);
    if (context.dispatches() && unplaced) {
      unplaced = false;
      schedule();
    }
    return context.takeEffects();
  }

  /** Returns whether this host has the role. */
  public boolean dispatches() {
    return context.dispatches();
  }

  /** Returns the number of pieces of work that aren't answered yet. */
  public int unanswered() {
    return works.unanswered().size();
  }

  /** Returns how much room the upstreams have on which tasks may start now. */
  public DomainLoad load() {
    List<UpstreamLease> open = leases.open();
    Backlog backlog = new Backlog(open);
    works.unanswered().forEach(backlog::add);
    int freeCores =
        open.stream()
            .mapToInt(upstream -> Math.max(0, upstream.free().cpuMillicores()) / MILLICORES)
            .sum();
    return new DomainLoad(freeCores, Math.round(backlog.waitMillis()));
  }

  private void observe(long time) {
    long gap = time - context.now();
    if (context.dispatches() && gap > STALL_MILLIS) {
      stalled(gap);
    }
    context.advance(time);
  }

  private void route(LeaseEvent event) {
    switch (event) {
      case LeaseEvent.RoleGained gained -> roleGained(gained.token());
      case LeaseEvent.RoleLost lost -> roleLost();
      case LeaseEvent.Announced announced -> leases.announced(announced.notice());
      case LeaseEvent.Departed departed -> leases.departed(departed.notice());
      case LeaseEvent.ScopeChanged changed -> {
        leases.scopeChanged(changed.own(), changed.live());
        unplaced = true;
      }
      case LeaseEvent.Stalled suspended -> {
        if (context.dispatches()) {
          stalled(suspended.millis());
        }
      }
      default -> {
        if (context.dispatches()) {
          dispatch(event);
          unplaced = true;
        }
      }
    }
  }

  private void dispatch(LeaseEvent event) {
    switch (event) {
      case LeaseEvent.Submitted submitted -> submitted(submitted);
      case LeaseEvent.Cancelled cancelled -> cancelled(cancelled);
      case LeaseEvent.EntryHeard heard -> works.entryHeard(heard.entryHost());
      case LeaseEvent.EntryLost lost -> works.entryLost(lost.entryHost());
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

  private void submitted(LeaseEvent.Submitted submitted) {
    if (meantForNow(submitted.token(), submitted.request().id())) {
      works.submitted(submitted, leases);
    }
  }

  private void cancelled(LeaseEvent.Cancelled cancelled) {
    if (meantForNow(cancelled.token(), cancelled.workId())) {
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
  private boolean meantForNow(long token, String workId) {
    if (token != context.token()) {
      context.note(
          "message-outdated", "work=" + workId + " token=" + token + " now=" + context.token());
    }
    return token == context.token();
  }

  /**
   * Handles an answer of an upstream unless it shows that this host stood still together with its
   * clock, as a suspended machine does. No event comes late by that clock then; but a start needs a
   * fresh reading of the upstream's clock, and the first one gives the standstill away.
   */
  private void handleAnswer(UpstreamNotice upstream, OptionalLong clockMillis, Runnable handler) {
    long standstill = leases.standstill(upstream, clockMillis);
    if (standstill > STALL_MILLIS) {
      stalled(standstill);
    } else {
      handler.run();
    }
  }

  private void tick() {
    leases.tick();
    runs.tick();
    runs.moveStragglers(stragglers, leases::open);
    works.tick();
  }

  private void roleGained(long token) {
    context.hold(token);
    context.note("role-gained", "token=" + token + " upstreams=" + leases.inScope().size());
    leases.takeOver();
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
    context.note("stalled", "millis=" + millis);
    context.emit(new LeaseEffect.Stalled());
    roleLost();
  }

  /** Forgets everything but the upstreams: what runs goes on until its lease is over. */
  private void roleLost() {
    if (!context.dispatches()) {
      return;
    }
    context.note("role-lost", "token=" + context.token() + " unanswered=" + unanswered());
    context.hold(0);
    works.clear();
    runs.clear();
    leases.giveUp();
  }

  /** Places waiting tasks, in the order that the {@link AdmissionRule} gives. */
  private void schedule() {
    if (works.unanswered().isEmpty()) {
      return;
    }
    List<UpstreamLease> open = leases.open();
    PlacementPolicy placement = new PlacementPolicy(open, context.now());
    Backlog backlog = new Backlog(open);
    boolean allHeard = leases.allHeard();
    for (WorkState work : admission.order(works.unanswered(), context.now())) {
      if (context.now() < work.quietUntil) {
        continue;
      }
      if (allHeard && !work.offered && late(work, backlog, placement)) {
        works.refuse(work, "no room in time", AdmissionRule.RETRY_MILLIS);
      } else {
        placeWork(work, placement);
        backlog.add(work);
      }
    }
  }

  /** Returns whether work can't have all its tasks started in time behind what goes first. */
  private boolean late(WorkState work, Backlog backlog, PlacementPolicy placement) {
    return admission.late(work, context.now(), backlog) && !placement.fitsWhole(work);
  }

  private void placeWork(WorkState work, PlacementPolicy placement) {
    for (int step = 0; step < work.steps.size(); step++) {
      if (work.ready(step)) {
        placeTasks(work.steps.get(step), placement);
      }
    }
  }

  /** Starts what fits; the tasks of a step are alike, so none fits after one that doesn't. */
  private void placeTasks(Iterable<TaskState> tasks, PlacementPolicy placement) {
    for (TaskState task : tasks) {
      if (task.waits() && !runs.open(task.id)) {
        var chosen = placement.choose(task);
        if (chosen.isEmpty()) {
          return;
        }
        runs.start(task, chosen.get());
        placement.roomChanged();
      }
    }
  }
}
