package org.burdockbay.core.shard;

import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Assigns hosts to the shards without a dispatcher, as the first candidates to claim them.
 *
 * <p>Each shard, in natural order, gets the host of the highest score among the remaining ones.
 * Once a host has claimed its shard, the pair is removed, which changes none of the other pairs; so
 * all shards are claimed in one round.
 *
 * <p>The score is that of weighted rendezvous hashing: the probability that a host gets a shard is
 * in proportion to the host's weight. If the weight of any host is unknown, weights aren't used, as
 * a host of an earlier release doesn't use them: hosts that disagree on the assignment would each
 * wait for another one to claim a shard.
 */
public final class ShardAssignment {

  /** The weight of a host that reports none, such as a host of an earlier release. */
  public static final int UNKNOWN_WEIGHT = 0;

  private ShardAssignment() {}

  /**
   * Returns the host for each shard; if there are too few hosts, the last shards get none.
   *
   * @param vacant the shards of one failure domain that have no dispatcher
   * @param weights the weights of the hosts of that domain that may claim a shard, by host id
   */
  public static Map<ShardId, String> of(Collection<ShardId> vacant, Map<String, Integer> weights) {
    TreeMap<String, Integer> remaining = new TreeMap<>(weights);
    Map<ShardId, String> assignment = new LinkedHashMap<>();
    for (ShardId shard : new TreeSet<>(vacant)) {
      remaining.keySet().stream()
          .max(byScore(shard, weights))
          .ifPresent(
              host -> {
                remaining.remove(host);
                assignment.put(shard, host);
              });
    }
    return assignment;
  }

  /** Orders hosts by score; without weights, the order is that of the hashes. */
  private static Comparator<String> byScore(ShardId shard, Map<String, Integer> weights) {
    Comparator<String> byHash =
        Comparator.comparingLong(host -> RendezvousHash.weight(host, shard));
    boolean isWeighted =
        !weights.containsValue(UNKNOWN_WEIGHT) && weights.values().stream().distinct().count() > 1;
    if (!isWeighted) {
      return byHash;
    }
    return Comparator.<String>comparingDouble(
            host -> RendezvousHash.weightedScore(host, shard, weights.get(host)))
        .thenComparing(byHash);
  }
}
