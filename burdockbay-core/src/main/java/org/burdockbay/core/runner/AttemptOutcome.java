package org.burdockbay.core.runner;

/** The outcome of a call that starts an attempt, as far as the dispatcher can determine. */
public sealed interface AttemptOutcome {

  /** The task ran and returned an answer. */
  record Succeeded(String answer) implements AttemptOutcome {}

  /** The task ran and failed. */
  record Failed(String reason) implements AttemptOutcome {}

  /** The attempt never started, and the runner won't start it under this id. */
  record Rejected(String reason) implements AttemptOutcome {}

  /** The runner rejected the call because it has accepted a higher epoch. */
  record Fenced(long epoch) implements AttemptOutcome {}

  /** No answer was received; the attempt may be running or finished, or may never have arrived. */
  record Uncertain(String reason) implements AttemptOutcome {}
}
