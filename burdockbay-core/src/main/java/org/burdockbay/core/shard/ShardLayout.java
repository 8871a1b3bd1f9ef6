package org.burdockbay.core.shard;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Into how many shards each failure domain is divided.
 *
 * <p>Layouts only grow while any host remembers one: hosts adopt the largest that they hear of, so
 * that they agree within a heartbeat, and upstreams that come and go move no ownership.
 *
 * @param shardsPerDomain the number of shards in each domain; 0 while one dispatcher owns all
 */
public record ShardLayout(int shardsPerDomain) {

  /** The layout of a fleet that one dispatcher owns as a whole. */
  public static final ShardLayout UNDIVIDED = new ShardLayout(0);

  /** A fleet up to this number of upstreams has one dispatcher, whose pool serves bursts best. */
  private static final int MAX_UNDIVIDED_UPSTREAMS = 64;

  /** The number of upstreams that a shard is meant to have. */
  private static final int UPSTREAMS_PER_SHARD = 24;

  /** Checks the number. */
  public ShardLayout {
    if (shardsPerDomain < 0) {
      throw new IllegalArgumentException(shardsPerDomain + " shards");
    }
  }

  /**
   * Returns the layout that suits a fleet.
   *
   * @param upstreams the number of upstreams known
   * @param domains the number of failure domains that they are in
   */
  public static ShardLayout of(int upstreams, int domains) {
    if (upstreams <= MAX_UNDIVIDED_UPSTREAMS || domains == 0) {
      return UNDIVIDED;
    }
    return new ShardLayout(Math.ceilDiv(upstreams, domains * UPSTREAMS_PER_SHARD));
  }

  /** Returns whether one dispatcher owns all upstreams. */
  public boolean undivided() {
    return shardsPerDomain == 0;
  }

  /** Returns the larger one of two layouts. */
  public ShardLayout larger(ShardLayout other) {
    return shardsPerDomain >= other.shardsPerDomain ? this : other;
  }

  /** Returns whether a shard is part of this layout. */
  public boolean contains(ShardId shard) {
    boolean whole = shard.equals(ShardId.WHOLE_FLEET);
    return undivided() ? whole : !whole && shard.index() < shardsPerDomain;
  }

  /** Returns the shards that hosts of a failure domain may own. */
  public List<ShardId> shards(String domain) {
    if (undivided()) {
      return List.of(ShardId.WHOLE_FLEET);
    }
    return IntStream.range(0, shardsPerDomain)
        .mapToObj(index -> new ShardId(domain, index))
        .toList();
  }
}
