package org.burdockbay.core.dispatch;

import org.burdockbay.core.submission.AttemptId;
import org.jspecify.annotations.Nullable;

/** An attempt that occupies a slot of a runner, according to the dispatcher's records. */
final class AttemptEntry {

  final AttemptId id;
  final RunnerEntry runner;

  /** The task that waits for the attempt; null for an orphaned or cancelled attempt. */
  @Nullable TaskEntry task;

  /** The service whose concurrency the attempt counts against; empty for an orphaned attempt. */
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
