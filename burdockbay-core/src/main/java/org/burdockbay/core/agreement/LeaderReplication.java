package org.burdockbay.core.agreement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Replicates a leader's log to the other members and tracks their progress. */
final class LeaderReplication {

  private static final int MAX_ENTRIES_PER_MESSAGE = 512;
  private static final int MAX_BYTES_PER_MESSAGE = 512 * 1024;
  private static final int MAX_ENTRIES_IN_FLIGHT = 8_192;
  private static final int SNAPSHOT_CHUNK_BYTES = 256 * 1024;

  private final RaftNode node;
  private final RaftLog log;
  private final RaftTiming timing;
  private final Map<VoterId, PeerProgress> peers = new HashMap<>();

  LeaderReplication(RaftNode node, RaftLog log, RaftTiming timing) {
    this.node = node;
    this.log = log;
    this.timing = timing;
  }

  void start(VoterId self, long now) {
    peers.clear();
    for (VoterId member : log.voters().members()) {
      if (!member.equals(self)) {
        peers.put(member, new PeerProgress(log.lastIndex() + 1, now));
      }
    }
  }

  /** Returns whether a quorum, including this leader, has replied within the election timeout. */
  boolean hasQuorumContact(VoterId self, long now) {
    return log.voters()
        .hasQuorum(
            voter -> {
              PeerProgress peer = peers.get(voter);
              return voter.equals(self)
                  || (peer != null && now - peer.lastAckAt < timing.electionTimeoutMillis());
            });
  }

  /**
   * Returns the latest time such that a quorum, including this leader, has replied to requests sent
   * no earlier; {@code Long.MIN_VALUE} if there is none.
   */
  long quorumConfirmedAt(VoterId self, long now) {
    List<Long> confirmed =
        log.voters().voters().stream()
            .map(voter -> voter.equals(self) ? now : confirmedAt(voter))
            .sorted(Comparator.reverseOrder())
            .toList();
    return confirmed.isEmpty() ? Long.MIN_VALUE : confirmed.get(log.voters().quorumSize() - 1);
  }

  private long confirmedAt(VoterId member) {
    PeerProgress peer = peers.get(member);
    return peer == null ? Long.MIN_VALUE : peer.confirmedAt;
  }

  /** Sends heartbeats, and resends entries and snapshot chunks without a reply. */
  void tick(long now) {
    for (Map.Entry<VoterId, PeerProgress> entry : peers.entrySet()) {
      PeerProgress peer = entry.getValue();
      boolean stalled =
          peer.nextIndex > peer.matchIndex + 1
              && now - peer.lastProgressAt >= timing.resendTimeoutMillis();
      if (stalled) {
        peer.nextIndex = peer.matchIndex + 1;
        peer.lastProgressAt = now;
      }
      if (peer.snapshot != null && now - peer.chunkSentAt >= timing.resendTimeoutMillis()) {
        sendChunk(entry.getKey(), peer, now);
      }
      if (now - peer.lastSentAt >= timing.heartbeatIntervalMillis()) {
        sendHeartbeat(entry.getKey(), peer, now);
      }
    }
  }

  /** Sends new entries to all members that have capacity in their replication window. */
  void replicate(long now) {
    for (VoterId member : log.voters().members()) {
      if (!member.equals(node.self())) {
        PeerProgress peer =
            peers.computeIfAbsent(member, added -> new PeerProgress(log.lastIndex() + 1, now));
        replicateTo(member, peer, now);
      }
    }
    peers.keySet().retainAll(log.voters().members());
  }

  void handleAppendReply(RaftMessage.AppendReply reply, long now) {
    PeerProgress peer = peers.get(reply.from());
    if (peer == null) {
      return;
    }
    peer.lastAckAt = now;
    if (reply.requestSentAtMillis() != 0) {
      peer.confirmedAt = Math.max(peer.confirmedAt, reply.requestSentAtMillis());
    }
    if (!reply.accepted()) {
      peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(reply.index(), peer.nextIndex));
      return;
    }
    if (reply.index() > peer.matchIndex) {
      peer.matchIndex = reply.index();
      peer.lastProgressAt = now;
    }
    peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1);
    if (peer.snapshot != null && peer.matchIndex >= peer.snapshot.index()) {
      peer.snapshot = null;
    }
  }

  void handleSnapshotReply(RaftMessage.SnapshotReply reply, long now) {
    PeerProgress peer = peers.get(reply.from());
    if (peer == null) {
      return;
    }
    peer.lastAckAt = now;
    if (peer.snapshot != null && peer.snapshot.index() == reply.snapshotIndex()) {
      peer.snapshotOffset = reply.nextOffset();
      sendChunk(reply.from(), peer, now);
    }
  }

  long matchIndex(VoterId member) {
    PeerProgress peer = peers.get(member);
    return peer == null ? 0 : peer.matchIndex;
  }

  /** Returns the highest index that a quorum of the voters has synced. */
  long quorumIndex(VoterId self, long ownSyncedIndex) {
    List<Long> synced =
        log.voters().voters().stream()
            .map(voter -> voter.equals(self) ? ownSyncedIndex : matchIndex(voter))
            .sorted(Comparator.reverseOrder())
            .toList();
    return synced.isEmpty() ? 0 : synced.get(log.voters().quorumSize() - 1);
  }

  Optional<VoterId> transferTarget(VoterId self) {
    return log.voters().voters().stream()
        .filter(voter -> !voter.equals(self))
        .max(Comparator.comparingLong(this::matchIndex))
        .filter(best -> matchIndex(best) == log.lastIndex());
  }

  private void replicateTo(VoterId member, PeerProgress peer, long now) {
    if (peer.snapshot != null) {
      return;
    }
    if (peer.nextIndex <= log.baseIndex()) {
      node.snapshot()
          .ifPresent(
              snapshot -> {
                peer.snapshot = snapshot;
                peer.snapshotOffset = 0;
                sendChunk(member, peer, now);
              });
      return;
    }
    while (peer.nextIndex <= log.lastIndex()
        && peer.nextIndex - peer.matchIndex <= MAX_ENTRIES_IN_FLIGHT) {
      List<LogEntry> entries =
          log.entriesFrom(peer.nextIndex, MAX_ENTRIES_PER_MESSAGE, MAX_BYTES_PER_MESSAGE);
      sendAppend(member, peer.nextIndex - 1, entries, node.commitIndex(), now);
      if (peer.nextIndex == peer.matchIndex + 1) {
        peer.lastProgressAt = now;
      }
      peer.nextIndex += entries.size();
      peer.lastSentAt = now;
    }
  }

  /** Sends a heartbeat for the prefix of the log that is known to match. */
  private void sendHeartbeat(VoterId member, PeerProgress peer, long now) {
    peer.lastSentAt = now;
    boolean isMatchAvailable = peer.matchIndex >= log.baseIndex();
    long matched = isMatchAvailable ? peer.matchIndex : 0;
    sendAppend(member, matched, List.of(), Math.min(node.commitIndex(), matched), now);
  }

  private void sendAppend(
      VoterId member, long prevIndex, List<LogEntry> entries, long commit, long now) {
    long prevTerm = prevIndex == 0 ? 0 : log.term(prevIndex);
    node.send(
        new RaftMessage.AppendRequest(
            node.self(), member, node.term(), prevIndex, prevTerm, entries, commit, now));
  }

  private void sendChunk(VoterId member, PeerProgress peer, long now) {
    Snapshot whole = peer.snapshot;
    if (whole == null) {
      return;
    }
    int to = Math.min(whole.data().size(), peer.snapshotOffset + SNAPSHOT_CHUNK_BYTES);
    Snapshot part =
        new Snapshot(
            whole.index(),
            whole.term(),
            whole.timeMillis(),
            whole.voters(),
            whole.data().slice(peer.snapshotOffset, to));
    peer.lastSentAt = now;
    peer.chunkSentAt = now;
    node.send(
        new RaftMessage.SnapshotChunk(
            node.self(), member, node.term(), part, peer.snapshotOffset, whole.data().size()));
  }
}
