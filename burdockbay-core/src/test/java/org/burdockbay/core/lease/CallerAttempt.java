package org.burdockbay.core.lease;

import org.burdockbay.core.work.WorkRequest;

/** One attempt of a caller of a {@link LeaseModel}: its request on a connection to a host. */
final class CallerAttempt {

  final WorkRequest request;

  /** The number of earlier attempts with the same request. */
  final int earlierAttempts;

  /** Whether the request was sent again although its outcome had been answered. */
  final boolean isDuplicate;

  /** Whether the caller waits for the answer; otherwise an answer reaches nobody. */
  boolean isWaiting = true;

  /** Whether the host has noticed that the connection broke. */
  boolean isDisconnected;

  /** The ticket at the host; 0 until the host has handled the request. */
  long ticket;

  CallerAttempt(WorkRequest request) {
    this(request, 0, false);
  }

  private CallerAttempt(WorkRequest request, int earlierAttempts, boolean isDuplicate) {
    this.request = request;
    this.earlierAttempts = earlierAttempts;
    this.isDuplicate = isDuplicate;
  }

  String workId() {
    return request.id();
  }

  CallerAttempt next() {
    return new CallerAttempt(request, earlierAttempts + 1, isDuplicate);
  }

  CallerAttempt duplicate() {
    return new CallerAttempt(request, earlierAttempts + 1, true);
  }
}
