package org.burdockbay.core.membership;

/**
 * How a host takes part in {@link Membership}.
 *
 * <p>An epoch is a round in the high bits and the claiming host's number in the low ones, so that
 * no two hosts ever claim the same one. The round follows the time, so that a host that starts
 * without any memory claims above what upstreams have seen before.
 *
 * @param silenceTimeoutMillis silence after which a host counts as lost, in milliseconds
 * @param mayDispatch whether this host may claim the dispatcher role
 * @param hostNumberBits number of bits of a host number
 * @param hostNumber the number of this host, unlike any other's
 * @param roundMillis time for the round to rise by one, in milliseconds
 * @param firstRoundAt the time of round 0, in milliseconds since 1970
 */
public record MembershipOptions(
    long silenceTimeoutMillis,
    boolean mayDispatch,
    int hostNumberBits,
    long hostNumber,
    long roundMillis,
    long firstRoundAt) {

  private static final int ADDRESS_BITS = 24;
  private static final long MILLIS_PER_SECOND = 1_000;

  /** 2025-01-01; epochs in JSON have 53 bits, 29 of them for seconds since then. */
  private static final long FIRST_ROUND_AT = 1_735_689_600_000L;

  /** Checks the host number. */
  public MembershipOptions {
    if (hostNumber < 0 || hostNumber >> hostNumberBits != 0) {
      throw new IllegalArgumentException(
          hostNumber + " doesn't fit into " + hostNumberBits + " bits");
    }
  }

  /** Returns the terms of a host in a list that all hosts have in their settings. */
  static MembershipOptions ofListedHost(int index) {
    return new MembershipOptions(Membership.SILENCE_TIMEOUT_MILLIS, true, 8, index, 1, 0);
  }

  /**
   * Returns the terms of a host that is told apart by the last three bytes of its IPv4 address.
   *
   * @param ipv4 the address in dotted form
   */
  public static MembershipOptions ofAddress(String ipv4, long lostMillis, boolean mayDispatch) {
    long number = 0;
    for (String part : ipv4.split("\\.", -1)) {
      number = (number << 8 | Long.parseLong(part)) & ((1L << ADDRESS_BITS) - 1);
    }
    return new MembershipOptions(
        lostMillis, mayDispatch, ADDRESS_BITS, number, MILLIS_PER_SECOND, FIRST_ROUND_AT);
  }

  /** Returns the round of a time, in milliseconds since 1970. */
  long roundAt(long now) {
    return Math.max(0, (now - firstRoundAt) / roundMillis);
  }
}
