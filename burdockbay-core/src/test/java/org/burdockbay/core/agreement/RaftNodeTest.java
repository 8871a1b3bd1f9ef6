package org.burdockbay.core.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.testng.annotations.Test;

/** Tests failures of a single member; each test covers a row in docs/PROOFS.md. */
public class RaftNodeTest {

  private static final VoterId A = new VoterId("a", 1);
  private static final VoterId B = new VoterId("b", 1);
  private static final VoterId C = new VoterId("c", 1);
  private static final List<VoterId> GROUP = List.of(A, B, C);
  private static final RaftTiming TIMING = RaftModel.TIMING;
  private static final long AFTER_ELECTION_TIMEOUT = 10 * TIMING.electionTimeoutMillis();

  /**
   * A partitioned leader continues to answer as leader while the other side has elected another
   * one. It must detect by itself that it has no contact to a quorum.
   */
  @Test
  public void stepsDownWithoutQuorumContact() {
    RaftNode leader = electedLeader();
    leader.tick(AFTER_ELECTION_TIMEOUT + TIMING.electionTimeoutMillis() + 1);
    assertEquals(leader.role(), RaftRole.FOLLOWER);
    assertTrue(leader.propose(bytes("x"), AFTER_ELECTION_TIMEOUT + 100).isEmpty());
  }

  /** Guards against confirming a leadership that ended while a reply waited at the leader. */
  @Test
  public void confirmsLeadershipFromWhenRequestsWereSent() {
    RaftNode leader = electedLeader();
    syncAll(leader, 10);
    assertTrue(leader.confirmedAt().isEmpty(), "no entry of the term is committed");
    long handledAt = AFTER_ELECTION_TIMEOUT + TIMING.electionTimeoutMillis() - 1;
    leader.receive(
        new RaftMessage.AppendReply(
            B, A, leader.term(), true, leader.lastIndex(), AFTER_ELECTION_TIMEOUT),
        handledAt);
    assertEquals(leader.confirmedAt(), OptionalLong.of(AFTER_ELECTION_TIMEOUT));
    leader.receive(
        new RaftMessage.AppendReply(C, A, leader.term(), false, 1, AFTER_ELECTION_TIMEOUT + 5),
        handledAt);
    assertEquals(leader.confirmedAt(), OptionalLong.of(AFTER_ELECTION_TIMEOUT + 5));
  }

  /**
   * A leader commits an entry of an earlier term as soon as a quorum has it. A voter with an entry
   * of a later term may still be elected and overwrite it, and an accepted change is lost (Raft
   * paper, figure 8).
   */
  @Test
  public void commitsEntriesOfEarlierTermsOnlyWithEntryOfCurrentTerm() {
    List<LogEntry> entries = new ArrayList<>(RecoveredLog.bootstrap(GROUP).entries());
    entries.add(new LogEntry(2, 2, 0, new EntryContent.Command(bytes("old"))));
    RaftNode leader =
        new RaftNode(
            A,
            new RecoveredLog(new HardState(2, Optional.empty()), Optional.empty(), entries),
            TIMING,
            1,
            0);
    elect(leader);
    long before = leader.commitIndex();
    leader.receive(
        new RaftMessage.AppendReply(B, A, leader.term(), true, 2), AFTER_ELECTION_TIMEOUT);
    assertEquals(leader.commitIndex(), before);
    syncAll(leader, 2);
    leader.receive(
        new RaftMessage.AppendReply(B, A, leader.term(), true, 3), AFTER_ELECTION_TIMEOUT);
    assertEquals(leader.commitIndex(), 3);
  }

  /**
   * A leader counts its own entry before it is synced. If the leader and a follower crash, an
   * accepted change isn't on the disks of a quorum.
   */
  @Test
  public void countsItsOwnEntriesOnlyOnceSynced() {
    RaftNode leader = electedLeader();
    leader.propose(bytes("x"), AFTER_ELECTION_TIMEOUT);
    leader.flush();
    long entry = leader.lastIndex();
    leader.receive(
        new RaftMessage.AppendReply(B, A, leader.term(), true, entry), AFTER_ELECTION_TIMEOUT);
    assertTrue(leader.commitIndex() < entry);
    syncAll(leader, 10);
    assertEquals(leader.commitIndex(), entry);
  }

  /**
   * A candidate with an outdated log is elected because a voter didn't compare the logs. Committed
   * entries that the candidate lacks are overwritten.
   */
  @Test
  public void deniesVotesToCandidatesWithOlderLogs() {
    RaftNode voter = follower(3);
    RaftMessage.VoteRequest request = new RaftMessage.VoteRequest(B, A, 9, 1, 1, false, true);
    assertFalse(grantedVote(voter.receive(request, AFTER_ELECTION_TIMEOUT)).isPresent());
    RaftMessage.VoteRequest newer = new RaftMessage.VoteRequest(C, A, 9, 3, 1, false, true);
    List<RaftEffect> effects = voter.receive(newer, AFTER_ELECTION_TIMEOUT);
    assertFalse(grantedVote(effects).isPresent(), "vote granted before the sync");
    assertTrue(grantedVote(voter.persisted(ticketOf(effects), AFTER_ELECTION_TIMEOUT)).isPresent());
  }

  /**
   * All hosts were killed and restarted. Without a leader no host has a configuration, and all
   * callers are refused. A member that knows no leader must start its first election after a short
   * timeout and lengthen the timeout with each attempt: with a constant short one, concurrent
   * candidates split the votes indefinitely.
   */
  @Test
  public void lengthensElectionTimeoutsWhileNoLeaderIsKnown() {
    RaftNode member = new RaftNode(A, RecoveredLog.bootstrap(GROUP), TIMING, 1, 0);
    List<Long> electionStarts = new ArrayList<>();
    for (long time = 1; time <= AFTER_ELECTION_TIMEOUT; time++) {
      boolean electionStarted =
          member.tick(time).stream()
              .anyMatch(
                  effect ->
                      effect instanceof RaftEffect.Send send
                          && send.message() instanceof RaftMessage.VoteRequest);
      if (electionStarted) {
        electionStarts.add(time);
      }
    }
    assertTrue(
        electionStarts.getFirst() <= 2 * TIMING.initialElectionTimeoutMillis(),
        electionStarts.toString());
    long lastInterval = electionStarts.getLast() - electionStarts.get(electionStarts.size() - 2);
    assertTrue(lastInterval >= TIMING.electionTimeoutMillis(), electionStarts.toString());
  }

  /**
   * A removed or partitioned host returns and requests votes in a high term. The working leader is
   * deposed repeatedly, and callers wait for elections.
   */
  @Test
  public void deniesVotesWhileLeaderIsAlive() {
    RaftNode voter = follower(1);
    voter.receive(
        new RaftMessage.AppendRequest(B, A, 2, 1, 1, List.of(), 1), AFTER_ELECTION_TIMEOUT);
    voter.receive(
        new RaftMessage.VoteRequest(C, A, 50, 9, 9, false, false), AFTER_ELECTION_TIMEOUT + 1);
    assertEquals(voter.term(), 2);
  }

  /**
   * A host lost its disk and restarted. A message to the earlier incarnation reaches the new one,
   * which votes or acknowledges entries without having the log.
   */
  @Test
  public void ignoresMessagesToAnEarlierIncarnation() {
    VoterId replaced = new VoterId("a", 77);
    RaftNode node = new RaftNode(replaced, RecoveredLog.EMPTY, TIMING, 1, 0);
    List<RaftEffect> effects =
        node.receive(
            new RaftMessage.VoteRequest(B, A, 9, 9, 9, false, true), AFTER_ELECTION_TIMEOUT);
    assertTrue(effects.isEmpty());
    assertEquals(node.term(), 0);
  }

  /**
   * A second host fails right after a repair. If the repaired host became a voter before it had all
   * committed entries, the remaining voters would form a quorum without the latest accepted
   * changes.
   */
  @Test
  public void reportsLearnersCaughtUpOnlyWithAllCommittedEntries() {
    RaftNode leader = electedLeader();
    commitAll(leader);
    final VoterId learner = new VoterId("c", 2);
    assertTrue(leader.proposeMembers(leader.voters().without(C), AFTER_ELECTION_TIMEOUT));
    leader.flush();
    commitAll(leader);
    assertTrue(leader.proposeMembers(leader.voters().withLearner(learner), AFTER_ELECTION_TIMEOUT));
    leader.flush();
    commitAll(leader);
    assertFalse(leader.isCaughtUp(learner));
    leader.receive(
        new RaftMessage.AppendReply(learner, A, leader.term(), true, leader.commitIndex()),
        AFTER_ELECTION_TIMEOUT);
    assertTrue(leader.isCaughtUp(learner));
  }

  /**
   * Two membership changes overlap, or one change replaces two voters. The quorums before and after
   * it need not share a voter, so two leaders could commit different entries.
   */
  @Test
  public void rejectsOverlappingAndMultiVoterChanges() {
    RaftNode leader = electedLeader();
    commitAll(leader);
    VoterSet two = leader.voters().without(B).without(C);
    assertFalse(leader.proposeMembers(two, AFTER_ELECTION_TIMEOUT), "change of two voters");
    assertTrue(leader.proposeMembers(leader.voters().without(C), AFTER_ELECTION_TIMEOUT));
    assertFalse(
        leader.proposeMembers(
            leader.voters().withVoter(new VoterId("d", 1)), AFTER_ELECTION_TIMEOUT),
        "second change before the first is committed");
  }

  /**
   * A snapshot reaches a follower that has the snapshot's last entry and later ones. Replacing the
   * whole log would discard entries that were synced and acknowledged, and a leader without them
   * could be elected. Found by fuzzing.
   */
  @Test
  public void keepsAcknowledgedEntriesBeyondSnapshots() {
    RaftNode follower = follower(5);
    Snapshot part = new Snapshot(3, 1, 0, new VoterSet(GROUP, List.of()), bytes("state"));
    follower.receive(new RaftMessage.SnapshotChunk(B, A, 2, part, 0, 5), AFTER_ELECTION_TIMEOUT);
    assertEquals(follower.lastIndex(), 5);
    assertEquals(follower.commitIndex(), 3);
  }

  /**
   * A snapshot chunk to a new host is lost. If heartbeats postponed resending it, the chunk would
   * never be sent again and the host wouldn't catch up. Found by fuzzing.
   */
  @Test
  public void resendsLostSnapshotChunks() {
    Snapshot snapshot = new Snapshot(5, 1, 0, new VoterSet(GROUP, List.of()), bytes("state"));
    RaftNode leader =
        new RaftNode(
            A,
            new RecoveredLog(new HardState(1, Optional.empty()), Optional.of(snapshot), List.of()),
            TIMING,
            1,
            0);
    elect(leader);
    leader.receive(
        new RaftMessage.AppendReply(C, A, leader.term(), false, 1), AFTER_ELECTION_TIMEOUT);
    int chunks = 0;
    for (long time = AFTER_ELECTION_TIMEOUT;
        time < AFTER_ELECTION_TIMEOUT + 10 * TIMING.resendTimeoutMillis();
        time += 5) {
      leader.receive(new RaftMessage.AppendReply(B, A, leader.term(), true, 0), time);
      chunks += count(leader.tick(time), RaftMessage.SnapshotChunk.class, C);
    }
    assertTrue(chunks >= 3, "chunks sent: " + chunks);
  }

  /**
   * Entries are written, truncated by another leader, and written again while the first write is
   * still in progress. The completion of the first write must not count for the last one: a crash
   * between the truncation and the last write would lose entries that were acknowledged as synced.
   */
  @Test
  public void ignoresSyncsFromBeforeTruncations() {
    RaftNode follower = follower(1);
    LogEntry own = new LogEntry(2, 2, 0, new EntryContent.Command(bytes("x")));
    LogEntry rival = new LogEntry(2, 3, 0, new EntryContent.Command(bytes("y")));
    long first =
        ticketOf(
            follower.receive(
                new RaftMessage.AppendRequest(B, A, 2, 1, 1, List.of(own), 0),
                AFTER_ELECTION_TIMEOUT));
    follower.receive(
        new RaftMessage.AppendRequest(C, A, 3, 1, 1, List.of(rival), 0), AFTER_ELECTION_TIMEOUT);
    follower.receive(
        new RaftMessage.AppendRequest(B, A, 4, 1, 1, List.of(own), 0), AFTER_ELECTION_TIMEOUT);
    follower.persisted(first, AFTER_ELECTION_TIMEOUT);
    List<RaftEffect> effects =
        follower.receive(
            new RaftMessage.AppendRequest(B, A, 4, 2, 2, List.of(), 0), AFTER_ELECTION_TIMEOUT);
    assertEquals(acknowledgedIndex(effects), 1);
  }

  /** Large commands would exhaust memory and disk space before the limit on entries is reached. */
  @Test
  public void compactsAtByteLimit() {
    RaftNode leader = electedLeader();
    commitAll(leader);
    Bytes large = Bytes.copyOf(new byte[(int) RaftNode.COMPACTION_THRESHOLD_BYTES / 8]);
    for (int i = 0; i < 8; i++) {
      assertFalse(leader.isCompactionDue(), "after " + i + " commands");
      leader.propose(large, AFTER_ELECTION_TIMEOUT);
      leader.flush();
      commitAll(leader);
      leader.flush();
    }
    assertTrue(leader.isCompactionDue());
    leader.compact(bytes("state"));
    assertFalse(leader.isCompactionDue());
    assertTrue(leader.entriesInMemory() <= 3, leader.entriesInMemory() + " entries in memory");
  }

  private static RaftNode electedLeader() {
    RaftNode node = new RaftNode(A, RecoveredLog.bootstrap(GROUP), TIMING, 1, 0);
    elect(node);
    return node;
  }

  private static void elect(RaftNode node) {
    node.tick(AFTER_ELECTION_TIMEOUT);
    long next = node.term() + 1;
    List<RaftEffect> electionEffects =
        node.receive(new RaftMessage.VoteReply(B, A, next, true, true), AFTER_ELECTION_TIMEOUT);
    node.receive(new RaftMessage.VoteReply(B, A, next, true, false), AFTER_ELECTION_TIMEOUT);
    node.persisted(ticketOf(electionEffects), AFTER_ELECTION_TIMEOUT);
    assertEquals(node.role(), RaftRole.LEADER);
  }

  private static RaftNode follower(int entries) {
    List<LogEntry> log = new ArrayList<>(RecoveredLog.bootstrap(GROUP).entries());
    for (int i = 2; i <= entries; i++) {
      log.add(new LogEntry(i, 1, 0, new EntryContent.Command(bytes("entry " + i))));
    }
    RecoveredLog recovered =
        new RecoveredLog(new HardState(1, Optional.empty()), Optional.empty(), log);
    return new RaftNode(A, recovered, TIMING, 1, 0);
  }

  private static void syncAll(RaftNode node, int tickets) {
    for (int ticket = 1; ticket <= tickets; ticket++) {
      node.persisted(ticket, AFTER_ELECTION_TIMEOUT);
    }
  }

  private static void commitAll(RaftNode leader) {
    syncAll(leader, 20);
    leader.receive(
        new RaftMessage.AppendReply(B, A, leader.term(), true, leader.lastIndex()),
        AFTER_ELECTION_TIMEOUT);
    assertEquals(leader.commitIndex(), leader.lastIndex());
  }

  private static long ticketOf(List<RaftEffect> effects) {
    return effects.stream()
        .filter(RaftEffect.Persist.class::isInstance)
        .mapToLong(effect -> ((RaftEffect.Persist) effect).ticket())
        .max()
        .orElseThrow();
  }

  private static Optional<RaftMessage> grantedVote(List<RaftEffect> effects) {
    return messages(effects).stream()
        .filter(m -> m instanceof RaftMessage.VoteReply reply && reply.granted())
        .findFirst();
  }

  private static long acknowledgedIndex(List<RaftEffect> effects) {
    return messages(effects).stream()
        .filter(RaftMessage.AppendReply.class::isInstance)
        .mapToLong(m -> ((RaftMessage.AppendReply) m).index())
        .max()
        .orElse(0);
  }

  private static int count(List<RaftEffect> effects, Class<?> type, VoterId to) {
    return (int)
        messages(effects).stream().filter(m -> type.isInstance(m) && m.to().equals(to)).count();
  }

  private static List<RaftMessage> messages(List<RaftEffect> effects) {
    List<RaftMessage> messages = new ArrayList<>();
    for (RaftEffect effect : effects) {
      if (effect instanceof RaftEffect.Send send) {
        messages.add(send.message());
      }
    }
    return messages;
  }

  private static Bytes bytes(String text) {
    return Bytes.copyOf(text.getBytes(StandardCharsets.UTF_8));
  }
}
