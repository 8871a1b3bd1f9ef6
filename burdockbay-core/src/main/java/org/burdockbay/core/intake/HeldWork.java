package org.burdockbay.core.intake;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardMap;
import org.burdockbay.core.work.WorkRequest;

/**
 * Decides which work an entry host holds while dispatchers are about to come, and in which order
 * and at which rate it is released.
 *
 * <p>After a restart of all hosts, the dispatchers of the shards appear over a second. If the first
 * of them received all work that has waited, it would refuse most of it. Until all shards of the
 * own failure domain have had a dispatcher, each piece of work therefore waits for the one of these
 * shards that a hash of its id selects. A dispatcher that has just appeared is a cold process and
 * receives a bounded number of pieces of work until it has confirmed some of them.
 *
 * <p>Only work that was never submitted, or that was refused, is held. Takes effect in a fleet that
 * is divided into shards.
 */
final class HeldWork {

  /** Maximum number of unconfirmed pieces of work at a dispatcher that has just appeared. */
  static final int MAX_UNCONFIRMED = 16;

  /** Time for which a dispatcher counts as having just appeared, in milliseconds. */
  static final long COLD_DISPATCHER_MILLIS = 500;

  /**
   * Longest wait for the remaining shards of the own failure domain after the first dispatcher has
   * appeared, in milliseconds. The domain may have too few hosts for all of its shards.
   */
  static final long MAX_SHARD_WAIT_MILLIS = 1_000;

  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final long RETRY_HASH_SEED = 0x9E3779B97F4A7C15L;

  private final String self;
  private final boolean enabled;

  /** The shards of the own failure domain; empty while the fleet isn't known to be divided. */
  private ShardMap ownShards = ShardMap.of(Set.of());

  private Map<ShardId, IntakeEvent.Dispatcher> dispatchers = Map.of();
  private OptionalLong firstDispatcherAt = OptionalLong.empty();

  /** Whether all shards of the own failure domain have had a dispatcher. */
  private boolean ownShardsServed;

  private final Map<IntakeEvent.Dispatcher, ColdDispatcher> coldDispatchers = new HashMap<>();

  /** The ids of the work that is held. */
  private final Set<String> heldIds = new HashSet<>();

  HeldWork(String self, SchedulingOptions options) {
    this.self = self;
    this.enabled = options.stagedRecovery();
  }

  /**
   * Replaces the shards of the own failure domain.
   *
   * @param shards the shards; the whole fleet if it isn't divided
   */
  void updateOwnShards(Set<ShardId> shards) {
    ownShards = ShardMap.of(shards.contains(ShardId.WHOLE_FLEET) ? Set.of() : shards);
    updateServed();
  }

  /** Replaces the dispatchers; those that are new count as cold. */
  void updateDispatchers(Map<ShardId, IntakeEvent.Dispatcher> current, long now) {
    Set<IntakeEvent.Dispatcher> appeared = new HashSet<>(current.values());
    appeared.removeAll(dispatchers.values());
    appeared.forEach(dispatcher -> coldDispatchers.put(dispatcher, new ColdDispatcher(now)));
    coldDispatchers.keySet().retainAll(current.values());
    dispatchers = current;
    if (!current.isEmpty() && firstDispatcherAt.isEmpty()) {
      firstDispatcherAt = OptionalLong.of(now);
    }
    updateServed();
  }

  private void updateServed() {
    ownShardsServed |=
        !ownShards.shards().isEmpty() && dispatchers.keySet().containsAll(ownShards.shards());
  }

  /** Returns whether work is held and released by these rules. */
  boolean isInForce() {
    return enabled && !ownShards.shards().isEmpty();
  }

  /** Returns whether any work is held. */
  boolean isHolding() {
    return !heldIds.isEmpty();
  }

  /** Returns whether a piece of work is held. */
  boolean contains(PendingWork work) {
    return heldIds.contains(work.id);
  }

  /** Records that a piece of work is held, and returns whether it wasn't held before. */
  boolean add(PendingWork work) {
    return heldIds.add(work.id);
  }

  /**
   * Returns whether a piece of work has to wait for a shard of the own failure domain whose
   * dispatcher hasn't appeared yet.
   *
   * @param isOpen tests whether a shard may be selected once it has a dispatcher
   */
  boolean awaitsShard(PendingWork work, Predicate<ShardId> isOpen, long now) {
    if (!isInForce() || ownShardsServed || dispatchers.isEmpty() || !isUnsubmitted(work)) {
      return false;
    }
    if (now - firstDispatcherAt.orElse(now) >= MAX_SHARD_WAIT_MILLIS) {
      return false;
    }
    ShardId own = ownShards.preferenceOrder(work.id).getFirst();
    return isOpen.test(own) && !dispatchers.containsKey(own);
  }

  /**
   * Returns whether a piece of work can't be submitted now, because there is no dispatcher at all
   * or because the selected one is cold and hasn't confirmed enough work yet.
   *
   * @param target the dispatcher of the selected shard, if there is one
   */
  boolean mustWait(PendingWork work, Optional<IntakeEvent.Dispatcher> target, long now) {
    if (!isInForce() || !isUnsubmitted(work)) {
      return false;
    }
    return target
        .map(coldDispatchers::get)
        .map(cold -> cold.isFull(now))
        .orElse(dispatchers.isEmpty());
  }

  /**
   * Records the submission of a piece of work, and returns whether it was held before.
   *
   * @param target the dispatcher that receives the work
   */
  boolean release(PendingWork work, IntakeEvent.Dispatcher target, long now) {
    ColdDispatcher cold = coldDispatchers.get(target);
    if (isInForce()
        && cold != null
        && cold.isCold(now)
        && !work.submittedTo.equals(Optional.of(target))) {
      cold.unconfirmed.put(work.id, now);
    }
    return heldIds.remove(work.id);
  }

  /** Records an outcome of a piece of work, which confirms it. */
  void recordOutcome(String workId) {
    coldDispatchers.values().forEach(cold -> cold.unconfirmed.remove(workId));
  }

  /**
   * Records a heartbeat of a host, which confirms the work submitted before its last contact.
   *
   * @param lastContactAgeMillis time since that host last received a message of this one, as it
   *     reports; empty if it doesn't know
   */
  void recordHeartbeat(String host, OptionalLong lastContactAgeMillis, long now) {
    // Messages keep their order, so all work submitted before a received message has arrived.
    lastContactAgeMillis.ifPresent(
        age ->
            coldDispatchers.forEach(
                (dispatcher, cold) -> {
                  if (dispatcher.host().equals(host)) {
                    cold.unconfirmed.values().removeIf(submittedAt -> submittedAt <= now - age);
                  }
                }));
  }

  /** Records that the load of a host was reported; confirms work that this host dispatches. */
  void recordLoad(String host, long now) {
    if (host.equals(self)) {
      recordHeartbeat(self, OptionalLong.of(0), now);
    }
  }

  /** Discards the state of a piece of work that no caller waits for. */
  void forget(PendingWork work) {
    heldIds.remove(work.id);
    recordOutcome(work.id);
  }

  /**
   * Returns the work in the order in which it is submitted while some of it is held: work that can
   * be answered promptly first, then by priority, then by latest start.
   */
  List<PendingWork> inReleaseOrder(Collection<PendingWork> works, long now) {
    List<PendingWork> ordered = new ArrayList<>(works);
    if (isInForce() && isHolding()) {
      Map<PendingWork, Rank> ranks = new HashMap<>();
      ordered.forEach(work -> ranks.put(work, Rank.of(work, now)));
      ordered.sort(Comparator.comparing(ranks::get));
    }
    return ordered;
  }

  /** Returns whether a request can still end before its caller's timeout, by its estimate. */
  boolean canEndInTime(WorkRequest request, long ageMillis) {
    return ageMillis + request.criticalPathMillis() <= request.budgetMillis();
  }

  /**
   * Returns the time after which the caller of work that was never submitted may retry, in
   * milliseconds. It differs by the work's id, so that callers don't return together.
   */
  long retryAfterMillis(PendingWork work) {
    if (!contains(work)) {
      return RETRY_AFTER_MILLIS;
    }
    long hash = (work.id.hashCode() * RETRY_HASH_SEED) >>> Integer.SIZE;
    return RETRY_AFTER_MILLIS + hash % (RETRY_AFTER_MILLIS + 1);
  }

  /** Returns whether no dispatcher has the work, and none has had it without refusing it. */
  private static boolean isUnsubmitted(PendingWork work) {
    return work.submittedTo.isEmpty() && !work.mayHaveRun && work.refusedBy.isEmpty();
  }

  /** A dispatcher, and what it may have received since it appeared. */
  private static final class ColdDispatcher {

    private final long appearedAt;

    /** The times of submission of the unconfirmed work, by its id. */
    private final Map<String, Long> unconfirmed = new HashMap<>();

    ColdDispatcher(long appearedAt) {
      this.appearedAt = appearedAt;
    }

    boolean isCold(long now) {
      return now - appearedAt < COLD_DISPATCHER_MILLIS;
    }

    boolean isFull(long now) {
      return isCold(now) && unconfirmed.size() >= MAX_UNCONFIRMED;
    }
  }

  /** The position of work in the order of release. */
  private record Rank(boolean late, int priority, long latestStartAt) implements Comparable<Rank> {

    private static final Comparator<Rank> ORDER =
        Comparator.comparing(Rank::late)
            .thenComparingInt(Rank::priority)
            .thenComparingLong(Rank::latestStartAt);

    /** Returns the rank by the caller that has waited longest; work without callers comes last. */
    static Rank of(PendingWork work, long now) {
      if (work.callers.isEmpty()) {
        return new Rank(true, Integer.MAX_VALUE, Long.MAX_VALUE);
      }
      PendingWork.Caller first = work.callers.values().iterator().next();
      WorkRequest request = first.request;
      long criticalPathMillis = request.criticalPathMillis();
      long slackMillis =
          request.targetMillis()
              + Math.round(request.stretch() * criticalPathMillis)
              - criticalPathMillis;
      long latestStartAt = first.arrivedAt + slackMillis;
      return new Rank(now > latestStartAt, request.priority(), latestStartAt);
    }

    @Override
    public int compareTo(Rank other) {
      return ORDER.compare(this, other);
    }
  }
}
