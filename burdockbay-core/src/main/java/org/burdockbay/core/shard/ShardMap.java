package org.burdockbay.core.shard;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Maps upstreams to the shards that own them, by rendezvous hashing.
 *
 * <p>An upstream belongs to a shard of its own failure domain, or to any shard if its domain has
 * none. Adding or removing a shard moves only the upstreams that this shard gains or loses.
 */
public final class ShardMap {

  private final List<ShardId> shards;

  private ShardMap(List<ShardId> shards) {
    this.shards = shards;
  }

  /** Returns the map of the given shards; their order and duplicates don't matter. */
  public static ShardMap of(Collection<ShardId> shards) {
    return new ShardMap(shards.stream().distinct().sorted().toList());
  }

  /** Returns the shards in their natural order. */
  public List<ShardId> shards() {
    return shards;
  }

  /**
   * Returns the shard that owns an upstream; empty if there are no shards.
   *
   * @param upstream the id of the upstream
   * @param domain the failure domain of the upstream
   */
  public Optional<ShardId> owner(String upstream, String domain) {
    List<ShardId> inDomain =
        shards.stream().filter(shard -> shard.domain().equals(domain)).toList();
    return withHighestWeight(upstream, inDomain.isEmpty() ? shards : inDomain);
  }

  /** Returns the shards in descending order of their weight for a key. */
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
