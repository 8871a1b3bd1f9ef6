package org.burdockbay.core.limits;

import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/** Estimates of the memory that work takes on a host, in bytes. The estimates are rounded up. */
public final class WorkFootprint {

  /** Bytes of a task at its dispatcher: its id, its state, and its run once it has started. */
  static final long TASK_BYTES = 384;

  private static final long REQUEST_BYTES = 1_024;
  private static final long STEP_BYTES = 256;
  private static final long PREDECESSOR_BYTES = 24;
  private static final long BYTES_PER_CHAR = 2;

  private WorkFootprint() {}

  /** Returns the memory that a request takes at its entry host, whatever its number of tasks. */
  public static long ofRequest(WorkRequest request) {
    long bytes = REQUEST_BYTES + BYTES_PER_CHAR * request.payload().length();
    for (WorkStep step : request.steps()) {
      bytes += STEP_BYTES + PREDECESSOR_BYTES * step.predecessors().size();
      bytes += BYTES_PER_CHAR * step.requiredLabel().map(String::length).orElse(0);
      bytes += BYTES_PER_CHAR * step.nearRack().map(String::length).orElse(0);
    }
    return bytes;
  }

  /** Returns the memory that a request and all its tasks take at their dispatcher. */
  public static long ofDispatch(WorkRequest request) {
    return ofRequest(request) + TASK_BYTES * taskCount(request);
  }

  /** Returns the number of tasks of all steps together. */
  static long taskCount(WorkRequest request) {
    return request.steps().stream().mapToLong(WorkStep::taskCount).sum();
  }
}
