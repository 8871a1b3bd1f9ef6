package org.burdockbay.core.dispatch;

import java.util.Optional;
import org.burdockbay.core.configuration.CallerRule;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.configuration.ServiceRule;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;

/**
 * Decides whether a job is admitted or refused immediately.
 *
 * <p>The predicted wait is based on measured run times and on the caller's fair share, so a caller
 * that floods the queue is refused because of its own backlog, which adds only a fair share to the
 * predicted wait of the other callers in its priority class. The queue limit of a service applies
 * to the queue as a whole.
 */
final class AdmissionPolicy {

  private static final long MIN_RETRY_AFTER_MILLIS = 200;
  private static final long EVACUATED_RETRY_AFTER_MILLIS = 1_000;
  private static final long MAX_RETRY_AFTER_MILLIS = 60_000;
  private static final int JITTER_STEPS = 1000;

  private final DispatchState state;
  private final TaskScheduler scheduler;

  AdmissionPolicy(DispatchState state, TaskScheduler scheduler) {
    this.state = state;
    this.scheduler = scheduler;
  }

  /** Returns the refusal of the job, or empty if it is admitted. */
  Optional<JobOutcome.Failed> refusal(JobRequest request, JobRule rule) {
    int tasks = request.tasks().size();
    CallerRule caller = state.configuration.caller(request.key().caller()).orElse(null);
    if (caller == null || !caller.services().contains(rule.service())) {
      return refuse(ErrorKind.FORBIDDEN, "the caller may not use service " + rule.service(), 0);
    }
    if (tasks == 0 || tasks > rule.maxTasks()) {
      String detail = tasks + " tasks; job " + rule.name() + " takes 1 to " + rule.maxTasks();
      return refuse(ErrorKind.TOO_LARGE, detail, 0);
    }
    if (tasks > caller.quota()) {
      return refuse(ErrorKind.IMPOSSIBLE, tasks + " tasks are over the caller's whole quota", 0);
    }
    if (!state.pool.isServable(rule)) {
      return refuseUnservable(rule);
    }
    int usedQuota = scheduler.tasksOf(caller.name());
    if (usedQuota + tasks > caller.quota()) {
      long waitMillis = predictedWaitMillis(request, rule, caller.weight());
      String detail = usedQuota + " of " + caller.quota() + " tasks of the quota are in use";
      return refuse(ErrorKind.QUOTA_EXCEEDED, detail, retryAfterMillis(request, waitMillis));
    }
    return checkOverload(request, rule, caller);
  }

  /** Returns the predicted wait before the last task of the job starts, in milliseconds. */
  long predictedWaitMillis(JobRequest request, JobRule rule, int weight) {
    int slots = Math.max(1, state.pool.availableSlots(rule, state.now));
    double queuedWorkMillis =
        scheduler.queue(rule).workAheadMillis(request.key().caller(), weight, rule.priority());
    int tasksBeyondFreeSlots = request.tasks().size() - scheduler.spareSlots(rule);
    double ownWorkMillis = Math.max(0, tasksBeyondFreeSlots) * state.runTime(rule).expectedMillis();
    return Math.round((queuedWorkMillis + ownWorkMillis) / slots);
  }

  private Optional<JobOutcome.Failed> checkOverload(
      JobRequest request, JobRule rule, CallerRule caller) {
    ServiceRule service = state.configuration.services().get(rule.service());
    long waitMillis = predictedWaitMillis(request, rule, caller.weight());
    if (service != null
        && scheduler.queue(rule).size() + request.tasks().size() > service.queueLimit()) {
      String detail = "the queue of service " + rule.service() + " is full";
      return refuse(ErrorKind.OVERLOADED, detail, retryAfterMillis(request, waitMillis));
    }
    double runMillis = state.runTime(rule).expectedMillis();
    if (waitMillis + runMillis > request.remainingMillis()) {
      long predictedMillis = Math.round(waitMillis + runMillis);
      String detail = "the answer is predicted in " + predictedMillis + " ms, after the deadline";
      long excessMillis = Math.round(waitMillis + runMillis - request.remainingMillis());
      return refuse(ErrorKind.OVERLOADED, detail, retryAfterMillis(request, excessMillis));
    }
    return Optional.empty();
  }

  private Optional<JobOutcome.Failed> refuseUnservable(JobRule rule) {
    if (state.isEvacuated()) {
      String detail = "failure domain " + state.domain + " is evacuated";
      return refuse(ErrorKind.OVERLOADED, detail, EVACUATED_RETRY_AFTER_MILLIS);
    }
    // Where other runners exist, a matching one is not expected before the deadline. A domain
    // without any runner may be starting or partitioned from its runners.
    if (state.pool.runners().isEmpty()) {
      return refuse(ErrorKind.OVERLOADED, "no runner is announced", MIN_RETRY_AFTER_MILLIS * 5);
    }
    String detail = "no runner offers service " + rule.service() + " with labels " + rule.labels();
    return refuse(ErrorKind.IMPOSSIBLE, detail, 0);
  }

  /**
   * Returns the delay before a retry, in milliseconds: the time until the excess has drained, plus
   * a jitter of up to half of it, so that refused callers don't all retry at the same time.
   */
  private static long retryAfterMillis(JobRequest request, long excessMillis) {
    long base = Math.max(MIN_RETRY_AFTER_MILLIS, excessMillis);
    long jitter = base * Math.floorMod(request.key().hashCode(), JITTER_STEPS) / (2 * JITTER_STEPS);
    return Math.min(MAX_RETRY_AFTER_MILLIS, base + jitter);
  }

  private static Optional<JobOutcome.Failed> refuse(
      ErrorKind kind, String detail, long retryAfterMillis) {
    return Optional.of(new JobOutcome.Failed(kind, detail, retryAfterMillis));
  }
}
