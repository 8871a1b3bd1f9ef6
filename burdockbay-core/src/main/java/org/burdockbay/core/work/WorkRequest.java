package org.burdockbay.core.work;

import java.util.List;
import org.burdockbay.core.catalog.QueueRule;

/**
 * A piece of work that a caller waits for, with the rules of its queue.
 *
 * @param id the caller's id; a request with the same id is the same piece of work
 * @param queue the queue that the work was submitted to
 * @param service the service whose upstreams run the tasks
 * @param payload the content that is passed to the upstreams
 * @param steps the steps; a step refers only to earlier ones
 * @param priority the queue's priority; 0 is the highest
 * @param maxAttempts number of failures of a task after which the work fails
 * @param stretch factor on the longest chain of estimated run times, up to which an answer counts
 *     as prompt
 * @param targetMillis time added to that product, in milliseconds
 * @param budgetMillis how long the caller waits, in milliseconds from the arrival
 * @param share the queue's weight among the queues that compete for scarce capacity; over 0
 */
public record WorkRequest(
    String id,
    String queue,
    String service,
    String payload,
    List<WorkStep> steps,
    int priority,
    int maxAttempts,
    double stretch,
    long targetMillis,
    long budgetMillis,
    double share) {

  /** Copies the list. */
  public WorkRequest {
    steps = List.copyOf(steps);
  }

  /** Creates a request of a queue with the usual share. */
  public WorkRequest(
      String id,
      String queue,
      String service,
      String payload,
      List<WorkStep> steps,
      int priority,
      int maxAttempts,
      double stretch,
      long targetMillis,
      long budgetMillis) {
    this(
        id,
        queue,
        service,
        payload,
        steps,
        priority,
        maxAttempts,
        stretch,
        targetMillis,
        budgetMillis,
        QueueRule.DEFAULT_SHARE);
  }

  /** Returns the longest chain of estimated run times, in milliseconds. */
  public long criticalPathMillis() {
    long[] ends = new long[steps.size()];
    long longest = 0;
    for (int step = 0; step < ends.length; step++) {
      WorkStep definition = steps.get(step);
      long start = 0;
      for (int predecessor : definition.predecessors()) {
        start = Math.max(start, ends[predecessor]);
      }
      ends[step] = start + definition.estimateMillis();
      longest = Math.max(longest, ends[step]);
    }
    return longest;
  }
}
