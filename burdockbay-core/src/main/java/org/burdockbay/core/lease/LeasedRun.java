package org.burdockbay.core.lease;

import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;
import org.jspecify.annotations.Nullable;

/** A run that was ordered from an upstream and isn't known to be over. */
final class LeasedRun {

  /** The state of a run as far as this host knows it. */
  enum Phase {
    /** The start was sent and isn't answered yet. */
    STARTING,
    /**
     * The start wasn't answered in time; the upstream's next list of runs shows whether it was
     * carried out.
     */
    UNSURE,
    /** The run is under way. */
    RUNNING,
    /** The run is being stopped. */
    STOPPING
  }

  final RunId id;
  final TaskSize size;

  /** The instance at which the run is, or may be. */
  UpstreamLease upstream;

  /** Whether {@link #size} is the capacity that the run takes on its upstream. */
  final boolean hasKnownSize;

  final long beganAt;

  /** End of the lease that the start carries, on the upstream's clock, in milliseconds. */
  long leaseEndMillis;

  /** When the start was last sent, in milliseconds. */
  long lastStartSentAt;

  /** Whether the run has taken much longer than expected. */
  boolean overdue;

  /**
   * Number of copies of the start that were sent under this role; 0 for a run of an earlier
   * dispatcher.
   */
  int startsSent = 1;

  /** Number of copies of the start that were neither answered nor timed out. */
  int unansweredStarts = 1;

  /** Number of copies of the start without any answer, which may still be carried out late. */
  int lateStarts = 1;

  /**
   * Number of copies of the start that may have reached, or may yet reach, another instance than
   * the one that is known to have the run; 0 for a run of an earlier dispatcher.
   */
  int unattributedStarts = 1;

  Phase phase = Phase.STARTING;

  /** The task that gets the result; null once the result is no longer needed. */
  @Nullable TaskState task;

  /**
   * Sequence number ({@link DispatchContext#nextSequence}) of the upstream's confirmation of the
   * start or the stop; 0 until the confirmation arrives.
   */
  long confirmedSequence;

  /**
   * When the stop was last sent, in milliseconds; 0 before that, and once no answer is expected.
   */
  long lastStopSentAt;

  int stopsSent;

  LeasedRun(RunId id, UpstreamLease upstream, TaskState task, long sentAt) {
    this.id = id;
    this.upstream = upstream;
    this.task = task;
    this.size = task.step.size();
    this.hasKnownSize = true;
    this.beganAt = sentAt;
    this.lastStartSentAt = sentAt;
  }

  /** Creates an unclaimed run of an earlier dispatcher, whose size is unknown. */
  LeasedRun(RunId id, UpstreamLease upstream, long foundAt) {
    this.id = id;
    this.upstream = upstream;
    this.size = TaskSize.ZERO;
    this.hasKnownSize = false;
    this.beganAt = foundAt;
    this.lastStartSentAt = foundAt;
    this.startsSent = 0;
    this.unansweredStarts = 0;
    this.lateStarts = 0;
    this.unattributedStarts = 0;
  }

  /** Records that another copy of the start is sent. */
  void recordResent(long now) {
    lastStartSentAt = now;
    startsSent++;
    unansweredStarts++;
    lateStarts++;
    unattributedStarts++;
  }

  /**
   * Records an answer to a copy of the start.
   *
   * @param isAttributed whether it shows that the copy can't begin a run at an unknown instance
   */
  void recordStartAnswered(boolean isAttributed) {
    lateStarts = Math.max(0, lateStarts - 1);
    if (isAttributed) {
      unattributedStarts = Math.max(0, unattributedStarts - 1);
    }
  }

  /** Records that the present instance has the run, so that the only copy of its start is there. */
  void recordSeen() {
    if (startsSent == 1) {
      lateStarts = 0;
      unattributedStarts = 0;
    }
  }
}
