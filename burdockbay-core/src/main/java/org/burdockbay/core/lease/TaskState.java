package org.burdockbay.core.lease;

import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkStep;
import org.jspecify.annotations.Nullable;

/** One task of a {@link WorkState}. */
final class TaskState {

  final WorkState work;
  final TaskId id;
  final WorkStep step;
  boolean done;
  int failures;

  /** How often it was taken from an upstream on which it took too long. */
  int moves;

  long lastRunNumber;

  /** The run that is under way, if one is. */
  @Nullable LeasedRun run;

  /** The upstream on which the task failed or stood still last; empty if none. */
  String avoidedUpstream = "";

  TaskState(WorkState work, TaskId id, WorkStep step) {
    this.work = work;
    this.id = id;
    this.step = step;
  }

  boolean isWaiting() {
    return !done && run == null;
  }
}
