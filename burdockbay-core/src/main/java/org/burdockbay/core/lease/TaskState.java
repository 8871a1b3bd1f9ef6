package org.burdockbay.core.lease;

import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkStep;
import org.jspecify.annotations.Nullable;

/** The state of one task of a {@link WorkState}. */
final class TaskState {

  final WorkState work;
  final TaskId id;
  final WorkStep step;
  boolean done;
  int failures;

  /** How often the task was moved from an upstream on which it took too long. */
  int moves;

  /**
   * The run time of its finished run on an upstream of usual speed, in milliseconds; 0 if there is
   * none or it isn't known.
   */
  double usualRunMillis;

  long lastRunNumber;

  /** The run that is under way; null if there is none. */
  @Nullable LeasedRun run;

  /**
   * The id of the upstream on which the task last failed or was overdue; empty if there is none.
   */
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
