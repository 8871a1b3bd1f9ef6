package org.burdockbay.core.intake;

import java.util.Optional;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/** What happens to a {@link WorkIntake}. */
public sealed interface IntakeEvent {

  /** A caller submits work; {@code ticket} names its connection. */
  record Opened(long ticket, WorkRequest request) implements IntakeEvent {}

  /** A caller has closed its connection. */
  record Left(long ticket) implements IntakeEvent {}

  /** A dispatcher tells an outcome. */
  record Reported(String workId, WorkOutcome outcome) implements IntakeEvent {}

  /**
   * Who dispatches has changed.
   *
   * @param dispatcher the host and token; empty while nobody is known
   */
  record DispatcherChanged(Optional<Dispatcher> dispatcher) implements IntakeEvent {}

  /** The connection to a host is new, so messages on the earlier one may be lost. */
  record PeerReset(String host) implements IntakeEvent {}

  /** A message of the dispatcher's host arrived. */
  record DispatcherHeard(String host) implements IntakeEvent {}

  /** Time passes. */
  record Tick() implements IntakeEvent {}

  /** A host with the token under which it dispatches. */
  record Dispatcher(String host, long token) {}
}
