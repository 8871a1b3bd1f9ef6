package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/** The state of a piece of work that isn't answered yet. */
final class WorkState {

  final WorkRequest request;
  final long arrivedAt;

  /** The estimated memory that the work takes, in bytes. */
  final long bytes;

  /** The failure domain whose entry host accepted the work, or that entry host if not known. */
  String origin = "";

  /** The entry hosts that wait for the outcome, with their numbers for the request. */
  final Map<String, Long> tickets = new LinkedHashMap<>();

  final List<List<TaskState>> steps = new ArrayList<>();
  private final int[] unfinishedTasks;

  /**
   * Total run time of the finished tasks of each step, in milliseconds; {@link #finishedRuns}
   * counts them.
   */
  private final long[] totalRunMillis;

  private final int[] finishedRuns;
  private final long criticalPathMillis;

  /**
   * End of the quiet period, before which no task starts because runs of an earlier dispatcher may
   * go on, in milliseconds.
   */
  long quietPeriodEndsAt;

  /**
   * Whether one of its tasks may have started: a start was sent, or an earlier dispatcher may have
   * run it.
   */
  boolean mayHaveStarted;

  /** Whether it was decided, once its registration was confirmed, that the work is accepted. */
  boolean admitted;

  /** How long the submission waited on this host, in milliseconds. */
  long waitedMillis;

  WorkState(WorkRequest request, long arrivedAt, long bytes) {
    this.request = request;
    this.arrivedAt = arrivedAt;
    this.bytes = bytes;
    this.unfinishedTasks = new int[request.steps().size()];
    this.totalRunMillis = new long[request.steps().size()];
    this.finishedRuns = new int[request.steps().size()];
    for (int step = 0; step < request.steps().size(); step++) {
      WorkStep definition = request.steps().get(step);
      List<TaskState> tasks = new ArrayList<>();
      for (int index = 0; index < definition.taskCount(); index++) {
        tasks.add(new TaskState(this, new TaskId(request.id(), step, index), definition));
      }
      steps.add(tasks);
      unfinishedTasks[step] = definition.taskCount();
    }
    this.criticalPathMillis = request.criticalPathMillis();
  }

  /** Returns the longest chain of estimated run times, in milliseconds. */
  long criticalPathMillis() {
    return criticalPathMillis;
  }

  /** Returns the deadline for a prompt answer by the caller's estimates, in milliseconds. */
  long promptAnswerDeadline() {
    return arrivedAt + request.targetMillis() + Math.round(request.stretch() * criticalPathMillis);
  }

  /**
   * Returns the latest time at which the first task can start for a prompt answer, in milliseconds.
   */
  long latestStartAt() {
    return promptAnswerDeadline() - criticalPathMillis;
  }

  /** Returns when the caller's timeout ends, in milliseconds. */
  long expiresAt() {
    return arrivedAt + request.budgetMillis();
  }

  boolean isReady(int step) {
    return request.steps().get(step).predecessors().stream()
        .allMatch(predecessor -> unfinishedTasks[predecessor] == 0);
  }

  void markFinished(TaskState task) {
    if (!task.done) {
      task.done = true;
      unfinishedTasks[task.id.step()]--;
    }
  }

  /** Records how long a finished task of a step ran, in milliseconds. */
  void recordRunTime(int step, long millis) {
    totalRunMillis[step] += millis;
    finishedRuns[step]++;
  }

  /**
   * Returns the mean run time of the finished tasks of a step, in milliseconds; empty if there are
   * none.
   */
  OptionalDouble meanRunMillis(int step) {
    return finishedRuns[step] == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of((double) totalRunMillis[step] / finishedRuns[step]);
  }

  boolean isComplete() {
    for (int remaining : unfinishedTasks) {
      if (remaining > 0) {
        return false;
      }
    }
    return true;
  }
}
