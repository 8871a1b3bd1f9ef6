package org.burdockbay.core.shard;

import java.util.Comparator;

/**
 * Identifies a shard, a part of the fleet that one dispatcher owns at a time.
 *
 * @param domain the failure domain of its upstreams; empty for {@link #WHOLE_FLEET}
 * @param index the zero-based index among the shards of the domain
 */
public record ShardId(String domain, int index) implements Comparable<ShardId> {

  /** The only shard of an undivided fleet. */
  public static final ShardId WHOLE_FLEET = new ShardId("", 0);

  private static final Comparator<ShardId> ORDER =
      Comparator.comparing(ShardId::domain).thenComparingInt(ShardId::index);

  /** Checks that the index isn't negative. */
  public ShardId {
    if (index < 0) {
      throw new IllegalArgumentException("index is " + index + ", must not be negative");
    }
  }

  @Override
  public int compareTo(ShardId other) {
    return ORDER.compare(this, other);
  }

  @Override
  public String toString() {
    return equals(WHOLE_FLEET) ? "fleet" : domain + "/" + index;
  }
}
