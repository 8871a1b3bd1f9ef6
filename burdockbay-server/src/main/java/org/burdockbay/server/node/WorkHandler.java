package org.burdockbay.server.node;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
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

/**
 * Runs the intake and the dispatcher, and executes their effects.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
final class WorkHandler {

  private final LeaseDispatcher dispatcher;
  private final WorkIntake intake;
  private final Map<Long, Consumer<WorkOutcome>> callbacks = new HashMap<>();
  private final Clock clock;
  private final EventLog log;
  private final UpstreamCalls upstreams;
  private final HostMetrics metrics;
  private final PeerSender sender;
  private final Executor controlExecutor;
  private final Executor workExecutor;
  private final Consumer<LeaseEffect.Superseded> onSuperseded;
  private final Runnable onRoleReleased;
  private Evacuations evacuations = Evacuations.NONE;

  /**
   * Creates a handler.
   *
   * @param control executes control tasks on the control thread
   * @param work executes work tasks on the control thread, after all control tasks
   * @param onSuperseded called after an upstream refused the dispatcher's token as superseded
   * @param onRoleReleased called after the dispatcher released its role
   */
  WorkHandler(
      NodeParts parts,
      PeerSender sender,
      Executor control,
      Executor work,
      Consumer<LeaseEffect.Superseded> onSuperseded,
      Runnable onRoleReleased) {
    LeaseTiming timing = parts.settings().leaseTiming();
    this.dispatcher =
        new LeaseDispatcher(
            parts.settings().host(), timing, parts.settings().scheduling(), parts.limits().work());
    registerGauges(parts, dispatcher);
    this.intake =
        new WorkIntake(
            parts.settings().host(),
            parts.settings().descriptor().domain(),
            timing.maxOrphanedRunMillis(),
            parts.settings().scheduling());
    this.clock = parts.clock();
    this.log = parts.log();
    this.upstreams = parts.upstreams();
    this.metrics = parts.metrics();
    this.sender = sender;
    this.controlExecutor = control;
    this.workExecutor = work;
    this.onSuperseded = onSuperseded;
    this.onRoleReleased = onRoleReleased;
  }

  private static void registerGauges(NodeParts parts, LeaseDispatcher dispatcher) {
    parts.metrics().registerGauge("dispatcher.work.bytes", dispatcher::workBytes);
    parts
        .metrics()
        .registerGauge("dispatcher.work.bytes-limit", () -> parts.limits().work().dispatchBytes());
  }

  /** Submits the request of a caller; the callback receives its outcome. */
  void submit(long ticket, WorkRequest request, Consumer<WorkOutcome> callback) {
    callbacks.put(ticket, callback);
    handleIntakeEvent(new IntakeEvent.RequestReceived(ticket, request));
  }

  /** Handles the disconnection of a caller, which then receives no outcome. */
  void callerDisconnected(long ticket) {
    callbacks.remove(ticket);
    handleIntakeEvent(new IntakeEvent.CallerDisconnected(ticket));
  }

  /**
   * Cancels work whose callers wait at this host; they are answered.
   *
   * @return whether callers were waiting
   */
  boolean cancel(String workId) {
    boolean held = intake.holds(workId);
    handleIntakeEvent(new IntakeEvent.CancelRequested(workId));
    return held;
  }

  /** Returns the number of callers of this host that wait for an outcome. */
  int waitingCallers() {
    return intake.waitingCallers();
  }

  /** Returns the number of waiting callers plus the number of unanswered pieces of work. */
  int inFlightCount() {
    return intake.waitingCallers() + dispatcher.unansweredCount();
  }

  /** Returns the load and the free capacity of the upstreams that this host dispatches to. */
  DomainLoad load() {
    return dispatcher.load();
  }

  /** Returns the speeds of upstreams that this host has learned as a dispatcher, by id. */
  Map<String, Double> upstreamSpeeds() {
    return dispatcher.upstreamSpeeds();
  }

  /**
   * Applies evacuations to the intake and the dispatcher.
   *
   * @param complete whether all failure domains of the fleet are evacuated
   */
  void applyEvacuations(Evacuations changed, boolean complete) {
    evacuations = changed;
    metrics.recordEvacuatedDomains(changed.domains().size());
    handleIntakeEvent(new IntakeEvent.EvacuationsChanged(changed.domains(), complete));
    handleLeaseEvent(new LeaseEvent.EvacuationsChanged(changed.domains()));
  }

  void tick() {
    handleLeaseEvent(new LeaseEvent.Tick());
    handleIntakeEvent(new IntakeEvent.Tick());
  }

  void handleIntakeEvent(IntakeEvent event) {
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
                    submit.quietPeriodMillis(),
                    submit.origin()));
        case IntakeEffect.Cancel cancel ->
            sender.send(
                cancel.to().host(),
                new PeerMessage.CancelWork(cancel.to().token(), cancel.workId()));
        case IntakeEffect.Answer answer -> answerCaller(answer);
        case IntakeEffect.LogEvent logEvent -> {
          metrics.countEvent(logEvent.event());
          log.info(logEvent.event(), logEvent.fields());
        }
      }
    }
  }

  void handleLeaseEvent(LeaseEvent event) {
    execute(dispatcher.handle(event, clock.millis()));
  }

  /** Handles an event that arrived at the given time, before now. */
  void handleLeaseEvent(LeaseEvent event, long arrivedAt) {
    execute(dispatcher.handle(event, arrivedAt, clock.millis()));
  }

  /** Starts the tasks that can start; called once after each batch of events. */
  void placeTasks() {
    execute(dispatcher.place(clock.millis()));
  }

  private void execute(List<LeaseEffect> effects) {
    for (LeaseEffect effect : effects) {
      switch (effect) {
        case LeaseEffect.Start start -> start(start);
        case LeaseEffect.Stop stop -> upstreams.stop(stop, this::upstreamAnswered);
        case LeaseEffect.Renew renew -> upstreams.renew(renew, this::upstreamAnswered);
        case LeaseEffect.Report report ->
            sender.send(
                report.entryHost(), new PeerMessage.ReportWork(report.workId(), report.outcome()));
        case LeaseEffect.RegisterWork register ->
            sender.send(register.registrar(), RegistrationMessages.toMessage(register));
        case LeaseEffect.ConfirmRegistration confirm ->
            sender.send(confirm.dispatcher(), RegistrationMessages.toMessage(confirm));
        case LeaseEffect.DeferRegistration defer ->
            sender.send(defer.dispatcher(), RegistrationMessages.toMessage(defer));
        case LeaseEffect.DeregisterWork deregister ->
            sender.send(deregister.registrar(), RegistrationMessages.toMessage(deregister));
        case LeaseEffect.Superseded superseded ->
            controlExecutor.execute(() -> onSuperseded.accept(superseded));
        case LeaseEffect.RoleReleased released -> controlExecutor.execute(onRoleReleased);
        case LeaseEffect.LogEvent logEvent -> {
          metrics.countEvent(logEvent.event());
          log.info(logEvent.event(), logEvent.fields());
        }
      }
    }
  }

  private void start(LeaseEffect.Start start) {
    if (evacuations.contains(start.upstream().domain())) {
      metrics.countEvent("start-in-evacuated-domain");
      log.warn(
          "start-in-evacuated-domain", "run=" + start.run() + " upstream=" + start.upstream().id());
    }
    upstreams.start(start, this::upstreamAnswered);
  }

  private void upstreamAnswered(LeaseEvent event) {
    long arrivedAt = clock.millis();
    workExecutor.execute(() -> handleLeaseEvent(event, arrivedAt));
  }

  private void answerCaller(IntakeEffect.Answer answer) {
    log.info(
        "work-answered",
        "work="
            + answer.request().id()
            + " queue="
            + answer.request().queue()
            + " age="
            + answer.ageMillis()
            + " outcome="
            + code(answer.outcome()));
    metrics.recordWork(answer.request().queue(), code(answer.outcome()), answer.ageMillis());
    Consumer<WorkOutcome> callback = callbacks.remove(answer.ticket());
    if (callback != null) {
      callback.accept(answer.outcome());
    }
  }

  /** Returns the code of an outcome in log lines and metrics. */
  private static String code(WorkOutcome outcome) {
    return switch (outcome) {
      case WorkOutcome.Completed completed -> "completed";
      case WorkOutcome.Failed failed -> "failed";
      case WorkOutcome.NotRun notRun -> "not-run";
      case WorkOutcome.GivenUp givenUp -> "given-up";
    };
  }
}
