package org.burdockbay.core.agreement;

/**
 * Times of a group, in milliseconds.
 *
 * @param heartbeatIntervalMillis between heartbeats of the leader
 * @param electionTimeoutMillis shortest silence before a member campaigns; the longest is twice
 *     that
 * @param initialElectionTimeoutMillis the same for a member that hasn't heard of any leader since
 *     it started
 * @param resendTimeoutMillis silence of a member before entries are sent to it again
 */
public record RaftTiming(
    long heartbeatIntervalMillis,
    long electionTimeoutMillis,
    long initialElectionTimeoutMillis,
    long resendTimeoutMillis) {

  /** Times for round trips of a few milliseconds. */
  public static final RaftTiming DEFAULT = new RaftTiming(200, 600, 150, 400);
}
