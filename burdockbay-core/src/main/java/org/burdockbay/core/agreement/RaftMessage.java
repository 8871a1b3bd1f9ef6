package org.burdockbay.core.agreement;

import java.util.List;

/** A message between two members of a group. */
public sealed interface RaftMessage {

  /** Returns the sender. */
  VoterId from();

  /** Returns the member that it is meant for. */
  VoterId to();

  /** Returns the sender's term. */
  long term();

  /**
   * Asks for a vote.
   *
   * @param preVote whether it only asks if a vote would be given
   * @param transfer whether the leader asked for this election
   */
  record VoteRequest(
      VoterId from,
      VoterId to,
      long term,
      long lastLogIndex,
      long lastLogTerm,
      boolean preVote,
      boolean transfer)
      implements RaftMessage {}

  /** Answers a {@link VoteRequest}. */
  record VoteReply(VoterId from, VoterId to, long term, boolean granted, boolean preVote)
      implements RaftMessage {}

  /** Sends entries after a given one; without entries it is a heartbeat. */
  record AppendRequest(
      VoterId from,
      VoterId to,
      long term,
      long prevLogIndex,
      long prevLogTerm,
      List<LogEntry> entries,
      long commitIndex)
      implements RaftMessage {

    /** Copies the entries. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }
  }

  /**
   * Answers an {@link AppendRequest}.
   *
   * @param index if accepted, the last entry that is synced and equals the leader's; if not, where
   *     the leader should go on
   */
  record AppendReply(VoterId from, VoterId to, long term, boolean accepted, long index)
      implements RaftMessage {}

  /** Sends a part of a snapshot; {@code snapshot} holds only that part of the data. */
  record SnapshotChunk(
      VoterId from, VoterId to, long term, Snapshot snapshot, int offset, int totalSize)
      implements RaftMessage {}

  /** Tells up to where the parts of the snapshot have arrived. */
  record SnapshotReply(VoterId from, VoterId to, long term, long snapshotIndex, int nextOffset)
      implements RaftMessage {}

  /** Asks the receiver to campaign at once. */
  record TimeoutNow(VoterId from, VoterId to, long term) implements RaftMessage {}
}
