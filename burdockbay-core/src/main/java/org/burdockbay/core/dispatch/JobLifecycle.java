package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.error.RunGuarantee;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.statechart.StateChart;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * Drives jobs through {@code job.chart}: deduplication, admission, the ledger records of
 * at-most-once jobs, collection of the answers, and one report of the outcome.
 */
final class JobLifecycle implements TaskListener {

  private static final long MEMORY_RETRY_AFTER_MILLIS = 1_000;
  private static final long CLOSE_RETRY_INTERVAL_MILLIS = 500;
  private static final long CLOSE_TIMEOUT_MILLIS = 100;
  private static final long LEDGER_RETRY_AFTER_MILLIS = 1_000;
  private static final long REGISTRATION_TIMEOUT_MILLIS = 3_000;

  private final DispatchState state;
  private final StateChart chart;
  private final DispatchRecovery recovery;
  private final JobTable jobs = new JobTable();
  private final SubmissionLookups lookups;
  private final TaskScheduler scheduler;
  private final AdmissionPolicy admission;
  private final SpillPolicy spillPolicy;
  private final AbandonedSubmissions abandoned;
  private long epochStartedAt;

  JobLifecycle(DispatchState state, StateChart chart, DispatchRecovery recovery) {
    this.state = state;
    this.chart = chart;
    this.recovery = recovery;
    this.scheduler = new TaskScheduler(state, this);
    this.admission = new AdmissionPolicy(state, scheduler);
    this.lookups = new SubmissionLookups(state, recovery);
    this.spillPolicy = new SpillPolicy(state, admission);
    this.abandoned = new AbandonedSubmissions(state, recovery, jobs);
  }

  TaskScheduler scheduler() {
    return scheduler;
  }

  int unfinishedJobs() {
    return (int) jobs.jobs().stream().filter(job -> job.outcome == null).count();
  }

  /** Returns whether every at-most-once job that arrived up to the given time is closed. */
  boolean areAtMostOnceJobsClosed(long time) {
    return recovery.openSubmissions().isEmpty()
        && jobs.jobs().stream()
            .noneMatch(
                job -> job.isAtMostOnce() && !job.isInState("done") && job.arrivedAt <= time);
  }

  void epochGranted() {
    epochStartedAt = state.now;
    abandoned.epochGranted();
  }

  /** Returns every unfinished job to the hosts that wait for it. */
  void epochLost() {
    for (JobEntry job : jobs.jobs()) {
      if (!job.reported) {
        job.waitingHosts.forEach(
            host -> state.emit(new DispatchEffect.ReturnJob(host, job.request.key())));
      }
    }
    lookups.epochLost();
    jobs.clear();
    scheduler.clear();
  }

  /** Accepts a job, or joins the existing one with the same key. */
  void submit(DispatchEvent.JobSubmitted event) {
    JobRequest request = event.request();
    JobEntry known = jobs.find(request.key());
    if (known != null) {
      join(known, event);
      return;
    }
    Optional<JobRule> rule = state.configuration.job(request.job());
    if (rule.isEmpty()) {
      String detail = "there is no job '" + request.job() + "'";
      report(event.origin(), request, failed(ErrorKind.IMPOSSIBLE, detail, 0));
      return;
    }
    if (!jobs.hasRoomFor(request)) {
      boolean mayHaveRun = request.keyed() || event.arrival() == Arrival.RESENT;
      ErrorKind kind = mayHaveRun ? ErrorKind.REFUSED : ErrorKind.OVERLOADED;
      String detail = "no memory for further jobs at the dispatcher";
      report(event.origin(), request, failed(kind, detail, MEMORY_RETRY_AFTER_MILLIS));
      return;
    }
    JobEntry job = new JobEntry(request, rule.get(), state.now, chart);
    job.waitingHosts.add(event.origin());
    if (state.isEvacuated() && mayRunElsewhere(job)) {
      redirect(job, state.domain);
      return;
    }
    if (spillToOtherDomain(job, event)) {
      return;
    }
    jobs.add(job);
    // The ledger records whether an at-most-once job ran before. For other jobs, only the runners
    // have a record, so a job that may have reached an earlier dispatcher waits until they have
    // listed their attempts.
    job.mayHaveStarted = request.keyed() || event.arrival() == Arrival.RESENT;
    if (mustHold(job)) {
      transition(job, "hold");
    } else {
      admitOrRefuse(job);
    }
  }

  /**
   * Ends the jobs that have waiting tasks while this failure domain is evacuated.
   *
   * <p>An idempotent job goes back to its entry hosts, which send it to another domain. An
   * at-most-once job is open in this domain, so it ends here.
   */
  void endBlockedJobs() {
    if (!state.isEvacuated()) {
      return;
    }
    for (JobEntry job : List.copyOf(jobs.jobs())) {
      boolean blocked =
          job.isInState("active")
              && job.tasks.stream().anyMatch(task -> task.state == TaskEntry.State.QUEUED);
      if (blocked && mayRunElsewhere(job)) {
        job.tasks.forEach(scheduler::endTask);
        redirect(job, state.domain);
      } else if (blocked) {
        settle(job, evacuated(job));
      }
    }
  }

  private boolean mayRunElsewhere(JobEntry job) {
    return !job.isAtMostOnce() && state.hasOtherOpenDomain();
  }

  private JobOutcome.Failed evacuated(JobEntry job) {
    String detail = "failure domain " + state.domain + " is evacuated";
    return job.started
        ? failed(ErrorKind.TASK_FAILED, detail + " and tasks of the job had not started", 0)
        : withProvenGuarantee(job, failed(ErrorKind.NOT_RUN, detail, LEDGER_RETRY_AFTER_MILLIS));
  }

  /** Adds a waiting host to a known submission, or looks up an unknown one. */
  void follow(DispatchEvent.JobFollowed event) {
    JobEntry known = jobs.find(event.key());
    if (known == null) {
      lookups.lookUp(event.key(), event.origin());
    } else {
      addWaitingHost(known, event.origin());
    }
  }

  /** Cancels a known job, or looks up an unknown one. */
  void cancel(DispatchEvent.JobCancelled event) {
    JobEntry job = jobs.find(event.key());
    if (job == null) {
      lookups.lookUp(event.key(), event.origin());
      return;
    }
    addWaitingHost(job, event.origin());
    job.cancelled = true;
    if (job.isInState("active") || job.isInState("held")) {
      settleCancelled(job);
    }
  }

  /** Handles the ledger's answer to a request that concerns a submission. */
  void ledgerAnswered(LedgerRequest request, LedgerReply reply) {
    switch (request) {
      case LedgerRequest.Open open -> openAnswered(open, reply);
      case LedgerRequest.Lookup lookup -> lookupAnswered(lookup, reply);
      case LedgerRequest.Close close -> closeAnswered(close, reply);
      default ->
          throw new IllegalArgumentException(
              "ledger request doesn't concern a submission: " + request);
    }
  }

  /** Ends overdue jobs and advances waiting ones. */
  void tick() {
    for (JobEntry job : jobs.pollOverdue(state.now)) {
      deadlinePassed(job);
    }
    for (JobEntry job : List.copyOf(jobs.jobs())) {
      if (job.isInState("held") && !mustHold(job)) {
        admitOrRefuse(job);
      } else if (job.isInState("opening") && job.intentGranted && recovery.isComplete()) {
        admit(job);
      } else if (job.isInState("closing")) {
        retryClose(job);
      }
    }
    abandoned.tick();
    jobs.expire(state.now, state.configuration.policy().retentionMillis());
  }

  @Override
  public void taskSucceeded(TaskEntry task, String answer) {
    JobEntry job = task.job;
    if (!job.isInState("active")) {
      return;
    }
    task.answer = answer;
    job.unfinishedTasks--;
    if (job.unfinishedTasks == 0) {
      List<String> answers = new ArrayList<>(job.tasks.size());
      job.tasks.forEach(done -> answers.add(done.answer));
      settle(job, new JobOutcome.Completed(answers));
    }
  }

  @Override
  public void taskFailed(TaskEntry task, ErrorKind kind, String detail) {
    if (task.job.isInState("active")) {
      settle(task.job, failed(kind, "task " + task.index + ": " + detail, 0));
    }
  }

  @Override
  public void orphanEnded(AttemptId attempt, AttemptOutcome outcome) {
    recovery.attemptEnded(attempt, outcome);
  }

  @Override
  public void epochSuperseded(long higherEpoch) {
    state.emit(new DispatchEffect.StepDown(higherEpoch));
  }

  private void settleCancelled(JobEntry job) {
    String detail = job.started ? "cancelled while running" : "cancelled before it started";
    settle(job, failed(ErrorKind.CANCELLED, detail, 0));
  }

  private void join(JobEntry known, DispatchEvent.JobSubmitted event) {
    if (!known.request.digest().equals(event.request().digest())) {
      if (known.isInState("held") || known.isInState("opening") || known.isInState("checking")) {
        // The ledger hasn't decided yet to which content the id belongs; the host sends the job
        // again.
        state.emit(new DispatchEffect.ReturnJob(event.origin(), event.request().key()));
        return;
      }
      String detail = "the submission id was used with other content";
      report(event.origin(), event.request(), failed(ErrorKind.KEY_REUSED, detail, 0));
      return;
    }
    if (isRetryable(known)) {
      jobs.remove(known);
      submit(event);
      return;
    }
    state.logEvent("job-joined", "job=" + event.request().key() + " origin=" + event.origin());
    addWaitingHost(known, event.origin());
  }

  /** Returns whether the job was refused before it started, so that the same key may run now. */
  private static boolean isRetryable(JobEntry job) {
    return job.isInState("done")
        && job.outcome instanceof JobOutcome.Failed failed
        && failed.kind().isRetryable();
  }

  private void addWaitingHost(JobEntry job, String host) {
    if (job.reported && job.outcome != null) {
      report(host, job.request, job.outcome);
    } else {
      job.waitingHosts.add(host);
    }
  }

  private boolean mustHold(JobEntry job) {
    if (job.isAtMostOnce()) {
      // Right after a takeover the ledger may not have answered yet, which is no reason to refuse.
      return !recovery.isRegistered() && state.now - epochStartedAt < REGISTRATION_TIMEOUT_MILLIS;
    }
    return job.mayHaveStarted && recovery.isRebuilding();
  }

  /** Redirects the job to another failure domain if an answer is expected sooner from there. */
  private boolean spillToOtherDomain(JobEntry job, DispatchEvent.JobSubmitted event) {
    if (event.arrival() != Arrival.FIRST || recovery.isRebuilding()) {
      return false;
    }
    Optional<String> domain = spillPolicy.betterDomain(job);
    domain.ifPresent(
        name -> {
          state.logEvent("job-spilled", "job=" + job.request.key() + " domain=" + name);
          state.emit(new DispatchEffect.RedirectJob(event.origin(), job.request.key(), name));
        });
    return domain.isPresent();
  }

  private void admitOrRefuse(JobEntry job) {
    if (!job.isAtMostOnce() && recovery.hasOtherContent(job.request.key(), job.request.digest())) {
      reportAndRemove(job, failed(ErrorKind.KEY_REUSED, "the submission id was used before", 0));
      return;
    }
    Optional<JobOutcome.Failed> refusal = admission.refusal(job.request, job.rule);
    if (!job.isAtMostOnce()) {
      if (refusal.isPresent()) {
        finish(job, withProvenGuarantee(job, refusal.get()));
      } else {
        admit(job);
      }
    } else if (refusal.isPresent()) {
      refuseAtMostOnce(job, refusal.get());
    } else {
      openInLedger(job);
    }
  }

  /**
   * Replaces a refusal that guarantees that the job didn't run by one without this guarantee,
   * unless the guarantee is certain.
   *
   * <p>An idempotent job with a submission id may have run in another domain if failure domains
   * were added or lost while its key could still be in use, or on a runner that has been lost. The
   * state of this dispatcher covers every earlier submission only once the domains have been
   * unchanged, and this epoch has lasted, for the retention time.
   */
  private JobOutcome.Failed withProvenGuarantee(JobEntry job, JobOutcome.Failed refusal) {
    boolean certain =
        job.isAtMostOnce()
            || !job.mayHaveStarted
            || state.now - state.homeDomainsStableSince
                >= state.configuration.policy().retentionMillis();
    if (certain || refusal.kind().runGuarantee() != RunGuarantee.NOT_RUN) {
      return refusal;
    }
    return failed(ErrorKind.REFUSED, refusal.detail(), refusal.retryAfterMillis());
  }

  /**
   * Refuses an at-most-once job once the ledger confirms that it never ran.
   *
   * <p>A resubmission may reach an overloaded domain after the first submission ran in another one.
   * The state of this host isn't sufficient to report the job as not run, so the ledger is queried.
   */
  private void refuseAtMostOnce(JobEntry job, JobOutcome.Failed refusal) {
    if (!job.mayHaveStarted) {
      finish(job, refusal);
      return;
    }
    job.refusal = refusal;
    transition(job, "check");
    state.propose(new LedgerRequest.Lookup(job.request.key(), job.request.digest()));
  }

  private void openInLedger(JobEntry job) {
    transition(job, "open");
    if (!recovery.isRegistered()) {
      reportAndRemove(job, ledgerUnavailable());
      return;
    }
    JobRequest request = job.request;
    state.propose(
        new LedgerRequest.Open(
            state.epoch, request.key(), request.digest(), request.tasks().size()));
  }

  private void openAnswered(LedgerRequest.Open open, LedgerReply reply) {
    JobEntry job = jobs.find(open.key());
    if (job == null || !job.isInState("opening")) {
      return;
    }
    switch (reply) {
      case LedgerReply.Granted granted -> {
        // Also granted if an earlier epoch opened the submission; then the runners must be queried
        // first.
        job.intentGranted = true;
        if (!recovery.wasOpenedEarlier(open.key()) || recovery.isComplete()) {
          admit(job);
        }
      }
      case LedgerReply.Closed closed -> finish(job, closed.outcome());
      case LedgerReply.OpenElsewhere elsewhere -> redirect(job, elsewhere.domain());
      case LedgerReply.ContentMismatch mismatch ->
          reportAndRemove(
              job, failed(ErrorKind.KEY_REUSED, "the submission id was used before", 0));
      case LedgerReply.Full full ->
          reportAndRemove(
              job, failed(ErrorKind.OVERLOADED, "the ledger is full", LEDGER_RETRY_AFTER_MILLIS));
      case LedgerReply.Fenced fenced -> epochSuperseded(fenced.epoch());
      case LedgerReply.Unavailable unavailable -> reportAndRemove(job, ledgerUnavailable());
      case LedgerReply.Unknown unknown -> reportAndRemove(job, ledgerUnavailable());
      case LedgerReply.Registered registered -> reportAndRemove(job, ledgerUnavailable());
    }
  }

  private void lookupAnswered(LedgerRequest.Lookup lookup, LedgerReply reply) {
    lookups.lookupAnswered(lookup.key(), reply);
    JobEntry job = jobs.find(lookup.key());
    if (job == null || !job.isInState("checking")) {
      return;
    }
    switch (reply) {
      case LedgerReply.Closed closed -> finish(job, closed.outcome());
      case LedgerReply.OpenElsewhere elsewhere when elsewhere.domain().equals(state.domain) -> {
        // An earlier epoch of this domain opened the submission: it is not new work and skips
        // admission.
        job.state = "received";
        openInLedger(job);
      }
      case LedgerReply.OpenElsewhere elsewhere -> redirect(job, elsewhere.domain());
      case LedgerReply.ContentMismatch mismatch ->
          reportAndRemove(
              job, failed(ErrorKind.KEY_REUSED, "the submission id was used before", 0));
      case LedgerReply.Unknown unknown when job.refusal != null ->
          reportAndRemove(job, job.refusal);
      default -> reportAndRemove(job, ledgerUnavailable());
    }
  }

  private void closeAnswered(LedgerRequest.Close close, LedgerReply reply) {
    if (reply instanceof LedgerReply.Granted || reply instanceof LedgerReply.Closed) {
      recovery.removeSettled(close.key());
    }
    JobEntry job = jobs.find(close.key());
    if (job == null || !job.isInState("closing")) {
      return;
    }
    switch (reply) {
      case LedgerReply.Granted granted -> finish(job, close.outcome());
      case LedgerReply.Closed closed -> finish(job, closed.outcome());
      case LedgerReply.Fenced fenced -> epochSuperseded(fenced.epoch());
      default -> job.nextCloseAt = state.now + CLOSE_RETRY_INTERVAL_MILLIS;
    }
  }

  /** Enqueues the tasks of the job, after taking over attempts that earlier dispatchers started. */
  private void admit(JobEntry job) {
    SubmissionKey key = job.request.key();
    final boolean recovered = recovery.wasOpenedEarlier(key);
    transition(job, "admit");
    scheduler.reserveQuota(job);
    state.logEvent(
        "job-admitted", "job=" + key + " kind=" + job.rule.name() + " tasks=" + job.tasks.size());
    if (job.cancelled) {
      settleCancelled(job);
    }
    for (TaskEntry task : job.tasks) {
      if (!job.isInState("active")) {
        return;
      }
      Optional<DispatchRecovery.RecoveredAttempt> found =
          recovery.find(key, job.request.digest(), task.index);
      if (found.isPresent()) {
        takeOver(task, found.get());
      } else if (recovered && !recovery.isLossless()) {
        // A runner that may have run the task was written off, so it is unknown whether the task
        // started.
        taskFailed(task, ErrorKind.OUTCOME_UNKNOWN, "its runner was lost with its dispatcher");
      } else {
        scheduler.enqueue(task);
      }
    }
  }

  private void takeOver(TaskEntry task, DispatchRecovery.RecoveredAttempt found) {
    task.attemptsMade = found.id().attempt();
    task.job.started = true;
    state.logEvent("task-taken-over", "attempt=" + found.id() + " runner=" + found.runner().id);
    AttemptEntry running = found.runner().attempts.get(found.id());
    if (running != null) {
      scheduler.adopt(task, running);
    } else if (found.status() instanceof AttemptStatus.Finished finished) {
      switch (finished.outcome()) {
        case AttemptOutcome.Succeeded succeeded -> {
          scheduler.endTask(task);
          taskSucceeded(task, succeeded.answer());
        }
        case AttemptOutcome.Failed failed ->
            taskFailed(task, ErrorKind.TASK_FAILED, failed.reason());
        default -> scheduler.enqueue(task);
      }
    } else {
      runnerLostBeforeTakeover(task, found);
    }
  }

  private void runnerLostBeforeTakeover(TaskEntry task, DispatchRecovery.RecoveredAttempt found) {
    if (task.job.isAtMostOnce()) {
      String detail = "runner " + found.runner().id + " was lost while it ran the task";
      taskFailed(task, ErrorKind.OUTCOME_UNKNOWN, detail);
    } else {
      scheduler.enqueue(task);
    }
  }

  private void settle(JobEntry job, JobOutcome outcome) {
    job.tasks.forEach(scheduler::endTask);
    if (!job.isAtMostOnce() || job.isInState("held")) {
      finish(job, outcome);
      return;
    }
    job.outcome = outcome;
    transition(job, "close");
    job.nextCloseAt = state.now + CLOSE_RETRY_INTERVAL_MILLIS;
    state.propose(new LedgerRequest.Close(state.epoch, job.request.key(), outcome));
  }

  /**
   * Reports an outcome whose record the ledger hasn't confirmed in time, and proposes the record
   * again.
   */
  private void retryClose(JobEntry job) {
    JobOutcome outcome = job.outcome;
    if (outcome == null) {
      return;
    }
    // The caller gets the answer before the record is durable. Until then the outcome exists only
    // in the runners' memory; if that is lost too, a resubmission gets "outcome unknown" and never
    // a second run.
    if (!job.reported
        && state.now >= job.nextCloseAt - CLOSE_RETRY_INTERVAL_MILLIS + CLOSE_TIMEOUT_MILLIS) {
      reportAll(job, outcome);
    }
    if (state.now >= job.nextCloseAt) {
      job.nextCloseAt = state.now + CLOSE_RETRY_INTERVAL_MILLIS;
      state.propose(new LedgerRequest.Close(state.epoch, job.request.key(), outcome));
    }
  }

  private void deadlinePassed(JobEntry job) {
    if (job.isInState("active")) {
      ErrorKind kind = job.started ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.NOT_RUN;
      String detail =
          job.started ? "the deadline passed while tasks ran" : "the deadline passed in the queue";
      long retryAfter = job.started ? 0 : scheduler.predictedWaitMillis() + 1;
      settle(job, withProvenGuarantee(job, failed(kind, detail, retryAfter)));
    } else if (job.isInState("opening") || job.isInState("checking")) {
      reportAndRemove(job, ledgerUnavailable());
    } else if (job.isInState("held")) {
      String detail = "the deadline passed while the dispatcher rebuilt its state";
      reportAndRemove(job, failed(ErrorKind.UNAVAILABLE, detail, LEDGER_RETRY_AFTER_MILLIS));
    }
  }

  private void redirect(JobEntry job, String domain) {
    jobs.remove(job);
    if (domain.equals(state.domain)) {
      job.waitingHosts.forEach(
          host -> state.emit(new DispatchEffect.ReturnJob(host, job.request.key())));
      return;
    }
    job.waitingHosts.forEach(
        host -> state.emit(new DispatchEffect.RedirectJob(host, job.request.key(), domain)));
  }

  /**
   * Reports the outcome of a job and removes the job, because the outcome must not be retained for
   * its key.
   */
  private void reportAndRemove(JobEntry job, JobOutcome outcome) {
    jobs.remove(job);
    reportAll(job, outcome);
  }

  private void finish(JobEntry job, JobOutcome outcome) {
    transition(job, "finish");
    job.outcome = outcome;
    job.finishedAt = state.now;
    if (!job.reported) {
      reportAll(job, outcome);
    }
    recovery.removeSettled(job.request.key());
    boolean neverRan =
        outcome instanceof JobOutcome.Failed failed
            && failed.kind().runGuarantee() == RunGuarantee.NOT_RUN;
    if (neverRan) {
      jobs.remove(job);
    } else {
      jobs.retain(job);
    }
  }

  private void reportAll(JobEntry job, JobOutcome outcome) {
    job.reported = true;
    job.waitingHosts.forEach(host -> report(host, job.request, outcome));
    job.waitingHosts.clear();
  }

  private void report(String host, JobRequest request, JobOutcome outcome) {
    state.reportOutcome(host, request.key(), request.digest(), outcome);
  }

  private void transition(JobEntry job, String event) {
    Optional<String> next = chart.nextState(job.state, event);
    if (next.isEmpty()) {
      throw new IllegalStateException(
          "job "
              + job.request.key()
              + " has no transition for event "
              + event
              + " in state "
              + job.state);
    }
    job.state = next.get();
  }

  static JobOutcome.Failed ledgerUnavailable() {
    String detail = "the ledger has no quorum here; the submission may have run elsewhere";
    return failed(ErrorKind.LEDGER_UNAVAILABLE, detail, LEDGER_RETRY_AFTER_MILLIS);
  }

  private static JobOutcome.Failed failed(ErrorKind kind, String detail, long retryAfterMillis) {
    return new JobOutcome.Failed(kind, detail, retryAfterMillis);
  }
}
