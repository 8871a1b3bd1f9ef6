package org.burdockbay.core.dispatch;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * A queue of waiting tasks, ordered by priority class, then by weighted fairness among callers,
 * then by deadline.
 *
 * <p>Fairness is start-time fair queueing (Goyal, Vin and Cheng 1996) with the expected run time as
 * the cost. A cancelled task stays in its heap and is skipped when it reaches the head, so a
 * cancellation takes constant time.
 */
final class FairQueue {

  private static final Comparator<TaskEntry> BY_DEADLINE =
      Comparator.comparingLong((TaskEntry task) -> task.job.deadlineAt)
          .thenComparingLong(task -> task.sequence);

  private final TreeMap<Integer, PriorityClass> classes = new TreeMap<>();
  private double queuedWorkMillis;
  private int size;

  void add(TaskEntry task, int weight) {
    task.state = TaskEntry.State.QUEUED;
    PriorityClass priorityClass =
        classes.computeIfAbsent(task.job.rule.priority(), priority -> new PriorityClass());
    priorityClass.add(task, weight);
    queuedWorkMillis += task.expectedMillis;
    size++;
  }

  /** Cancels a waiting task; its entry in the heap is skipped later. */
  void cancel(TaskEntry task) {
    if (task.state == TaskEntry.State.QUEUED) {
      task.state = TaskEntry.State.ENDED;
      recordRemoval(task);
    }
  }

  /** Returns the next task without removing it, or null if no task is waiting. */
  @Nullable TaskEntry peek() {
    for (PriorityClass priorityClass : classes.values()) {
      Flow flow = priorityClass.nextFlow();
      if (flow != null) {
        return flow.heap.peek();
      }
    }
    return null;
  }

  /** Removes the task that {@link #peek} returned. */
  void remove(TaskEntry task) {
    PriorityClass priorityClass = classes.get(task.job.rule.priority());
    if (priorityClass != null) {
      priorityClass.remove(task);
    }
    recordRemoval(task);
  }

  int size() {
    return size;
  }

  /**
   * Returns the work that is served before a new task of the caller, in milliseconds of one slot.
   */
  double workAheadMillis(String caller, int weight, int priority) {
    double higherClasses = 0.0;
    double ownClass = 0.0;
    for (Map.Entry<Integer, PriorityClass> entry : classes.headMap(priority, true).entrySet()) {
      if (entry.getKey() < priority) {
        higherClasses += entry.getValue().workMillis();
      } else {
        ownClass = entry.getValue().workAheadMillis(caller, weight);
      }
    }
    return higherClasses + ownClass;
  }

  double queuedWorkMillis() {
    return queuedWorkMillis;
  }

  private void recordRemoval(TaskEntry task) {
    queuedWorkMillis = Math.max(0.0, queuedWorkMillis - task.expectedMillis);
    size--;
    PriorityClass priorityClass = classes.get(task.job.rule.priority());
    if (priorityClass != null) {
      priorityClass.recordRemoval(task);
    }
  }

  /** The flows of the callers in one priority class. */
  private static final class PriorityClass {

    private final Map<String, Flow> flows = new HashMap<>();
    private double virtualTime;

    void add(TaskEntry task, int weight) {
      String caller = task.job.request.key().caller();
      Flow flow = flows.computeIfAbsent(caller, name -> new Flow());
      flow.weight = weight;
      if (flow.waiting == 0) {
        flow.startTag = Math.max(flow.startTag, virtualTime);
      }
      flow.heap.add(task);
      flow.waiting++;
      flow.workMillis += task.expectedMillis;
    }

    @Nullable Flow nextFlow() {
      Flow best = null;
      for (Flow flow : flows.values()) {
        flow.skipEnded();
        if (!flow.heap.isEmpty() && (best == null || flow.startTag < best.startTag)) {
          best = flow;
        }
      }
      return best;
    }

    void remove(TaskEntry task) {
      Flow flow = flows.get(task.job.request.key().caller());
      if (flow != null && flow.heap.remove(task)) {
        virtualTime = Math.max(virtualTime, flow.startTag);
        flow.startTag += task.expectedMillis / flow.weight;
      }
    }

    void recordRemoval(TaskEntry task) {
      Flow flow = flows.get(task.job.request.key().caller());
      if (flow != null) {
        flow.waiting--;
        flow.workMillis = Math.max(0.0, flow.workMillis - task.expectedMillis);
      }
    }

    double workMillis() {
      return flows.values().stream().mapToDouble(flow -> flow.workMillis).sum();
    }

    /**
     * Returns the work that is served before the caller's next task, in milliseconds of one slot:
     * the caller's own backlog, and from each other caller at most its fair share over the same
     * time.
     */
    double workAheadMillis(String caller, int weight) {
      Flow own = flows.get(caller);
      double ownWork = own == null ? 0.0 : own.workMillis;
      double ahead = ownWork;
      for (Map.Entry<String, Flow> entry : flows.entrySet()) {
        Flow flow = entry.getValue();
        if (!entry.getKey().equals(caller) && flow.waiting > 0) {
          double lead = own == null ? 0.0 : Math.max(0.0, own.startTag - flow.startTag);
          double share = (ownWork / weight + lead) * flow.weight;
          ahead += Math.min(flow.workMillis, share + flow.workMillis / flow.waiting);
        }
      }
      return ahead;
    }
  }

  /** The waiting tasks of one caller. */
  private static final class Flow {

    private final PriorityQueue<TaskEntry> heap = new PriorityQueue<>(BY_DEADLINE);
    private double startTag;
    private double workMillis;
    private int weight = 1;
    private int waiting;

    void skipEnded() {
      while (!heap.isEmpty() && heap.peek().state != TaskEntry.State.QUEUED) {
        heap.poll();
      }
    }
  }
}
