package org.burdockbay.core.membership;

import org.burdockbay.core.shard.ShardAssignment;

/**
 * Options of a host's {@link Membership}.
 *
 * <p>An epoch consists of a round in the high bits and the number of the claiming host in the low
 * bits, so that two hosts never claim the same epoch. The round advances with time, so that a host
 * that starts without stored state claims an epoch above those that upstreams have seen.
 *
 * @param silenceTimeoutMillis silence after which a host is considered lost, in milliseconds
 * @param mayDispatch whether this host may claim the dispatcher role
 * @param hostNumberBits width of a host number, in bits
 * @param hostNumber number of this host, unique among all hosts
 * @param roundMillis duration of a round, in milliseconds
 * @param firstRoundAt start of round 0, in milliseconds since the Unix epoch
 * @param weight weight of this host in the election of dispatchers; 0 if unknown
 * @param claimsByDomain whether this host may claim a shard once it has contacted the hosts of its
 *     failure domain, instead of all hosts
 */
public record MembershipOptions(
    long silenceTimeoutMillis,
    boolean mayDispatch,
    int hostNumberBits,
    long hostNumber,
    long roundMillis,
    long firstRoundAt,
    int weight,
    boolean claimsByDomain) {

  private static final int ADDRESS_BITS = 24;
  private static final long MILLIS_PER_SECOND = 1_000;

  /**
   * 2025-01-01T00:00Z. Epochs are limited to the 53 bits of a JSON number, which leaves 29 bits for
   * the seconds since this time.
   */
  private static final long FIRST_ROUND_AT = 1_735_689_600_000L;

  /** Checks that the host number fits its width and that the weight isn't negative. */
  public MembershipOptions {
    if (weight < 0) {
      throw new IllegalArgumentException("weight is " + weight + ", must not be negative");
    }
    if (hostNumber < 0 || hostNumber >> hostNumberBits != 0) {
      throw new IllegalArgumentException(
          "host number " + hostNumber + " doesn't fit into " + hostNumberBits + " bits");
    }
  }

  /** Returns the options of a host that is part of a fixed list in the settings of all hosts. */
  static MembershipOptions ofListedHost(int index) {
    return new MembershipOptions(
        Membership.SILENCE_TIMEOUT_MILLIS,
        true,
        8,
        index,
        1,
        0,
        ShardAssignment.UNKNOWN_WEIGHT,
        false);
  }

  /**
   * Returns the options of a host that is identified by the last three bytes of its IPv4 address.
   *
   * @param ipv4 address in dotted decimal notation
   */
  public static MembershipOptions ofAddress(
      String ipv4, long silenceTimeoutMillis, boolean mayDispatch) {
    long number = 0;
    for (String part : ipv4.split("\\.", -1)) {
      number = (number << 8 | Long.parseLong(part)) & ((1L << ADDRESS_BITS) - 1);
    }
    return new MembershipOptions(
        silenceTimeoutMillis,
        mayDispatch,
        ADDRESS_BITS,
        number,
        MILLIS_PER_SECOND,
        FIRST_ROUND_AT,
        ShardAssignment.UNKNOWN_WEIGHT,
        false);
  }

  /** Returns a copy with the given weight. */
  public MembershipOptions withWeight(int changed) {
    return new MembershipOptions(
        silenceTimeoutMillis,
        mayDispatch,
        hostNumberBits,
        hostNumber,
        roundMillis,
        firstRoundAt,
        changed,
        claimsByDomain);
  }

  /** Returns a copy that says whether shards are claimed by contact with the own domain. */
  public MembershipOptions withClaimsByDomain(boolean enabled) {
    return new MembershipOptions(
        silenceTimeoutMillis,
        mayDispatch,
        hostNumberBits,
        hostNumber,
        roundMillis,
        firstRoundAt,
        weight,
        enabled);
  }

  /** Returns the round at a time in milliseconds since the Unix epoch. */
  long roundAt(long now) {
    return Math.max(0, (now - firstRoundAt) / roundMillis);
  }
}
