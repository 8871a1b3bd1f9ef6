package org.burdockbay.core.lease;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.WorkRequest;

/** What happens to a {@link LeaseDispatcher}. */
public sealed interface LeaseEvent {

  /** This host dispatches from now on, with a token above all earlier ones. */
  record RoleGained(long token) implements LeaseEvent {}

  /** Another host dispatches from now on. */
  record RoleLost() implements LeaseEvent {}

  /**
   * The shard of this host, or the shards that divide the fleet, have changed.
   *
   * @param ownShard the shard that this host dispatches, or would
   * @param liveShards the shards that have a dispatcher
   */
  record ShardsChanged(ShardId ownShard, Set<ShardId> liveShards) implements LeaseEvent {

    /** Copies the set. */
    public ShardsChanged {
      liveShards = Set.copyOf(liveShards);
    }
  }

  /**
   * An entry host has work; it repeats this until it gets the outcome.
   *
   * @param token the token under which the entry host takes this host for the dispatcher
   * @param ticket the entry host's number for the request; the same in each repetition
   * @param ageMillis how long ago the caller's request arrived
   * @param quietPeriodMillis for how long no task may start, as an earlier dispatcher may still run
   *     some
   */
  record Submitted(
      String entryHost,
      long token,
      long ticket,
      WorkRequest request,
      long ageMillis,
      long quietPeriodMillis)
      implements LeaseEvent {}

  /**
   * An entry host's caller no longer waits.
   *
   * @param token the token under which the entry host takes this host for the dispatcher
   */
  record Cancelled(String entryHost, long token, String workId) implements LeaseEvent {}

  /** A heartbeat of an entry host arrived. */
  record EntryHostMessageReceived(String entryHost) implements LeaseEvent {}

  /** An entry host is lost, so its callers' connections are too. */
  record EntryHostLost(String entryHost) implements LeaseEvent {}

  /** An upstream announced itself. */
  record Announced(UpstreamAnnouncement announcement) implements LeaseEvent {}

  /** An upstream has left, or wasn't heard of for long. */
  record Departed(UpstreamAnnouncement announcement) implements LeaseEvent {}

  /** A start was answered. */
  record StartAnswered(
      UpstreamAnnouncement upstream, RunId run, OrderResult result, OptionalLong clockMillis)
      implements LeaseEvent {}

  /** A stop was answered. */
  record StopAnswered(
      UpstreamAnnouncement upstream, RunId run, OrderResult result, OptionalLong clockMillis)
      implements LeaseEvent {}

  /** A renewal was answered; the lists are empty unless the result is {@link OrderResult#DONE}. */
  record RenewalAnswered(
      UpstreamAnnouncement upstream,
      long renewalNumber,
      OrderResult result,
      OptionalLong clockMillis,
      List<RunId> running,
      List<RunEnd> ended)
      implements LeaseEvent {

    /** Copies the lists. */
    public RenewalAnswered {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }
  }

  /** The machine was suspended, which its steady clock doesn't show. */
  record ProcessPaused(long pausedMillis) implements LeaseEvent {}

  /** Time passes; at least every 100 ms. */
  record Tick() implements LeaseEvent {}
}
