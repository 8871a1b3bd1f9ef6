package org.burdockbay.core.shard;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Assigns hosts to the shards without a dispatcher, as the first candidates to claim them.
 *
 * <p>Each shard, in natural order, gets the host of the highest weight among the remaining ones.
 * Once a host has claimed its shard, the pair is removed, which changes none of the other pairs; so
 * all shards are claimed in one round.
 */
public final class ShardAssignment {

  private ShardAssignment() {}

  /**
   * Returns the host for each shard; if there are too few hosts, the last shards get none.
   *
   * @param vacant the shards of one failure domain that have no dispatcher
   * @param free the ids of the hosts of that domain that may claim a shard
   */
  public static Map<ShardId, String> of(Collection<ShardId> vacant, Collection<String> free) {
    TreeSet<String> remaining = new TreeSet<>(free);
    Map<ShardId, String> assignment = new LinkedHashMap<>();
    for (ShardId shard : new TreeSet<>(vacant)) {
      remaining.stream()
          .max(Comparator.comparingLong(host -> RendezvousHash.weight(host, shard)))
          .ifPresent(
              host -> {
                remaining.remove(host);
                assignment.put(shard, host);
              });
    }
    return assignment;
  }
}
