package org.burdockbay.core.intake;

import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/** An event that a {@link WorkIntake} handles. */
public sealed interface IntakeEvent {

  /**
   * A caller has submitted work.
   *
   * @param ticket identifies the connection of the caller
   */
  record RequestReceived(long ticket, WorkRequest request) implements IntakeEvent {}

  /** A caller has closed its connection. */
  record CallerDisconnected(long ticket) implements IntakeEvent {}

  /** A caller, not necessarily one that waits for the outcome, has cancelled work. */
  record CancelRequested(String workId) implements IntakeEvent {}

  /**
   * A dispatcher has reported the outcome of work.
   *
   * @param from the id of the dispatcher's host
   */
  record OutcomeReported(String from, String workId, WorkOutcome outcome) implements IntakeEvent {}

  /**
   * The set of dispatchers has changed.
   *
   * @param dispatchers the dispatcher of each shard that has one
   */
  record DispatchersChanged(Map<ShardId, Dispatcher> dispatchers) implements IntakeEvent {

    /** Copies the map. */
    public DispatchersChanged {
      dispatchers = Map.copyOf(dispatchers);
    }
  }

  /**
   * The division of this host's failure domain into shards may have changed.
   *
   * @param shards the shards of the domain, with or without a dispatcher; the whole fleet if it
   *     isn't divided
   */
  record OwnShardsChanged(Set<ShardId> shards) implements IntakeEvent {

    /** Copies the set. */
    public OwnShardsChanged {
      shards = Set.copyOf(shards);
    }
  }

  /**
   * The set of evacuated failure domains has changed.
   *
   * @param domains the domains whose shards start no tasks
   * @param complete whether these are all domains of the fleet
   */
  record EvacuationsChanged(Set<String> domains, boolean complete) implements IntakeEvent {

    /** Copies the set. */
    public EvacuationsChanged {
      domains = Set.copyOf(domains);
    }
  }

  /** A host has reported the free capacity of the upstreams of its shard. */
  record LoadReported(String host, DomainLoad load) implements IntakeEvent {}

  /** A new connection to a host was opened; messages on the previous one may be lost. */
  record PeerReconnected(String host) implements IntakeEvent {}

  /**
   * A message has arrived from a host, which may be a dispatcher.
   *
   * @param lastContactAgeMillis time since that host last received a message of this one, as it
   *     reports in its heartbeats; empty if it doesn't know, and for other messages
   */
  record DispatcherMessageReceived(String host, OptionalLong lastContactAgeMillis)
      implements IntakeEvent {

    /** Creates the event of a message that doesn't report the last contact. */
    public DispatcherMessageReceived(String host) {
      this(host, OptionalLong.empty());
    }
  }

  /** Triggers the periodic checks of timeouts. */
  record Tick() implements IntakeEvent {}

  /**
   * Identifies a dispatcher in one tenure of its role.
   *
   * @param host the id of its host
   * @param token the fencing token under which it dispatches
   */
  record Dispatcher(String host, long token) {

    /** Returns the host of each dispatcher. */
    static Map<ShardId, String> hosts(Map<ShardId, Dispatcher> dispatchers) {
      return dispatchers.entrySet().stream()
          .collect(Collectors.toMap(Map.Entry::getKey, entry -> entry.getValue().host()));
    }
  }
}
