package org.burdockbay.core.agreement;

/**
 * Intervals and timeouts of a group, in milliseconds.
 *
 * @param heartbeatIntervalMillis interval between heartbeats of the leader
 * @param electionTimeoutMillis minimum election timeout; the actual timeout is randomized up to
 *     twice this value
 * @param initialElectionTimeoutMillis minimum election timeout of a member that hasn't known any
 *     leader since it started; doubled with each timeout
 * @param resendTimeoutMillis time without progress of a member before entries or snapshot chunks
 *     are resent to it
 */
public record RaftTiming(
    long heartbeatIntervalMillis,
    long electionTimeoutMillis,
    long initialElectionTimeoutMillis,
    long resendTimeoutMillis) {

  /** Timing for networks with round-trip times of a few milliseconds. */
  public static final RaftTiming DEFAULT = new RaftTiming(200, 600, 150, 400);
}
