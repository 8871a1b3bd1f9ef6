package org.burdockbay.core.shard;

import java.util.List;
import java.util.stream.IntStream;

/**
 * Specifies into how many shards each failure domain is divided.
 *
 * <p>A layout only grows as long as any host retains it: hosts adopt the largest layout that they
 * receive. So they agree within a heartbeat, and upstreams that join or leave change no ownership.
 *
 * @param shardsPerDomain the number of shards in each domain; 0 if one dispatcher owns all
 *     upstreams
 */
public record ShardLayout(int shardsPerDomain) {

  /** The layout of a fleet that one dispatcher owns as a whole. */
  public static final ShardLayout UNDIVIDED = new ShardLayout(0);

  /**
   * Maximum number of upstreams of an undivided fleet. A single pool absorbs bursts best, so small
   * fleets have one dispatcher.
   */
  private static final int MAX_UNDIVIDED_UPSTREAMS = 64;

  /** The target number of upstreams of a shard. */
  private static final int UPSTREAMS_PER_SHARD = 24;

  /** Checks that the number isn't negative. */
  public ShardLayout {
    if (shardsPerDomain < 0) {
      throw new IllegalArgumentException(
          "shardsPerDomain is " + shardsPerDomain + ", must not be negative");
    }
  }

  /**
   * Returns the layout for a fleet of the given size.
   *
   * @param upstreams the number of upstreams
   * @param domains the number of their failure domains
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

  /** Returns the larger of this and another layout. */
  public ShardLayout larger(ShardLayout other) {
    return shardsPerDomain >= other.shardsPerDomain ? this : other;
  }

  /** Returns whether a shard is part of this layout. */
  public boolean contains(ShardId shard) {
    boolean isWholeFleet = shard.equals(ShardId.WHOLE_FLEET);
    return undivided() ? isWholeFleet : !isWholeFleet && shard.index() < shardsPerDomain;
  }

  /** Returns the shards that hosts of a failure domain may claim. */
  public List<ShardId> shards(String domain) {
    if (undivided()) {
      return List.of(ShardId.WHOLE_FLEET);
    }
    return IntStream.range(0, shardsPerDomain)
        .mapToObj(index -> new ShardId(domain, index))
        .toList();
  }
}
