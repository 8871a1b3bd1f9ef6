package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/** A piece of work that isn't answered yet. */
final class WorkState {

  final WorkRequest request;
  final long arrivedAt;

  /** The entry hosts that wait, with their numbers for the request. */
  final Map<String, Long> tickets = new LinkedHashMap<>();

  final List<List<TaskState>> steps = new ArrayList<>();
  private final int[] unfinishedTasks;

  /** Run times of the tasks of each step that are done, in milliseconds, and their number. */
  private final long[] totalRunMillis;

  private final int[] finishedRuns;
  private final long criticalPathMillis;

  /** Until then no task starts, since an earlier dispatcher's runs may go on; milliseconds. */
  long quietPeriodEndsAt;

  /** Whether a start of one of its tasks was ever sent. */
  boolean mayHaveStarted;

  WorkState(WorkRequest request, long arrivedAt) {
    this.request = request;
    this.arrivedAt = arrivedAt;
    this.unfinishedTasks = new int[request.steps().size()];
    this.totalRunMillis = new long[request.steps().size()];
    this.finishedRuns = new int[request.steps().size()];
    for (int step = 0; step < request.steps().size(); step++) {
      WorkStep content = request.steps().get(step);
      List<TaskState> tasks = new ArrayList<>();
      for (int index = 0; index < content.taskCount(); index++) {
        tasks.add(new TaskState(this, new TaskId(request.id(), step, index), content));
      }
      steps.add(tasks);
      unfinishedTasks[step] = content.taskCount();
    }
    this.criticalPathMillis = computeCriticalPath();
  }

  /** Returns the longest chain of estimated run times, in milliseconds. */
  long criticalPathMillis() {
    return criticalPathMillis;
  }

  /** Returns until when the answer counts as prompt, by the caller's estimates. */
  long promptAnswerDeadline() {
    return arrivedAt + request.targetMillis() + Math.round(request.stretch() * criticalPathMillis);
  }

  /** Returns the latest time at which the first task can start for a prompt answer. */
  long latestStartAt() {
    return promptAnswerDeadline() - criticalPathMillis;
  }

  /** Returns when the caller leaves. */
  long expiresAt() {
    return arrivedAt + request.budgetMillis();
  }

  boolean isReady(int step) {
    return request.steps().get(step).predecessors().stream()
        .allMatch(before -> unfinishedTasks[before] == 0);
  }

  void markFinished(TaskState task) {
    if (!task.done) {
      task.done = true;
      unfinishedTasks[task.id.step()]--;
    }
  }

  /** Notes how long a task of a step ran until it was done, in milliseconds. */
  void recordRunTime(int step, long millis) {
    totalRunMillis[step] += millis;
    finishedRuns[step]++;
  }

  /** Returns how long the tasks of a step that are done ran on average; empty before any is. */
  OptionalDouble meanRunMillis(int step) {
    return finishedRuns[step] == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of((double) totalRunMillis[step] / finishedRuns[step]);
  }

  boolean isComplete() {
    for (int left : unfinishedTasks) {
      if (left > 0) {
        return false;
      }
    }
    return true;
  }

  private long computeCriticalPath() {
    long[] ends = new long[request.steps().size()];
    long longest = 0;
    for (int step = 0; step < ends.length; step++) {
      WorkStep content = request.steps().get(step);
      long start = 0;
      for (int before : content.predecessors()) {
        start = Math.max(start, ends[before]);
      }
      ends[step] = start + content.estimateMillis();
      longest = Math.max(longest, ends[step]);
    }
    return longest;
  }
}
