package org.burdockbay.core.work;

/** The final outcome of a {@link WorkRequest}; each request has exactly one. */
public sealed interface WorkOutcome {

  /** Every task has completed. */
  record Completed() implements WorkOutcome {}

  /** A task has failed as often as its queue allows. */
  record Failed(String reason) implements WorkOutcome {}

  /**
   * No task has run, and none will.
   *
   * @param retryAfterMillis interval after which the caller may retry, in milliseconds
   */
  record NotRun(String reason, long retryAfterMillis) implements WorkOutcome {}

  /** The work was abandoned, and one of its tasks may have run. */
  record GivenUp(String reason) implements WorkOutcome {}
}
