package org.burdockbay.core.dispatch;

import org.burdockbay.core.submission.AttemptId;
import org.jspecify.annotations.Nullable;

/** An attempt that occupies a slot of a runner as far as the dispatcher knows. */
final class AttemptEntry {

  final AttemptId id;
  final RunnerEntry runner;

  /** The task that waits for the attempt; null where nobody does (an orphan or a loser). */
  @Nullable TaskEntry task;

  /** The service whose concurrency the attempt counts against; empty for an orphan. */
  String service = "";

  long startedAt;
  long nextQueryAt;
  long queryIntervalMillis;
  boolean queryPending;
  boolean cancelled;

  AttemptEntry(AttemptId id, RunnerEntry runner, @Nullable TaskEntry task, long startedAt) {
    this.id = id;
    this.runner = runner;
    this.task = task;
    this.startedAt = startedAt;
  }
}
