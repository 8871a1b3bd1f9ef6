package org.burdockbay.core.lease;

import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;
import org.jspecify.annotations.Nullable;

/** A run that an upstream was told to start and that isn't known to be over. */
final class LeasedRun {

  /** What is known of a run. */
  enum Phase {
    /** The start is on its way. */
    STARTING,
    /** The start wasn't answered; the next list of runs tells. */
    UNSURE,
    /** It runs. */
    RUNNING,
    /** It is being stopped. */
    STOPPING
  }

  final RunId id;
  final UpstreamLease upstream;
  final TaskSize size;
  final long beganAt;

  /** End of the lease that its start carries, on the upstream's clock, in milliseconds. */
  long leaseEndMillis;

  /** When the start was sent last, in milliseconds. */
  long lastStartSentAt;

  /** Whether it has taken much longer than expected. */
  boolean overdue;

  /** Starts that this role has sent; 0 for a run of an earlier dispatcher. */
  int startsSent = 1;

  /** Starts that were neither answered nor given up. */
  int unansweredStarts = 1;

  Phase phase = Phase.STARTING;

  /** The task that gets the result; null once nobody wants it any more. */
  @Nullable TaskState task;

  /**
   * Where the upstream's confirmation of the start or the stop stands in the order of {@link
   * DispatchContext#nextSequence}; 0 before it came.
   */
  long confirmedSequence;

  /** When the stop was sent last, in milliseconds; 0 before and once no answer is expected. */
  long lastStopSentAt;

  int stopsSent;

  LeasedRun(RunId id, UpstreamLease upstream, TaskState task, long sentAt) {
    this.id = id;
    this.upstream = upstream;
    this.task = task;
    this.size = task.step.size();
    this.beganAt = sentAt;
    this.lastStartSentAt = sentAt;
  }

  /** Creates a run of an earlier dispatcher that nobody has claimed; its size isn't known. */
  LeasedRun(RunId id, UpstreamLease upstream, long foundAt) {
    this.id = id;
    this.upstream = upstream;
    this.size = TaskSize.ZERO;
    this.beganAt = foundAt;
    this.lastStartSentAt = foundAt;
    this.startsSent = 0;
    this.unansweredStarts = 0;
  }
}
