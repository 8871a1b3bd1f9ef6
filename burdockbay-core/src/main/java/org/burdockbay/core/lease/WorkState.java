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
  private final int[] undone;

  /** Run times of the tasks of each step that are done, in milliseconds, and their number. */
  private final long[] runMillis;

  private final int[] runs;
  private final long chainMillis;

  /** Until then no task starts, since an earlier dispatcher's runs may go on; milliseconds. */
  long quietUntil;

  /** Whether a start of one of its tasks was ever sent. */
  boolean offered;

  WorkState(WorkRequest request, long arrivedAt) {
    this.request = request;
    this.arrivedAt = arrivedAt;
    this.undone = new int[request.steps().size()];
    this.runMillis = new long[request.steps().size()];
    this.runs = new int[request.steps().size()];
    for (int step = 0; step < request.steps().size(); step++) {
      WorkStep content = request.steps().get(step);
      List<TaskState> tasks = new ArrayList<>();
      for (int index = 0; index < content.tasks(); index++) {
        tasks.add(new TaskState(this, new TaskId(request.id(), step, index), content));
      }
      steps.add(tasks);
      undone[step] = content.tasks();
    }
    this.chainMillis = chain();
  }

  /** Returns the longest chain of estimated run times, in milliseconds. */
  long chainMillis() {
    return chainMillis;
  }

  /** Returns until when the answer counts as prompt, by the caller's estimates. */
  long promptUntil() {
    return arrivedAt + request.targetMillis() + Math.round(request.stretch() * chainMillis);
  }

  /** Returns the latest time at which the first task can start for a prompt answer. */
  long latestStart() {
    return promptUntil() - chainMillis;
  }

  /** Returns when the caller leaves. */
  long expiresAt() {
    return arrivedAt + request.budgetMillis();
  }

  boolean ready(int step) {
    return request.steps().get(step).after().stream().allMatch(before -> undone[before] == 0);
  }

  void finished(TaskState task) {
    if (!task.done) {
      task.done = true;
      undone[task.id.step()]--;
    }
  }

  /** Notes how long a task of a step ran until it was done, in milliseconds. */
  void ran(int step, long millis) {
    runMillis[step] += millis;
    runs[step]++;
  }

  /** Returns how long the tasks of a step that are done ran on average; empty before any is. */
  OptionalDouble meanRunMillis(int step) {
    return runs[step] == 0
        ? OptionalDouble.empty()
        : OptionalDouble.of((double) runMillis[step] / runs[step]);
  }

  boolean complete() {
    for (int left : undone) {
      if (left > 0) {
        return false;
      }
    }
    return true;
  }

  private long chain() {
    long[] ends = new long[request.steps().size()];
    long longest = 0;
    for (int step = 0; step < ends.length; step++) {
      WorkStep content = request.steps().get(step);
      long start = 0;
      for (int before : content.after()) {
        start = Math.max(start, ends[before]);
      }
      ends[step] = start + content.estimateMillis();
      longest = Math.max(longest, ends[step]);
    }
    return longest;
  }
}
