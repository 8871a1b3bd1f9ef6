package org.burdockbay.core.runner;

/** The status of an attempt, as its runner reports it over a new connection. */
public sealed interface AttemptStatus {

  /** The attempt is running. */
  record Running() implements AttemptStatus {}

  /** The attempt ended; the outcome is either a success or a failure. */
  record Finished(AttemptOutcome outcome) implements AttemptStatus {}

  /** The runner has not received the attempt and from now on refuses to start it. */
  record NeverBegan() implements AttemptStatus {}

  /** The runner could not be reached. */
  record Unreachable(String reason) implements AttemptStatus {}
}
