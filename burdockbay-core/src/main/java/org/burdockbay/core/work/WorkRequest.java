package org.burdockbay.core.work;

import java.util.List;

/**
 * A piece of work that a caller waits for, with the rules of its queue.
 *
 * @param id the caller's id; a request with the same id is the same piece of work
 * @param queue the queue that the work was submitted to
 * @param service the service whose upstreams run the tasks
 * @param payload what the upstreams get to see
 * @param steps the steps, in the order in which they may refer to each other
 * @param priority the queue's priority; 0 comes first
 * @param maxAttempts how often a task may fail
 * @param stretch how many times the longest chain of work an answer may take to count as prompt
 * @param targetMillis what is added to that, in milliseconds
 * @param budgetMillis how long the caller waits, in milliseconds from the arrival
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
    long budgetMillis) {

  /** Copies the list. */
  public WorkRequest {
    steps = List.copyOf(steps);
  }
}
