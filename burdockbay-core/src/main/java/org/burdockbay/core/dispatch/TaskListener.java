package org.burdockbay.core.dispatch;

import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.submission.AttemptId;

/** Told by the {@link TaskScheduler} how tasks end. */
interface TaskListener {

  /** A task answered. */
  void taskSucceeded(TaskEntry task, String answer);

  /** A task failed for good. */
  void taskFailed(TaskEntry task, ErrorKind kind, String detail);

  /** An attempt of an earlier dispatcher, which no task has taken over yet, ended. */
  void orphanEnded(AttemptId attempt, AttemptOutcome outcome);

  /** A runner refused this dispatcher's epoch. */
  void epochSuperseded(long higherEpoch);
}
