package org.burdockbay.core.shard;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeSet;

/**
 * Which host is first in line for which shard without a dispatcher.
 *
 * <p>Shards choose in their order, each the host of the highest weight among those that are left.
 * So a pair that goes, because its host has claimed its shard, changes none of the others, and all
 * shards are claimed in one round.
 */
public final class ShardAssignment {

  private ShardAssignment() {}

  /**
   * Returns the host for each shard; the last shards get none where there are too few hosts.
   *
   * @param vacant shards without a dispatcher, of one failure domain
   * @param free hosts of that domain that may take one
   */
  public static Map<ShardId, String> of(Collection<ShardId> vacant, Collection<String> free) {
    TreeSet<String> left = new TreeSet<>(free);
    Map<ShardId, String> match = new LinkedHashMap<>();
    for (ShardId shard : new TreeSet<>(vacant)) {
      left.stream()
          .max(Comparator.comparingLong(host -> RendezvousHash.weight(host, shard)))
          .ifPresent(
              host -> {
                left.remove(host);
                match.put(shard, host);
              });
    }
    return match;
  }
}
