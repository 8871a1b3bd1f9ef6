package org.burdockbay.core.dispatch;

import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.submission.AttemptId;

/** Receives the results of tasks from the {@link TaskScheduler}. */
interface TaskListener {

  /** Called when a task has succeeded. */
  void taskSucceeded(TaskEntry task, String answer);

  /** Called when a task has failed and won't be retried. */
  void taskFailed(TaskEntry task, ErrorKind kind, String detail);

  /** Called when an attempt of an earlier dispatcher ended that no task has taken over yet. */
  void orphanEnded(AttemptId attempt, AttemptOutcome outcome);

  /** Called when a runner rejected the epoch of this dispatcher. */
  void epochSuperseded(long higherEpoch);
}
