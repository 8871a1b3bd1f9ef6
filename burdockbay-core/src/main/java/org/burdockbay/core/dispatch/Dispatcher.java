package org.burdockbay.core.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.statechart.StateChart;
import org.burdockbay.core.statechart.StateChartException;

/**
 * The dispatcher of one failure domain as a pure state machine.
 *
 * <p>One host of the domain holds the role at a time, under an epoch that the runners enforce: a
 * runner that has accepted an epoch rejects starts under lower ones, so a dispatcher that resumes
 * after a process pause can't start anything. All other hosts of the domain feed the same
 * announcements to their own instances, which stay passive until {@link
 * DispatchEvent.EpochGranted}.
 *
 * <p>Not thread-safe; confined to the control thread.
 */
public final class Dispatcher {

  private static final long REGISTRATION_RETRY_INTERVAL_MILLIS = 500;

  private final DispatchState state;
  private final DispatchRecovery recovery;
  private final JobLifecycle jobs;
  private final Map<RunnerId, Long> lostRunners = new LinkedHashMap<>();
  private long nextRegistrationAt;

  /**
   * Creates a passive dispatcher for the failure domain.
   *
   * @throws StateChartException if the job chart can't be read
   */
  public Dispatcher(String domain) throws StateChartException {
    this.state = new DispatchState(domain);
    this.recovery = new DispatchRecovery(state);
    this.jobs = new JobLifecycle(state, StateChart.load(Dispatcher.class, "job.chart"), recovery);
  }

  /** Handles an event at the given time in milliseconds and returns the resulting effects. */
  public List<DispatchEffect> handle(DispatchEvent event, long now) {
    state.now = Math.max(state.now, now);
    state.startedAt = state.startedAt == 0 ? state.now : state.startedAt;
    switch (event) {
      case DispatchEvent.ConfigurationChanged changed -> {
        state.configuration = changed.configuration();
        jobs.scheduler().configurationChanged();
      }
      case DispatchEvent.EpochGranted granted -> epochGranted(granted.epoch());
      case DispatchEvent.EpochLost lost -> epochLost();
      case DispatchEvent.RunnerAnnounced announced -> runnerAnnounced(announced);
      case DispatchEvent.DomainLoadsReported loads -> domainLoadsReported(loads);
      case DispatchEvent.EvacuationsChanged changed -> evacuationsChanged(changed);
      case DispatchEvent.JobSubmitted submitted when !state.isDispatching() -> returnJob(submitted);
      case DispatchEvent.Tick tick when !state.isDispatching() -> state.pool.expire(state.now);
      default -> {
        if (state.isDispatching()) {
          handleWhileDispatching(event);
        }
      }
    }
    return state.takeEffects();
  }

  /** Returns the epoch under which this host dispatches, or 0 while it is passive. */
  public long epoch() {
    return state.epoch;
  }

  /** Returns the load that is reported to other failure domains. */
  public DomainLoad load() {
    int free = Math.max(0, state.pool.freeSlots(state.now) - jobs.scheduler().waitingTasks());
    return new DomainLoad(free, jobs.scheduler().predictedWaitMillis());
  }

  /** Returns figures for status pages. */
  public DispatchSnapshot snapshot() {
    int running = 0;
    int ejected = 0;
    for (RunnerEntry runner : state.pool.runners()) {
      running += runner.attempts.size();
      ejected += runner.isEjected(state.now) ? 1 : 0;
    }
    return DispatchSnapshot.builder()
        .epoch(state.epoch)
        .runners(state.pool.runners().size())
        .ejectedRunners(ejected)
        .slots(state.pool.totalSlots(state.now))
        .runningTasks(running)
        .waitingTasks(jobs.scheduler().waitingTasks())
        .unfinishedJobs(jobs.unfinishedJobs())
        .guarding(recovery.isRegistered())
        .build();
  }

  private void handleWhileDispatching(DispatchEvent event) {
    switch (event) {
      case DispatchEvent.JobSubmitted submitted -> jobs.submit(submitted);
      case DispatchEvent.JobFollowed followed -> jobs.follow(followed);
      case DispatchEvent.JobCancelled cancelled -> jobs.cancel(cancelled);
      case DispatchEvent.RunnerFenced fenced -> runnerFenced(fenced);
      case DispatchEvent.AttemptEnded ended ->
          jobs.scheduler().attemptEnded(ended.attempt(), ended.runner(), ended.outcome());
      case DispatchEvent.AttemptQueried queried ->
          jobs.scheduler().attemptQueried(queried.attempt(), queried.runner(), queried.status());
      case DispatchEvent.LedgerAnswered answered -> ledgerAnswered(answered);
      case DispatchEvent.Tick tick -> tick();
      default ->
          throw new IllegalStateException(
              "event can't be handled by an active dispatcher: " + event);
    }
    if (state.isDispatching()) {
      jobs.scheduler().startWaitingTasks();
    }
  }

  private void epochGranted(long epoch) {
    if (state.isDispatching()) {
      epochLost();
    }
    state.epoch = epoch;
    state.homeDomainsStableSince = state.now;
    state.logEvent("epoch-granted", "domain=" + state.domain + " epoch=" + epoch);
    jobs.epochGranted();
    recovery.startEpoch();
    register();
  }

  private void epochLost() {
    if (!state.isDispatching()) {
      return;
    }
    state.logEvent("epoch-lost", "domain=" + state.domain + " epoch=" + state.epoch);
    jobs.epochLost();
    lostRunners.clear();
    state.epoch = 0;
  }

  private void domainLoadsReported(DispatchEvent.DomainLoadsReported loads) {
    if (!loads.loads().keySet().equals(state.otherDomainLoads.keySet())) {
      state.homeDomainsStableSince = state.now;
    }
    state.otherDomainLoads = loads.loads();
  }

  private void evacuationsChanged(DispatchEvent.EvacuationsChanged changed) {
    state.evacuatedDomains = changed.domains();
    state.pool.setEvacuated(state.isEvacuated());
    state.homeDomainsStableSince = state.now;
    if (state.isDispatching()) {
      jobs.endBlockedJobs();
      jobs.scheduler().startWaitingTasks();
    }
  }

  private void returnJob(DispatchEvent.JobSubmitted submitted) {
    state.emit(new DispatchEffect.ReturnJob(submitted.origin(), submitted.request().key()));
  }

  private void runnerAnnounced(DispatchEvent.RunnerAnnounced event) {
    boolean known = state.pool.find(event.announcement().id()).isPresent();
    state.pool.announce(event.announcement(), state.now).ifPresent(this::runnerReplaced);
    if (!known && state.isDispatching()) {
      state.pool.find(event.announcement().id()).ifPresent(recovery::fence);
    }
    if (state.isDispatching()) {
      jobs.scheduler().startWaitingTasks();
    }
  }

  private void runnerReplaced(RunnerEntry replaced) {
    jobs.scheduler().runnerLost(replaced);
    if (replaced.inRoster) {
      lostRunners.put(replaced.id, state.now);
    }
  }

  private void runnerFenced(DispatchEvent.RunnerFenced event) {
    RunnerEntry runner = state.pool.find(event.runner()).orElse(null);
    if (runner == null || event.epoch() != state.epoch || runner.fenced) {
      return;
    }
    recovery.runnerFenced(runner, event.attempts());
    state.logEvent("runner-fenced", "runner=" + runner.id + " attempts=" + event.attempts().size());
    addToRoster(runner);
  }

  private void addToRoster(RunnerEntry runner) {
    if (recovery.isRegistered()
        && runner.fenced
        && !runner.inRoster
        && !runner.rosterAdditionPending) {
      runner.rosterAdditionPending = true;
      state.propose(new LedgerRequest.AddRunner(state.epoch, runner.id));
    }
  }

  private void ledgerAnswered(DispatchEvent.LedgerAnswered answered) {
    if (answered.reply() instanceof LedgerReply.Fenced fenced) {
      if (epochOf(answered.request()) == state.epoch) {
        state.emit(new DispatchEffect.StepDown(fenced.epoch()));
      }
      return;
    }
    switch (answered.request()) {
      case LedgerRequest.Register register when register.epoch() == state.epoch -> {
        if (answered.reply() instanceof LedgerReply.Registered registered
            && !recovery.isRegistered()) {
          recovery.ledgerRegistered(registered);
          state.pool.runners().forEach(this::addToRoster);
        }
      }
      case LedgerRequest.AddRunner add -> rosterChangeAnswered(add.runner(), answered.reply());
      case LedgerRequest.Open open when open.epoch() == state.epoch ->
          jobs.ledgerAnswered(open, answered.reply());
      case LedgerRequest.Close close when close.epoch() == state.epoch ->
          jobs.ledgerAnswered(close, answered.reply());
      case LedgerRequest.Lookup lookup -> jobs.ledgerAnswered(lookup, answered.reply());
      default -> {
        // An answer to a removal or to an earlier epoch of this host needs no action.
      }
    }
  }

  private void rosterChangeAnswered(RunnerId id, LedgerReply reply) {
    state
        .pool
        .find(id)
        .ifPresent(
            runner -> {
              runner.inRoster = reply instanceof LedgerReply.Granted;
              runner.rosterAdditionPending = runner.inRoster;
            });
  }

  private void tick() {
    for (RunnerEntry expired : state.pool.expire(state.now)) {
      state.logEvent("runner-expired", "runner=" + expired.id);
      jobs.scheduler().runnerLost(expired);
      if (expired.inRoster) {
        lostRunners.put(expired.id, state.now);
      }
    }
    removeLostRunners();
    if (!recovery.isRegistered() && state.now >= nextRegistrationAt) {
      register();
    }
    recovery.tick();
    state.pool.runners().forEach(this::addToRoster);
    jobs.tick();
    jobs.endBlockedJobs();
    jobs.scheduler().tick();
  }

  /**
   * Removes lost runners from the roster once every at-most-once job that may have run on them is
   * closed.
   *
   * <p>If they were removed earlier, a dispatcher that takes over would find the open job and a
   * roster without the lost runner, conclude that the job never started, and start it a second
   * time.
   */
  private void removeLostRunners() {
    lostRunners
        .entrySet()
        .removeIf(
            entry -> {
              boolean closed = jobs.areAtMostOnceJobsClosed(entry.getValue());
              if (closed) {
                state.propose(new LedgerRequest.RemoveRunner(state.epoch, entry.getKey()));
              }
              return closed;
            });
  }

  private void register() {
    nextRegistrationAt = state.now + REGISTRATION_RETRY_INTERVAL_MILLIS;
    state.propose(new LedgerRequest.Register(state.epoch));
  }

  private static long epochOf(LedgerRequest request) {
    return switch (request) {
      case LedgerRequest.Register register -> register.epoch();
      case LedgerRequest.AddRunner add -> add.epoch();
      case LedgerRequest.RemoveRunner remove -> remove.epoch();
      case LedgerRequest.Open open -> open.epoch();
      case LedgerRequest.Close close -> close.epoch();
      case LedgerRequest.Lookup lookup -> 0;
    };
  }
}
