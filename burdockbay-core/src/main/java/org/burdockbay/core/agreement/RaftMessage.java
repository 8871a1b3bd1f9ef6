package org.burdockbay.core.agreement;

import java.util.List;

/** Message between two members of a group. */
public sealed interface RaftMessage {

  /** Returns the sender. */
  VoterId from();

  /** Returns the recipient. */
  VoterId to();

  /** Returns the sender's term. */
  long term();

  /**
   * Requests a vote.
   *
   * @param lastLogIndex index of the candidate's last log entry
   * @param lastLogTerm term of the candidate's last log entry
   * @param preVote whether this is a pre-vote, which only asks if a vote would be granted
   * @param transfer whether the election is part of a leadership transfer
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

  /** Replies to a {@link VoteRequest}. */
  record VoteReply(VoterId from, VoterId to, long term, boolean granted, boolean preVote)
      implements RaftMessage {}

  /**
   * Replicates the log entries that follow a given one; without entries, it is a heartbeat.
   *
   * @param prevLogIndex index of the entry that precedes the new ones
   * @param prevLogTerm term of that entry
   * @param commitIndex highest index that the leader has committed
   * @param sentAtMillis time of the leader's clock, in milliseconds; 0 if it isn't stated
   */
  record AppendRequest(
      VoterId from,
      VoterId to,
      long term,
      long prevLogIndex,
      long prevLogTerm,
      List<LogEntry> entries,
      long commitIndex,
      long sentAtMillis)
      implements RaftMessage {

    /** Copies the entries to make the message immutable. */
    public AppendRequest {
      entries = List.copyOf(entries);
    }

    /** Creates a request without the time. */
    public AppendRequest(
        VoterId from,
        VoterId to,
        long term,
        long prevLogIndex,
        long prevLogTerm,
        List<LogEntry> entries,
        long commitIndex) {
      this(from, to, term, prevLogIndex, prevLogTerm, entries, commitIndex, 0);
    }
  }

  /**
   * Replies to an {@link AppendRequest}.
   *
   * @param index if accepted, index of the last entry that is synced and matches the leader's log;
   *     otherwise the index from which the leader is to continue
   * @param requestSentAtMillis {@link AppendRequest#sentAtMillis} of the request; 0 if this replies
   *     to another message
   */
  record AppendReply(
      VoterId from, VoterId to, long term, boolean accepted, long index, long requestSentAtMillis)
      implements RaftMessage {

    /** Creates a reply without the time of the request. */
    public AppendReply(VoterId from, VoterId to, long term, boolean accepted, long index) {
      this(from, to, term, accepted, index, 0);
    }
  }

  /**
   * Transfers a chunk of a snapshot.
   *
   * @param snapshot snapshot whose data contains only this chunk
   * @param offset position of the chunk within the data, in bytes
   * @param totalSize size of the complete data, in bytes
   */
  record SnapshotChunk(
      VoterId from, VoterId to, long term, Snapshot snapshot, int offset, int totalSize)
      implements RaftMessage {}

  /**
   * Acknowledges the snapshot chunks received so far.
   *
   * @param nextOffset position of the next chunk within the data, in bytes
   */
  record SnapshotReply(VoterId from, VoterId to, long term, long snapshotIndex, int nextOffset)
      implements RaftMessage {}

  /** Instructs the receiver to start an election immediately. */
  record TimeoutNow(VoterId from, VoterId to, long term) implements RaftMessage {}
}
