package org.burdockbay.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.burdockbay.core.shard.ShardId;

/** Tracks since when shards have been without a dispatcher. */
final class ShardVacancies {

  private final long graceMillis;
  private final long lostDomainGraceMillis;
  private final Map<ShardId, Long> vacantSince = new HashMap<>();
  private Set<ShardId> previouslyClaimed = Set.of();
  private boolean hasPending;

  /**
   * Creates the tracker of a fleet without vacant shards.
   *
   * @param graceMillis time for which a vacant shard keeps its upstreams, in milliseconds
   * @param lostDomainGraceMillis the same for shards of a failure domain without a live host, in
   *     milliseconds; their upstreams are then probably unreachable as well, or accept a dispatcher
   *     on the other side of a network partition
   */
  ShardVacancies(long graceMillis, long lostDomainGraceMillis) {
    this.graceMillis = graceMillis;
    this.lostDomainGraceMillis = lostDomainGraceMillis;
  }

  /**
   * Returns the shards that own upstreams, which are the claimed ones and those vacant for at most
   * the grace period.
   *
   * @param claimed shards with a dispatcher
   * @param awaited vacant shards that a host is about to claim
   * @param hasLiveHost tests whether a failure domain has a live host
   */
  Set<ShardId> liveShards(
      Set<ShardId> claimed, Set<ShardId> awaited, Predicate<String> hasLiveHost, long now) {
    previouslyClaimed.forEach(shard -> vacantSince.putIfAbsent(shard, now));
    awaited.forEach(shard -> vacantSince.putIfAbsent(shard, now));
    vacantSince.keySet().removeAll(claimed);
    previouslyClaimed = Set.copyOf(claimed);
    Set<ShardId> live = new HashSet<>(claimed);
    vacantSince.forEach(
        (shard, vacantAt) -> {
          long grace = hasLiveHost.test(shard.domain()) ? graceMillis : lostDomainGraceMillis;
          if (now - vacantAt <= grace) {
            live.add(shard);
          }
        });
    hasPending = live.size() > claimed.size();
    return live;
  }

  /** Returns whether the grace period of a vacant shard is still running. */
  boolean hasPending() {
    return hasPending;
  }

  /** Discards all vacancies; called when the layout changes. */
  void clear() {
    vacantSince.clear();
    previouslyClaimed = Set.of();
    hasPending = false;
  }
}
