package org.burdockbay.core.membership;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.burdockbay.core.shard.ShardId;

/** Since when shards have had no dispatcher. */
final class Vacancies {

  private final long graceMillis;
  private final long lostDomainMillis;
  private final Map<ShardId, Long> since = new HashMap<>();
  private Set<ShardId> claimedBefore = Set.of();
  private boolean pending;

  /**
   * Creates the account of a fleet without vacancies.
   *
   * @param graceMillis for how long a vacant shard keeps its upstreams, in milliseconds
   * @param lostDomainMillis the same where no host of its failure domain is heard; its upstreams
   *     are then most likely out of reach as well, or obey a dispatcher behind a partition
   */
  Vacancies(long graceMillis, long lostDomainMillis) {
    this.graceMillis = graceMillis;
    this.lostDomainMillis = lostDomainMillis;
  }

  /**
   * Returns the shards that own upstreams.
   *
   * @param claimed the shards with a dispatcher
   * @param awaited the shards for which a host is first in line
   * @param heard tells the failure domains with a live host
   */
  Set<ShardId> live(Set<ShardId> claimed, Set<ShardId> awaited, Predicate<String> heard, long now) {
    claimedBefore.forEach(shard -> since.putIfAbsent(shard, now));
    awaited.forEach(shard -> since.putIfAbsent(shard, now));
    since.keySet().removeAll(claimed);
    claimedBefore = Set.copyOf(claimed);
    Set<ShardId> live = new HashSet<>(claimed);
    since.forEach(
        (shard, at) -> {
          long grace = heard.test(shard.domain()) ? graceMillis : lostDomainMillis;
          if (now - at <= grace) {
            live.add(shard);
          }
        });
    pending = live.size() > claimed.size();
    return live;
  }

  /** Returns whether a vacant shard is still to be dropped. */
  boolean pending() {
    return pending;
  }

  /** Starts over, as the shards are others. */
  void clear() {
    since.clear();
    claimedBefore = Set.of();
    pending = false;
  }
}
