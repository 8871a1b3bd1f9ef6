package org.burdockbay.server.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.intake.IntakeEffect;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.intake.WorkIntake;
import org.burdockbay.core.lease.LeaseDispatcher;
import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.server.host.PeerSender;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;

/** Runs intake and dispatch, and carries out their effects; used by the control thread only. */
final class WorkDesk {

  private final LeaseDispatcher dispatcher;
  private final WorkIntake intake;
  private final Map<Long, Consumer<WorkOutcome>> answers = new HashMap<>();
  private final Clock clock;
  private final EventLog log;
  private final UpstreamCalls upstreams;
  private final HostMetrics metrics;
  private final PeerSender sender;
  private final Executor control;
  private final Executor work;
  private final Consumer<LeaseEffect.Superseded> outranked;
  private final Runnable startOver;

  WorkDesk(
      NodeParts parts,
      PeerSender sender,
      Executor control,
      Executor work,
      Consumer<LeaseEffect.Superseded> outranked,
      Runnable startOver) {
    this.dispatcher = new LeaseDispatcher(parts.settings().host(), LeaseTiming.DEFAULT);
    this.intake =
        new WorkIntake(
            parts.settings().host(),
            parts.settings().card().domain(),
            LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS + LeaseTiming.DEFAULT.maxLeaseMillis());
    this.clock = parts.clock();
    this.log = parts.log();
    this.upstreams = parts.upstreams();
    this.metrics = parts.metrics();
    this.sender = sender;
    this.control = control;
    this.work = work;
    this.outranked = outranked;
    this.startOver = startOver;
  }

  void open(long ticket, WorkRequest request, Consumer<WorkOutcome> answer) {
    answers.put(ticket, answer);
    intake(new IntakeEvent.RequestReceived(ticket, request));
  }

  void leave(long ticket) {
    answers.remove(ticket);
    intake(new IntakeEvent.CallerDisconnected(ticket));
  }

  int waiting() {
    return intake.waitingCallers();
  }

  int inFlight() {
    return intake.waitingCallers() + dispatcher.unansweredCount();
  }

  /** Returns how much room there is on the upstreams that this host dispatches to. */
  DomainLoad load() {
    return dispatcher.load();
  }

  void tick() {
    dispatch(new LeaseEvent.Tick());
    intake(new IntakeEvent.Tick());
  }

  void intake(IntakeEvent event) {
    for (IntakeEffect effect : intake.handle(event, clock.millis())) {
      switch (effect) {
        case IntakeEffect.Submit submit ->
            sender.send(
                submit.to().host(),
                new PeerMessage.SubmitWork(
                    submit.to().token(),
                    submit.ticket(),
                    submit.request(),
                    submit.ageMillis(),
                    submit.quietPeriodMillis()));
        case IntakeEffect.Cancel cancel ->
            sender.send(
                cancel.to().host(),
                new PeerMessage.CancelWork(cancel.to().token(), cancel.workId()));
        case IntakeEffect.Answer answer -> answer(answer);
        case IntakeEffect.LogEvent note -> log.info(note.event(), note.fields());
      }
    }
  }

  void dispatch(LeaseEvent event) {
    carryOut(dispatcher.handle(event, clock.millis()));
  }

  /** Takes an event that arrived some time ago. */
  void dispatch(LeaseEvent event, long arrivedAt) {
    carryOut(dispatcher.handle(event, arrivedAt, clock.millis()));
  }

  /** Starts what can start; called after some events. */
  void place() {
    carryOut(dispatcher.place(clock.millis()));
  }

  private void carryOut(List<LeaseEffect> effects) {
    for (LeaseEffect effect : effects) {
      switch (effect) {
        case LeaseEffect.Start start -> upstreams.start(start, this::answered);
        case LeaseEffect.Stop stop -> upstreams.stop(stop, this::answered);
        case LeaseEffect.Renew renew -> upstreams.renew(renew, this::answered);
        case LeaseEffect.Report report ->
            sender.send(
                report.entryHost(), new PeerMessage.ReportWork(report.workId(), report.outcome()));
        case LeaseEffect.Superseded lost -> control.execute(() -> outranked.accept(lost));
        case LeaseEffect.RoleReleased stalled -> control.execute(startOver);
        case LeaseEffect.LogEvent note -> {
          metrics.event(note.event());
          log.info(note.event(), note.fields());
        }
      }
    }
  }

  private void answered(LeaseEvent event) {
    long arrivedAt = clock.millis();
    work.execute(() -> dispatch(event, arrivedAt));
  }

  private void answer(IntakeEffect.Answer answer) {
    log.info(
        "work-answered",
        "work="
            + answer.request().id()
            + " queue="
            + answer.request().queue()
            + " age="
            + answer.ageMillis()
            + " outcome="
            + word(answer.outcome()));
    metrics.worked(answer.request().queue(), word(answer.outcome()), answer.ageMillis());
    Consumer<WorkOutcome> waiting = answers.remove(answer.ticket());
    if (waiting != null) {
      waiting.accept(answer.outcome());
    }
  }

  private static String word(WorkOutcome outcome) {
    return switch (outcome) {
      case WorkOutcome.Completed completed -> "completed";
      case WorkOutcome.Failed failed -> "failed";
      case WorkOutcome.NotRun notRun -> "not-run";
      case WorkOutcome.GivenUp givenUp -> "given-up";
    };
  }
}
