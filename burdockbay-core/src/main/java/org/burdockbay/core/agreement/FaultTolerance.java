package org.burdockbay.core.agreement;

/**
 * Losses that a group must bear at once without losing committed entries or its quorum.
 *
 * @param hosts number of hosts with a data folder that may be lost together
 * @param domains number of failure domains that may be lost together
 */
public record FaultTolerance(int hosts, int domains) {

  /** One host or one failure domain, which three voters in three domains bear. */
  public static final FaultTolerance DEFAULT = new FaultTolerance(1, 1);

  /** Largest supported number of hosts or failure domains. */
  public static final int MAX_LOSSES = 16;

  /**
   * Validates the numbers.
   *
   * @throws IllegalArgumentException if a number is negative or above {@link #MAX_LOSSES}
   */
  public FaultTolerance {
    requireInRange("hosts", hosts);
    requireInRange("domains", domains);
  }

  /**
   * Returns the smallest number of voters that can bear these losses. A majority remains after the
   * loss of n voters only if there are at least 2n + 1.
   */
  public int minVoterCount() {
    return 2 * Math.max(hosts, domains) + 1;
  }

  private static void requireInRange(String name, int count) {
    if (count < 0 || count > MAX_LOSSES) {
      throw new IllegalArgumentException(
          "tolerated " + name + ": is " + count + ", expected a number from 0 to " + MAX_LOSSES);
    }
  }
}
