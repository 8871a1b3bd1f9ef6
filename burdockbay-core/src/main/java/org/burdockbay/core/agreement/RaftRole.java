package org.burdockbay.core.agreement;

/** Current role of a member. */
public enum RaftRole {
  /** Follows a leader, or waits for a leader to contact it. */
  FOLLOWER,
  /**
   * Requests pre-votes to determine whether an election could succeed, without increasing its term.
   */
  PRE_CANDIDATE,
  /** Requests votes in an election. */
  CANDIDATE,
  /** Appends entries and replicates them. */
  LEADER
}
