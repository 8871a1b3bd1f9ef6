package org.burdockbay.core.work;

/** The one final answer to a {@link WorkRequest}. */
public sealed interface WorkOutcome {

  /** Every task has finished. */
  record Completed() implements WorkOutcome {}

  /** A task has failed as often as its queue allows. */
  record Failed(String reason) implements WorkOutcome {}

  /**
   * No task has run, and none will.
   *
   * @param retryAfterMillis when the caller may come back, in milliseconds
   */
  record NotRun(String reason, long retryAfterMillis) implements WorkOutcome {}

  /** The work was given up, and a task of it may have run. */
  record GivenUp(String reason) implements WorkOutcome {}
}
