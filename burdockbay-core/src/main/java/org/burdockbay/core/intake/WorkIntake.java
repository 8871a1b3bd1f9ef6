package org.burdockbay.core.intake;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/**
 * Keeps callers' work at the entry host that they reached, and answers each caller once.
 *
 * <p>The work goes to the dispatcher of the moment, and again to its successor. Runs that the
 * earlier dispatcher started may go on for a while, so the successor is told for how long nothing
 * may start. Not safe for use by several threads.
 */
public final class WorkIntake {

  /** Work without an outcome is submitted again after this, in milliseconds; messages get lost. */
  private static final long AGAIN_MILLIS = 400;

  /** When a caller may come back if no dispatcher was found in time, in milliseconds. */
  private static final long RETRY_MILLIS = 1_000;

  /** Longest wait for a dispatcher, in milliseconds: an election and a few heartbeats. */
  private static final long NO_DISPATCHER_MILLIS = 1_000;

  /**
   * A dispatcher that isn't heard for longer is replaced, unless this host stood still; in
   * milliseconds. The time after which a host counts as lost, and a few ticks.
   */
  private static final long LONGEST_UNHEARD_MILLIS = 600;

  private final String self;
  private final long runsOnMillis;
  private final Map<Long, Pending> byTicket = new LinkedHashMap<>();
  private final Map<String, List<Pending>> byWork = new HashMap<>();
  private Optional<IntakeEvent.Dispatcher> dispatcher = Optional.empty();
  private long heardAt;
  private List<IntakeEffect> effects = new ArrayList<>();
  private long now;

  /**
   * Creates an intake that knows no dispatcher yet.
   *
   * @param self the id of this host
   * @param runsOnMillis for how long a dispatcher that this host doesn't hear any more may keep
   *     runs of its work alive, in milliseconds
   */
  public WorkIntake(String self, long runsOnMillis) {
    this.self = self;
    this.runsOnMillis = runsOnMillis;
  }

  /** Handles an event and returns what is to be done. */
  public List<IntakeEffect> handle(IntakeEvent event, long time) {
    now = Math.max(now, time);
    switch (event) {
      case IntakeEvent.Opened opened -> opened(opened);
      case IntakeEvent.Left left -> left(left.ticket());
      case IntakeEvent.Reported reported -> reported(reported.workId(), reported.outcome());
      case IntakeEvent.DispatcherChanged changed -> dispatcherChanged(changed.dispatcher());
      case IntakeEvent.DispatcherHeard heard -> heard(heard.host());
      case IntakeEvent.PeerReset reset -> reset(reset.host());
      case IntakeEvent.Tick tick -> tick();
    }
    List<IntakeEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** Returns the number of callers that wait. */
  public int waiting() {
    return byTicket.size();
  }

  private void opened(IntakeEvent.Opened opened) {
    Pending pending = new Pending(opened.ticket(), opened.request(), now);
    byTicket.put(opened.ticket(), pending);
    byWork.computeIfAbsent(opened.request().id(), id -> new ArrayList<>()).add(pending);
    submit(pending);
  }

  private void left(long ticket) {
    Pending pending = byTicket.get(ticket);
    if (pending == null) {
      return;
    }
    remove(pending);
    note("caller-left", pending, "");
    if (!byWork.containsKey(pending.request.id())) {
      pending.submittedTo.ifPresent(
          earlier -> effects.add(new IntakeEffect.Cancel(earlier, pending.request.id())));
    }
  }

  private void reported(String workId, WorkOutcome outcome) {
    for (Pending pending : List.copyOf(byWork.getOrDefault(workId, List.of()))) {
      answer(pending, truthful(pending, outcome));
    }
  }

  /** Claims that nothing has run only where no earlier dispatcher may have run something. */
  private static WorkOutcome truthful(Pending pending, WorkOutcome outcome) {
    if (outcome instanceof WorkOutcome.NotRun notRun && pending.mayHaveRun) {
      return new WorkOutcome.GivenUp(notRun.reason());
    }
    return outcome;
  }

  private void dispatcherChanged(Optional<IntakeEvent.Dispatcher> changed) {
    if (changed.equals(dispatcher)) {
      return;
    }
    noteHeard();
    dispatcher = changed;
    changed.ifPresent(
        next -> {
          heardAt = now;
          byTicket.values().forEach(this::submit);
        });
  }

  private void heard(String host) {
    if (dispatcher.map(IntakeEvent.Dispatcher::host).filter(host::equals).isPresent()) {
      heardAt = now;
    }
  }

  /**
   * Notes when the dispatcher was heard last for the work that it has; this host hears itself all
   * the time.
   */
  private void noteHeard() {
    if (dispatcher.map(IntakeEvent.Dispatcher::host).filter(self::equals).isPresent()) {
      heardAt = now;
    }
    for (Pending pending : byTicket.values()) {
      if (pending.submittedTo.equals(dispatcher)) {
        pending.heardAt = heardAt;
      }
    }
  }

  private void reset(String host) {
    if (dispatcher.map(IntakeEvent.Dispatcher::host).filter(host::equals).isPresent()) {
      byTicket.values().forEach(this::submit);
    }
  }

  private void submit(Pending pending) {
    if (dispatcher.isEmpty()) {
      return;
    }
    IntakeEvent.Dispatcher target = dispatcher.get();
    if (pending.submittedTo.isPresent() && !pending.submittedTo.get().equals(target)) {
      pending.quietUntil = Math.max(pending.quietUntil, heldSince(pending) + runsOnMillis);
      pending.mayHaveRun = true;
      // In a cut of one direction the earlier dispatcher may hear this host and go on.
      effects.add(new IntakeEffect.Cancel(pending.submittedTo.get(), pending.request.id()));
      note("work-moved", pending, " to=" + target.host() + " token=" + target.token());
    }
    pending.submittedTo = dispatcher;
    pending.submittedAt = now;
    effects.add(
        new IntakeEffect.Submit(
            target,
            pending.ticket,
            pending.request,
            now - pending.arrivedAt,
            Math.max(0, pending.quietUntil - now)));
  }

  /**
   * Returns from when on the dispatcher that has the work may have missed this host, in
   * milliseconds.
   *
   * <p>Usually that is when it was heard last. A host that stood still submits, before it learns
   * what has changed, to a dispatcher that it hasn't heard for long and that may be alive.
   */
  private long heldSince(Pending pending) {
    boolean longUnheard = pending.submittedAt - pending.heardAt > LONGEST_UNHEARD_MILLIS;
    return longUnheard ? pending.submittedAt : pending.heardAt;
  }

  private void tick() {
    noteHeard();
    for (Pending pending : List.copyOf(byTicket.values())) {
      long age = now - pending.arrivedAt;
      if (age >= pending.request.budgetMillis()) {
        giveUp(pending, "no outcome in time");
      } else if (dispatcher.isEmpty() && age >= NO_DISPATCHER_MILLIS) {
        giveUp(pending, "no dispatcher");
      } else if (now - pending.submittedAt >= AGAIN_MILLIS) {
        submit(pending);
      }
    }
  }

  private void giveUp(Pending pending, String reason) {
    boolean neverLeft = pending.submittedTo.isEmpty();
    pending.submittedTo.ifPresent(
        earlier -> effects.add(new IntakeEffect.Cancel(earlier, pending.request.id())));
    answer(
        pending,
        neverLeft ? new WorkOutcome.NotRun(reason, RETRY_MILLIS) : new WorkOutcome.GivenUp(reason));
  }

  private void answer(Pending pending, WorkOutcome outcome) {
    remove(pending);
    effects.add(
        new IntakeEffect.Answer(pending.ticket, pending.request, now - pending.arrivedAt, outcome));
  }

  private void remove(Pending pending) {
    byTicket.remove(pending.ticket);
    byWork.computeIfPresent(
        pending.request.id(),
        (id, waiting) -> {
          waiting.remove(pending);
          return waiting.isEmpty() ? null : waiting;
        });
  }

  private void note(String event, Pending pending, String fields) {
    effects.add(
        new IntakeEffect.Note(
            event,
            "work="
                + pending.request.id()
                + " age="
                + (now - pending.arrivedAt)
                + " submitted="
                + pending.submittedTo.map(IntakeEvent.Dispatcher::host).orElse("none")
                + fields));
  }

  private static final class Pending {

    private final long ticket;
    private final WorkRequest request;
    private final long arrivedAt;
    private Optional<IntakeEvent.Dispatcher> submittedTo = Optional.empty();

    /** When the dispatcher that has the work was heard last. */
    private long heardAt;

    private long submittedAt;
    private long quietUntil;
    private boolean mayHaveRun;

    Pending(long ticket, WorkRequest request, long arrivedAt) {
      this.ticket = ticket;
      this.request = request;
      this.arrivedAt = arrivedAt;
    }
  }
}
