package org.burdockbay.core.shard;

/** Computes the weights of rendezvous hashing, which are the same on every host. */
final class RendezvousHash {

  private static final long HASH_SEED = 0x9E3779B97F4A7C15L;
  private static final long HASH_PRIME = 0x100000001B3L;

  private RendezvousHash() {}

  /** Returns the hash of a key and a shard: FNV-1a, then the finalizer of SplitMix64. */
  static long weight(String key, ShardId shard) {
    long hash = mix(HASH_SEED, key);
    hash = mix(hash, shard.domain());
    hash = (hash ^ shard.index()) * HASH_PRIME;
    hash = (hash ^ (hash >>> 30)) * 0xBF58476D1CE4E5B9L;
    hash = (hash ^ (hash >>> 27)) * 0x94D049BB133111EBL;
    return hash ^ (hash >>> 31);
  }

  /**
   * Returns the score of weighted rendezvous hashing: -weight / ln(u), where u in (0, 1) grows with
   * the hash.
   */
  static double weightedScore(String key, ShardId shard, int weight) {
    double fraction = ((weight(key, shard) ^ Long.MIN_VALUE) >>> 11) * 0x1.0p-53;
    return -weight / Math.log(fraction + 0x1.0p-54);
  }

  private static long mix(long seed, String text) {
    long hash = seed;
    for (int i = 0; i < text.length(); i++) {
      hash = (hash ^ text.charAt(i)) * HASH_PRIME;
    }
    return (hash ^ '/') * HASH_PRIME;
  }
}
