package org.burdockbay.core.lease;

import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamNotice;
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
   * @param own the shard that this host dispatches, or would
   * @param live the shards that have a dispatcher
   */
  record ScopeChanged(ShardId own, Set<ShardId> live) implements LeaseEvent {

    /** Copies the set. */
    public ScopeChanged {
      live = Set.copyOf(live);
    }
  }

  /**
   * An entry host has work; it repeats this until it gets the outcome.
   *
   * @param token the token under which the entry host takes this host for the dispatcher
   * @param ticket the entry host's number for the request; the same in each repetition
   * @param ageMillis how long ago the caller's request arrived
   * @param quietMillis for how long no task may start, as an earlier dispatcher may still run some
   */
  record Submitted(
      String entryHost,
      long token,
      long ticket,
      WorkRequest request,
      long ageMillis,
      long quietMillis)
      implements LeaseEvent {}

  /**
   * An entry host's caller no longer waits.
   *
   * @param token the token under which the entry host takes this host for the dispatcher
   */
  record Cancelled(String entryHost, long token, String workId) implements LeaseEvent {}

  /** A heartbeat of an entry host arrived. */
  record EntryHeard(String entryHost) implements LeaseEvent {}

  /** An entry host is lost, so its callers' connections are too. */
  record EntryLost(String entryHost) implements LeaseEvent {}

  /** An upstream announced itself. */
  record Announced(UpstreamNotice notice) implements LeaseEvent {}

  /** An upstream has left, or wasn't heard of for long. */
  record Departed(UpstreamNotice notice) implements LeaseEvent {}

  /** A start was answered. */
  record StartAnswered(
      UpstreamNotice upstream, RunId run, OrderResult result, OptionalLong clockMillis)
      implements LeaseEvent {}

  /** A stop was answered. */
  record StopAnswered(
      UpstreamNotice upstream, RunId run, OrderResult result, OptionalLong clockMillis)
      implements LeaseEvent {}

  /** A renewal was answered; the lists are empty unless the result is {@link OrderResult#DONE}. */
  record RenewalAnswered(
      UpstreamNotice upstream,
      long renewal,
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
  record Stalled(long millis) implements LeaseEvent {}

  /** Time passes; at least every 100 ms. */
  record Tick() implements LeaseEvent {}
}
