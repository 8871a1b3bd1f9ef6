package org.burdockbay.core.intake;

import java.util.Map;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/** What happens to a {@link WorkIntake}. */
public sealed interface IntakeEvent {

  /** A caller submits work; {@code ticket} names its connection. */
  record RequestReceived(long ticket, WorkRequest request) implements IntakeEvent {}

  /** A caller has closed its connection. */
  record CallerDisconnected(long ticket) implements IntakeEvent {}

  /**
   * A dispatcher tells an outcome.
   *
   * @param from the dispatcher's host
   */
  record OutcomeReported(String from, String workId, WorkOutcome outcome) implements IntakeEvent {}

  /**
   * Who dispatches has changed.
   *
   * @param dispatchers the host and token of each shard that has a dispatcher
   */
  record DispatchersChanged(Map<ShardId, Dispatcher> dispatchers) implements IntakeEvent {

    /** Copies the map. */
    public DispatchersChanged {
      dispatchers = Map.copyOf(dispatchers);
    }
  }

  /** A host has told how much room the upstreams of its shard have. */
  record LoadReported(String host, DomainLoad load) implements IntakeEvent {}

  /** The connection to a host is new, so messages on the earlier one may be lost. */
  record PeerReconnected(String host) implements IntakeEvent {}

  /** A message of a host arrived, which may dispatch. */
  record DispatcherMessageReceived(String host) implements IntakeEvent {}

  /** Time passes. */
  record Tick() implements IntakeEvent {}

  /** A host with the token under which it dispatches. */
  record Dispatcher(String host, long token) {}
}
