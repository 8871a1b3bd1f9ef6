package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.configuration.CallerRule;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.configuration.ServiceRule;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * Starts waiting tasks on free slots, and handles attempts that end, are rejected, straggle or
 * become silent.
 */
final class TaskScheduler {

  private static final long QUERY_INTERVAL_MILLIS = 1_000;
  private static final long MAX_QUERY_INTERVAL_MILLIS = 10_000;
  private static final long REJECTION_PAUSE_MILLIS = 300;
  private static final long BUSY_PAUSE_MILLIS = 20;
  private static final int MAX_ATTEMPTS_PER_TASK = 50;
  private static final double HEDGE_QUANTILE = 0.95;
  private static final double HEDGE_THRESHOLD_FACTOR = 1.5;

  private final DispatchState state;
  private final TaskListener listener;
  private final Map<QueueKey, FairQueue> queues = new LinkedHashMap<>();
  private final Map<String, Integer> tasksByCaller = new HashMap<>();
  private final Map<String, Integer> runningByService = new HashMap<>();
  private final Map<String, RatioBudget> retryBudgets = new HashMap<>();
  private final Map<RunnerEntry, List<AttemptId>> cancellations = new LinkedHashMap<>();
  private RatioBudget hedgeBudget = new RatioBudget(0.02);
  private long sequence;

  TaskScheduler(DispatchState state, TaskListener listener) {
    this.state = state;
    this.listener = listener;
  }

  FairQueue queue(JobRule rule) {
    return queues.computeIfAbsent(QueueKey.of(rule), key -> new FairQueue());
  }

  /** Returns the number of waiting and running tasks of the caller. */
  int tasksOf(String caller) {
    return tasksByCaller.getOrDefault(caller, 0);
  }

  int waitingTasks() {
    return queues.values().stream().mapToInt(FairQueue::size).sum();
  }

  /** Returns the predicted wait of a task that arrives now, in milliseconds. */
  long predictedWaitMillis() {
    double queuedWorkMillis =
        queues.values().stream().mapToDouble(FairQueue::queuedWorkMillis).sum();
    return Math.round(queuedWorkMillis / Math.max(1, state.pool.totalSlots(state.now)));
  }

  /** Returns the number of free slots that no waiting task of the job's queue will take. */
  int spareSlots(JobRule rule) {
    return Math.max(0, state.pool.freeSlots(state.now) - queue(rule).size());
  }

  void configurationChanged() {
    retryBudgets.clear();
    hedgeBudget = new RatioBudget(state.configuration.policy().hedgeBudget());
  }

  /** Counts the tasks of a job against its caller's quota. */
  void reserveQuota(JobEntry job) {
    tasksByCaller.merge(job.request.key().caller(), job.tasks.size(), Integer::sum);
  }

  /** Adds a task to its queue. */
  void enqueue(TaskEntry task) {
    task.sequence = ++sequence;
    task.expectedMillis = state.runTime(task.job.rule).expectedMillis();
    queue(task.job.rule).add(task, weight(task));
  }

  /** Ends a task: removes it from the queue and cancels its attempts. */
  void endTask(TaskEntry task) {
    if (task.state == TaskEntry.State.ENDED && task.attempts.isEmpty()) {
      return;
    }
    if (task.state == TaskEntry.State.QUEUED) {
      queue(task.job.rule).cancel(task);
    }
    task.state = TaskEntry.State.ENDED;
    for (AttemptEntry attempt : List.copyOf(task.attempts)) {
      cancelAttempt(attempt);
    }
    task.attempts.clear();
    releaseQuota(task);
  }

  /** Starts waiting tasks while there are free slots for them. */
  void startWaitingTasks() {
    for (Map.Entry<QueueKey, FairQueue> entry : queues.entrySet()) {
      FairQueue queue = entry.getValue();
      TaskEntry task = queue.peek();
      while (task != null && isBelowConcurrencyLimit(entry.getKey().service())) {
        RunnerEntry runner = state.pool.select(task, null, state.now);
        if (runner == null) {
          break;
        }
        queue.remove(task);
        startAttempt(task, runner);
        task = queue.peek();
      }
    }
  }

  /** Handles the end of a call that starts an attempt. */
  void attemptEnded(AttemptId id, RunnerId runnerId, AttemptOutcome outcome) {
    RunnerEntry runner = state.pool.find(runnerId).orElse(null);
    AttemptEntry attempt = runner == null ? null : runner.attempts.get(id);
    if (attempt == null) {
      // The attempt was settled by other means, or its runner was lost.
      state.logEvent("attempt-late", "attempt=" + id + " runner=" + runnerId);
      return;
    }
    handleOutcome(attempt, outcome);
  }

  /** Handles the status of an attempt as reported by its runner. */
  void attemptQueried(AttemptId id, RunnerId runnerId, AttemptStatus status) {
    RunnerEntry runner = state.pool.find(runnerId).orElse(null);
    AttemptEntry attempt = runner == null ? null : runner.attempts.get(id);
    if (attempt == null) {
      return;
    }
    attempt.queryPending = false;
    switch (status) {
      case AttemptStatus.Running running -> scheduleQuery(attempt, attempt.queryIntervalMillis * 2);
      case AttemptStatus.Finished finished -> handleOutcome(attempt, finished.outcome());
      case AttemptStatus.NeverBegan never ->
          handleOutcome(
              attempt, new AttemptOutcome.Rejected("the runner has not seen the attempt"));
      case AttemptStatus.Unreachable unreachable ->
          scheduleQuery(attempt, QUERY_INTERVAL_MILLIS / 2);
    }
  }

  /** Assigns an attempt that an earlier dispatcher started to its task. */
  void adopt(TaskEntry task, AttemptEntry attempt) {
    attempt.task = task;
    attempt.service = task.job.rule.service();
    task.attempts.add(attempt);
    task.attemptsMade = Math.max(task.attemptsMade, attempt.id.attempt());
    task.state = TaskEntry.State.RUNNING;
    task.job.started = true;
    runningByService.merge(task.job.rule.service(), 1, Integer::sum);
  }

  /** Settles the attempts of a runner whose lease expired or whose process restarted. */
  void runnerLost(RunnerEntry runner) {
    for (AttemptEntry attempt : List.copyOf(runner.attempts.values())) {
      TaskEntry task = attempt.task;
      removeAttempt(attempt);
      if (task == null || task.state == TaskEntry.State.ENDED || !task.attempts.isEmpty()) {
        continue;
      }
      String detail = "runner " + runner.id + " was lost while it ran the task";
      if (task.job.isAtMostOnce()) {
        listener.taskFailed(task, ErrorKind.OUTCOME_UNKNOWN, detail);
      } else {
        retry(task, detail);
      }
    }
  }

  /** Queries silent attempts, starts hedges and sends the collected cancellations. */
  void tick() {
    for (RunnerEntry runner : state.pool.runners()) {
      for (AttemptEntry attempt : List.copyOf(runner.attempts.values())) {
        if (!attempt.queryPending && state.now >= attempt.nextQueryAt) {
          queryAttempt(attempt);
        }
        hedge(attempt);
      }
    }
    cancellations.forEach(
        (runner, attempts) ->
            state.emit(
                new DispatchEffect.CancelAttempts(
                    runner.id, runner.address(), state.epoch, List.copyOf(attempts))));
    cancellations.clear();
  }

  /** Discards all tasks and attempts; the next dispatcher recovers them from the runners. */
  void clear() {
    queues.clear();
    tasksByCaller.clear();
    runningByService.clear();
    cancellations.clear();
    state.pool.runners().forEach(runner -> runner.attempts.clear());
  }

  private void startAttempt(TaskEntry task, RunnerEntry runner) {
    JobEntry job = task.job;
    AttemptEntry attempt = new AttemptEntry(task.nextAttemptId(), runner, task, state.now);
    attempt.service = job.rule.service();
    runner.attempts.put(attempt.id, attempt);
    task.attempts.add(attempt);
    task.state = TaskEntry.State.RUNNING;
    job.started = true;
    runningByService.merge(job.rule.service(), 1, Integer::sum);
    scheduleQuery(attempt, firstQueryDelayMillis(job.rule));
    state.emit(
        new DispatchEffect.StartAttempt(
            runner.id,
            runner.address(),
            state.epoch,
            attempt.id,
            job.rule.name(),
            job.request.tasks().get(task.index),
            Math.max(1, job.deadlineAt - state.now)));
    if (task.attemptsMade == 1) {
      retryBudget(task).deposit();
      hedgeBudget.deposit();
    }
  }

  private void handleOutcome(AttemptEntry attempt, AttemptOutcome outcome) {
    if (attempt.task == null && !attempt.cancelled) {
      listener.orphanEnded(attempt.id, outcome);
    }
    switch (outcome) {
      case AttemptOutcome.Succeeded succeeded -> {
        attempt.runner.recordSuccess();
        TaskEntry task = attempt.task;
        removeAttempt(attempt);
        if (task != null && task.state != TaskEntry.State.ENDED) {
          state.runTime(task.job.rule).record(state.now - attempt.startedAt);
          state.recentSuccesses(task.job.rule).recordSuccess(attempt.runner.id, state.now);
          endTask(task);
          listener.taskSucceeded(task, succeeded.answer());
        }
      }
      case AttemptOutcome.Failed failed -> attemptFailed(attempt, failed.reason());
      case AttemptOutcome.Rejected rejected -> attemptRejected(attempt, rejected.reason());
      case AttemptOutcome.Fenced fenced -> {
        removeAttempt(attempt);
        listener.epochSuperseded(fenced.epoch());
      }
      case AttemptOutcome.Uncertain uncertain -> {
        // The connection broke or became silent. Starting the task again could run it twice, so the
        // runner is queried over a new connection.
        state.logEvent(
            "attempt-uncertain", "attempt=" + attempt.id + " reason=" + uncertain.reason());
        queryAttempt(attempt);
      }
    }
  }

  private void attemptFailed(AttemptEntry attempt, String reason) {
    TaskEntry task = attempt.task;
    RunnerEntry runner = attempt.runner;
    removeAttempt(attempt);
    if (task == null || task.state == TaskEntry.State.ENDED || attempt.cancelled) {
      return;
    }
    recordFailure(runner, task);
    task.failedOn.add(runner.id);
    if (!task.attempts.isEmpty()) {
      return;
    }
    if (task.job.isAtMostOnce()) {
      listener.taskFailed(task, ErrorKind.TASK_FAILED, reason);
    } else {
      retry(task, reason);
    }
  }

  /**
   * Records the failure of a task, and ejects the runner if it fails everything, unless too many
   * runners are ejected already.
   */
  private void recordFailure(RunnerEntry runner, TaskEntry task) {
    SubmissionKey key = task.job.request.key();
    if (!task.failedOn.isEmpty()) {
      // The task failed on another runner too, so the failures are attributed to the job.
      task.failedOn.forEach(
          id -> state.pool.find(id).ifPresent(other -> other.retractFailure(key)));
      return;
    }
    if (!state.recentSuccesses(task.job.rule).hasSucceededElsewhere(runner.id, state.now)) {
      return;
    }
    if (runner.recordFailure(key)
        && state.pool.mayEject(state.configuration.policy().maxEjectedShare(), state.now)) {
      runner.eject(state.now);
      state.logEvent("runner-ejected", "runner=" + runner.id + " until=" + runner.ejectedUntil);
    }
  }

  private void attemptRejected(AttemptEntry attempt, String reason) {
    final TaskEntry task = attempt.task;
    final RunnerEntry runner = attempt.runner;
    removeAttempt(attempt);
    boolean busy = reason.equals("busy");
    runner.recordRejection(state.now, busy ? BUSY_PAUSE_MILLIS : REJECTION_PAUSE_MILLIS);
    state.logEvent("attempt-rejected", "attempt=" + attempt.id + " reason=" + reason);
    if (task == null || task.state == TaskEntry.State.ENDED || !task.attempts.isEmpty()) {
      return;
    }
    if (task.attemptsMade >= MAX_ATTEMPTS_PER_TASK) {
      listener.taskFailed(task, ErrorKind.TASK_FAILED, "refused by every runner: " + reason);
    } else {
      enqueue(task);
    }
  }

  /** Retries the task if its rule and its caller's retry budget allow it. */
  private void retry(TaskEntry task, String reason) {
    boolean allowed = task.retriesMade < task.job.rule.retries();
    if (allowed && retryBudget(task).tryWithdraw()) {
      task.retriesMade++;
      state.logEvent("task-retried", "job=" + task.job.request.key() + " task=" + task.index);
      enqueue(task);
    } else {
      listener.taskFailed(task, ErrorKind.TASK_FAILED, reason);
    }
  }

  /**
   * Starts a second attempt of a straggler.
   *
   * <p>Only idempotent tasks are hedged, only on a slot that no task waits for, only beyond a
   * measured quantile, and within a budget, so that hedging can't add load when everything is slow.
   */
  private void hedge(AttemptEntry attempt) {
    TaskEntry task = attempt.task;
    if (task == null || !task.job.rule.hedgingEnabled() || task.attempts.size() != 1) {
      return;
    }
    RunTimeEstimator runTime = state.runTime(task.job.rule);
    double threshold = HEDGE_THRESHOLD_FACTOR * runTime.quantileMillis(HEDGE_QUANTILE);
    if (!runTime.hasEnoughSamples()
        || state.now - attempt.startedAt < threshold
        || queue(task.job.rule).size() > 0) {
      return;
    }
    RunnerEntry other = state.pool.select(task, attempt.runner, state.now);
    if (other != null && hedgeBudget.tryWithdraw()) {
      state.logEvent("task-hedged", "attempt=" + attempt.id + " runner=" + other.id);
      startAttempt(task, other);
    }
  }

  private void queryAttempt(AttemptEntry attempt) {
    attempt.queryPending = true;
    RunnerEntry runner = attempt.runner;
    state.emit(
        new DispatchEffect.QueryAttempt(runner.id, runner.address(), state.epoch, attempt.id, 0));
  }

  private void scheduleQuery(AttemptEntry attempt, long intervalMillis) {
    attempt.queryIntervalMillis =
        Math.min(MAX_QUERY_INTERVAL_MILLIS, Math.max(QUERY_INTERVAL_MILLIS / 4, intervalMillis));
    attempt.nextQueryAt = state.now + attempt.queryIntervalMillis;
  }

  private long firstQueryDelayMillis(JobRule rule) {
    RunTimeEstimator runTime = state.runTime(rule);
    double usualMillis =
        runTime.hasEnoughSamples() ? runTime.quantileMillis(0.99) : rule.runTimeMillis();
    return Math.max(QUERY_INTERVAL_MILLIS, Math.round(2 * usualMillis));
  }

  private void cancelAttempt(AttemptEntry attempt) {
    attempt.cancelled = true;
    attempt.task = null;
    cancellations.computeIfAbsent(attempt.runner, runner -> new ArrayList<>()).add(attempt.id);
  }

  private void removeAttempt(AttemptEntry attempt) {
    attempt.runner.attempts.remove(attempt.id);
    runningByService.merge(attempt.service, -1, Integer::sum);
    if (attempt.task != null) {
      attempt.task.attempts.remove(attempt);
    }
  }

  private void releaseQuota(TaskEntry task) {
    String caller = task.job.request.key().caller();
    tasksByCaller.computeIfPresent(caller, (name, held) -> held > 1 ? held - 1 : null);
  }

  private boolean isBelowConcurrencyLimit(String service) {
    ServiceRule rule = state.configuration.services().get(service);
    return rule == null || runningByService.getOrDefault(service, 0) < rule.concurrency();
  }

  private RatioBudget retryBudget(TaskEntry task) {
    return retryBudgets.computeIfAbsent(
        task.job.request.key().caller(),
        caller -> new RatioBudget(state.configuration.policy().retryBudget()));
  }

  private int weight(TaskEntry task) {
    return state
        .configuration
        .caller(task.job.request.key().caller())
        .map(CallerRule::weight)
        .orElse(1);
  }

  /**
   * Identifies a queue: jobs with the same service and labels are served by the same runners and
   * share a queue.
   */
  private record QueueKey(String service, List<String> labels) {

    static QueueKey of(JobRule rule) {
      return new QueueKey(rule.service(), rule.labels());
    }
  }
}
