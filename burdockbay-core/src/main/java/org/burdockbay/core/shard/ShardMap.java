package org.burdockbay.core.shard;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Which shard owns which upstream, by rendezvous hashing.
 *
 * <p>An upstream belongs to a shard of its own failure domain. Where the domain has none, any other
 * one takes it. A shard that appears or goes moves only the upstreams that it gains or leaves.
 */
public final class ShardMap {

  private final List<ShardId> shards;

  private ShardMap(List<ShardId> shards) {
    this.shards = shards;
  }

  /** Returns the map of the given shards; the order in which they are given doesn't matter. */
  public static ShardMap of(Collection<ShardId> shards) {
    return new ShardMap(shards.stream().distinct().sorted().toList());
  }

  /** Returns the shards. */
  public List<ShardId> shards() {
    return shards;
  }

  /** Returns the shard that owns an upstream of a failure domain; empty if there are no shards. */
  public Optional<ShardId> owner(String upstream, String domain) {
    List<ShardId> near = shards.stream().filter(shard -> shard.domain().equals(domain)).toList();
    return withHighestWeight(upstream, near.isEmpty() ? shards : near);
  }

  /** Returns the shards in the order in which they are to be tried for a key, best first. */
  public List<ShardId> preferenceOrder(String key) {
    return shards.stream().sorted(byWeight(key).reversed()).toList();
  }

  private static Optional<ShardId> withHighestWeight(String key, List<ShardId> candidates) {
    return candidates.stream().max(byWeight(key));
  }

  private static Comparator<ShardId> byWeight(String key) {
    return Comparator.<ShardId>comparingLong(shard -> RendezvousHash.weight(key, shard))
        .thenComparing(Comparator.naturalOrder());
  }
}
