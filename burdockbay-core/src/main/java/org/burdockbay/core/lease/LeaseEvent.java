package org.burdockbay.core.lease;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.registration.ShardDispatcher;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.WorkRequest;

/** An event that a {@link LeaseDispatcher} handles. */
public sealed interface LeaseEvent {

  /** This host has become the dispatcher, with a token above all earlier ones. */
  record RoleGained(long token) implements LeaseEvent {}

  /** Another host has become the dispatcher. */
  record RoleLost() implements LeaseEvent {}

  /**
   * The shard of this host, or the set of shards that divide the fleet, has changed.
   *
   * @param ownShard the shard that this host dispatches, or would dispatch with the role
   * @param liveShards the shards that have a dispatcher
   */
  record ShardsChanged(ShardId ownShard, Set<ShardId> liveShards) implements LeaseEvent {

    /** Copies the set. */
    public ShardsChanged {
      liveShards = Set.copyOf(liveShards);
    }
  }

  /**
   * The dispatchers of the fleet, which are the registrars of work, have changed.
   *
   * @param dispatchers the dispatcher of each shard that has one
   */
  record DispatchersChanged(Map<ShardId, ShardDispatcher> dispatchers) implements LeaseEvent {

    /** Copies the map. */
    public DispatchersChanged {
      dispatchers = Map.copyOf(dispatchers);
    }
  }

  /**
   * A dispatcher registers work with this host as the registrar.
   *
   * @param registrarToken the token under which the dispatcher regards this host as the registrar
   * @param token the token of the dispatcher
   * @param underWay whether tasks of the work may have started there
   */
  record WorkRegistered(
      String dispatcher, long registrarToken, long token, String workId, boolean underWay)
      implements LeaseEvent {}

  /**
   * A registrar has confirmed that no other dispatcher has the work.
   *
   * @param token the token under which this host registered the work
   * @param quietPeriodMillis how long no task may start, as runs of an earlier dispatcher may go on
   */
  record RegistrationConfirmed(String registrar, long token, String workId, long quietPeriodMillis)
      implements LeaseEvent {}

  /**
   * A registrar has answered that another dispatcher has the work.
   *
   * @param token the token under which this host registered the work
   * @param holder the host of the dispatcher that has it; empty if not known yet
   */
  record RegistrationDeferred(String registrar, long token, String workId, String holder)
      implements LeaseEvent {}

  /** A dispatcher has removed the registration of work of which no run is left. */
  record WorkDeregistered(String dispatcher, long token, String workId) implements LeaseEvent {}

  /**
   * The set of evacuated failure domains has changed.
   *
   * @param domains the domains on whose upstreams no task may start
   */
  record EvacuationsChanged(Set<String> domains) implements LeaseEvent {

    /** Copies the set. */
    public EvacuationsChanged {
      domains = Set.copyOf(domains);
    }
  }

  /**
   * An entry host has submitted work; it repeats the submission until it gets the outcome.
   *
   * @param token the token under which the entry host regards this host as the dispatcher
   * @param ticket the entry host's number for the request; the same in each repetition
   * @param ageMillis time since the caller's request arrived
   * @param quietPeriodMillis how long no task may start, as runs of an earlier dispatcher may go on
   * @param origin the failure domain of the entry host; empty if not known
   */
  record Submitted(
      String entryHost,
      long token,
      long ticket,
      WorkRequest request,
      long ageMillis,
      long quietPeriodMillis,
      String origin)
      implements LeaseEvent {

    /** Creates the submission of an entry host whose failure domain isn't known. */
    public Submitted(
        String entryHost,
        long token,
        long ticket,
        WorkRequest request,
        long ageMillis,
        long quietPeriodMillis) {
      this(entryHost, token, ticket, request, ageMillis, quietPeriodMillis, "");
    }
  }

  /**
   * An entry host no longer waits for work that it submitted.
   *
   * @param token the token under which the entry host regards this host as the dispatcher
   */
  record Cancelled(String entryHost, long token, String workId) implements LeaseEvent {}

  /**
   * A heartbeat of an entry host has arrived.
   *
   * @param lastContactAgeMillis time since the entry host last received a message of this host, as
   *     it reports; empty if it doesn't know
   */
  record EntryHostMessageReceived(String entryHost, OptionalLong lastContactAgeMillis)
      implements LeaseEvent {

    /** Creates the event of a heartbeat that doesn't report the last contact. */
    public EntryHostMessageReceived(String entryHost) {
      this(entryHost, OptionalLong.empty());
    }
  }

  /** An entry host is considered lost, and with it its callers' connections. */
  record EntryHostLost(String entryHost) implements LeaseEvent {}

  /** An upstream has announced itself. */
  record Announced(UpstreamAnnouncement announcement) implements LeaseEvent {}

  /** An upstream has left, or no message of it has arrived for a long time. */
  record Departed(UpstreamAnnouncement announcement) implements LeaseEvent {}

  /**
   * An upstream has answered a start, or no answer arrived.
   *
   * @param upstream the instance to which the start was addressed
   * @param clockMillis the clock of the instance that answered, in milliseconds; empty if the
   *     answer doesn't contain it
   * @param startedAt when the instance that answered started, in milliseconds since the Unix epoch:
   *     another one than the addressed instance if the upstream has restarted under its id; empty
   *     if the answer doesn't contain it
   */
  record StartAnswered(
      UpstreamAnnouncement upstream,
      RunId run,
      OrderResult result,
      OptionalLong clockMillis,
      OptionalLong startedAt)
      implements LeaseEvent {

    /** Creates an answer that doesn't name the instance that answered. */
    public StartAnswered(
        UpstreamAnnouncement upstream, RunId run, OrderResult result, OptionalLong clockMillis) {
      this(upstream, run, result, clockMillis, OptionalLong.empty());
    }
  }

  /**
   * An upstream has answered a stop, or no answer arrived.
   *
   * @param upstream the instance to which the stop was addressed
   * @param clockMillis as in {@link StartAnswered}
   * @param startedAt as in {@link StartAnswered}
   */
  record StopAnswered(
      UpstreamAnnouncement upstream,
      RunId run,
      OrderResult result,
      OptionalLong clockMillis,
      OptionalLong startedAt)
      implements LeaseEvent {

    /** Creates an answer that doesn't name the instance that answered. */
    public StopAnswered(
        UpstreamAnnouncement upstream, RunId run, OrderResult result, OptionalLong clockMillis) {
      this(upstream, run, result, clockMillis, OptionalLong.empty());
    }
  }

  /**
   * An upstream has answered a renewal, or no answer arrived; the lists are empty unless the result
   * is {@link OrderResult#DONE}.
   *
   * @param upstream the instance to which the renewal was addressed
   * @param clockMillis as in {@link StartAnswered}
   * @param startedAt as in {@link StartAnswered}
   * @param running the runs that are under way on the upstream
   * @param ended the ends of runs that aren't acknowledged yet
   */
  record RenewalAnswered(
      UpstreamAnnouncement upstream,
      long renewalNumber,
      OrderResult result,
      OptionalLong clockMillis,
      OptionalLong startedAt,
      List<RunId> running,
      List<RunEnd> ended)
      implements LeaseEvent {

    /** Copies the lists. */
    public RenewalAnswered {
      running = List.copyOf(running);
      ended = List.copyOf(ended);
    }

    /** Creates an answer that doesn't name the instance that answered. */
    public RenewalAnswered(
        UpstreamAnnouncement upstream,
        long renewalNumber,
        OrderResult result,
        OptionalLong clockMillis,
        List<RunId> running,
        List<RunEnd> ended) {
      this(upstream, renewalNumber, result, clockMillis, OptionalLong.empty(), running, ended);
    }
  }

  /**
   * A dispatcher has reported the speeds of upstreams.
   *
   * @param speeds speeds by id of the upstream; 1 is usual
   */
  record SpeedsReported(Map<String, Double> speeds) implements LeaseEvent {

    /** Copies the map. */
    public SpeedsReported {
      speeds = Map.copyOf(speeds);
    }
  }

  /** The machine was suspended, which its monotonic clock doesn't show. */
  record ProcessPaused(long pausedMillis) implements LeaseEvent {}

  /** Time has passed; occurs at least every 100 ms. */
  record Tick() implements LeaseEvent {}
}
