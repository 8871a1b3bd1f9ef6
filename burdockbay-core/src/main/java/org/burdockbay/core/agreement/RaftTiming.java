package org.burdockbay.core.agreement;

/**
 * Times of a group, in milliseconds.
 *
 * @param heartbeatMillis between heartbeats of the leader
 * @param electionMillis shortest silence before a member campaigns; the longest is twice that
 * @param firstElectionMillis the same for a member that hasn't heard of any leader since it started
 * @param stallMillis silence of a member before entries are sent to it again
 */
public record RaftTiming(
    long heartbeatMillis, long electionMillis, long firstElectionMillis, long stallMillis) {

  /** Times for round trips of a few milliseconds. */
  public static final RaftTiming DEFAULT = new RaftTiming(200, 600, 150, 400);
}
