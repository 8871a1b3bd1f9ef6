package org.burdockbay.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.burdockbay.core.shard.ShardId;

/** Since when shards have had no dispatcher. */
final class ShardVacancies {

  private final long graceMillis;
  private final long lostDomainGraceMillis;
  private final Map<ShardId, Long> vacantSince = new HashMap<>();
  private Set<ShardId> previouslyClaimed = Set.of();
  private boolean hasPending;

  /**
   * Creates the account of a fleet without vacancies.
   *
   * @param graceMillis for how long a vacant shard keeps its upstreams, in milliseconds
   * @param lostDomainMillis the same where no host of its failure domain is heard; its upstreams
   *     are then most likely out of reach as well, or obey a dispatcher behind a partition
   */
  ShardVacancies(long graceMillis, long lostDomainMillis) {
    this.graceMillis = graceMillis;
    this.lostDomainGraceMillis = lostDomainMillis;
  }

  /**
   * Returns the shards that own upstreams.
   *
   * @param claimed the shards with a dispatcher
   * @param awaited the shards for which a host is first in line
   * @param heard tells the failure domains with a live host
   */
  Set<ShardId> liveShards(
      Set<ShardId> claimed, Set<ShardId> awaited, Predicate<String> heard, long now) {
    previouslyClaimed.forEach(shard -> vacantSince.putIfAbsent(shard, now));
    awaited.forEach(shard -> vacantSince.putIfAbsent(shard, now));
    vacantSince.keySet().removeAll(claimed);
    previouslyClaimed = Set.copyOf(claimed);
    Set<ShardId> live = new HashSet<>(claimed);
    vacantSince.forEach(
        (shard, at) -> {
          long grace = heard.test(shard.domain()) ? graceMillis : lostDomainGraceMillis;
          if (now - at <= grace) {
            live.add(shard);
          }
        });
    hasPending = live.size() > claimed.size();
    return live;
  }

  /** Returns whether a vacant shard is still to be dropped. */
  boolean hasPending() {
    return hasPending;
  }

  /** Starts over, as the shards are others. */
  void clear() {
    vacantSince.clear();
    previouslyClaimed = Set.of();
    hasPending = false;
  }
}
