package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.jspecify.annotations.Nullable;

/** A task of a job at the dispatcher. */
final class TaskEntry {

  /** The state of a task. */
  enum State {
    IDLE,
    QUEUED,
    RUNNING,
    ENDED
  }

  final JobEntry job;
  final int index;
  final List<AttemptEntry> attempts = new ArrayList<>(1);
  final Set<RunnerId> failedOn = new HashSet<>(2);
  State state = State.IDLE;
  long sequence;
  double expectedMillis;
  int attemptsMade;
  int retriesMade;
  @Nullable String answer;

  TaskEntry(JobEntry job, int index) {
    this.job = job;
    this.index = index;
  }

  AttemptId nextAttemptId() {
    attemptsMade++;
    return AttemptId.of(job.request, index, attemptsMade);
  }
}
