package org.burdockbay.core.shard;

import java.util.Comparator;

/**
 * A part of the fleet that one dispatcher owns at a time.
 *
 * @param domain the failure domain of its upstreams; empty for {@link #WHOLE_FLEET}
 * @param index its place among the shards of the domain, from 0
 */
public record ShardId(String domain, int index) implements Comparable<ShardId> {

  /** The only shard of a fleet that isn't divided. */
  public static final ShardId WHOLE_FLEET = new ShardId("", 0);

  private static final Comparator<ShardId> ORDER =
      Comparator.comparing(ShardId::domain).thenComparingInt(ShardId::index);

  /** Checks the index. */
  public ShardId {
    if (index < 0) {
      throw new IllegalArgumentException("index " + index + " is below 0");
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
