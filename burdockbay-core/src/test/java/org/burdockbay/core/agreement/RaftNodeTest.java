package org.burdockbay.core.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.testng.annotations.Test;

/** Focused failures of one member; each is the guard of a row in docs/PROOFS.md. */
public class RaftNodeTest {

  private static final VoterId A = new VoterId("a", 1);
  private static final VoterId B = new VoterId("b", 1);
  private static final VoterId C = new VoterId("c", 1);
  private static final List<VoterId> GROUP = List.of(A, B, C);
  private static final RaftTiming TIMING = RaftModel.TIMING;
  private static final long AFTER_ELECTION_TIMEOUT = 10 * TIMING.electionTimeoutMillis();

  /**
   * A leader is cut off in silence and keeps answering as leader, while the other side has elected
   * another one. The cut-off one must notice by itself that it hears no quorum.
   */
  @Test
  public void stepsDownWithoutQuorumContact() {
    RaftNode leader = electedLeader();
    leader.tick(AFTER_ELECTION_TIMEOUT + TIMING.electionTimeoutMillis() + 1);
    assertEquals(leader.role(), RaftRole.FOLLOWER);
    assertTrue(leader.propose(bytes("x"), AFTER_ELECTION_TIMEOUT + 100).isEmpty());
  }

  /**
   * A leader commits an entry of an earlier term as soon as a quorum holds it. A voter with a later
   * term may still be elected and overwrite it: an accepted change is gone (Raft, figure 8).
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
   * A leader counts its own entry before its disk has it. It and one follower crash: a change that
   * was accepted stands on no disk of a quorum.
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
   * A candidate with an old log wins because a voter didn't compare logs; committed entries that
   * only the others hold are overwritten.
   */
  @Test
  public void deniesVotesToCandidatesWithOlderLogs() {
    RaftNode voter = follower(3);
    RaftMessage.VoteRequest request = new RaftMessage.VoteRequest(B, A, 9, 1, 1, false, true);
    assertFalse(grantedVote(voter.receive(request, AFTER_ELECTION_TIMEOUT)).isPresent());
    RaftMessage.VoteRequest newer = new RaftMessage.VoteRequest(C, A, 9, 3, 1, false, true);
    List<RaftEffect> effects = voter.receive(newer, AFTER_ELECTION_TIMEOUT);
    assertFalse(grantedVote(effects).isPresent(), "a vote leaves only after the sync");
    assertTrue(grantedVote(voter.persisted(ticketOf(effects), AFTER_ELECTION_TIMEOUT)).isPresent());
  }

  /**
   * All hosts were killed and are up again; without a leader no host has a configuration, and every
   * caller is refused. A member that hears of no leader campaigns soon, and later each time: with
   * the short time alone, members that campaign side by side split the votes for ever.
   */
  @Test
  public void lengthensElectionTimeoutsWhileNoLeaderIsKnown() {
    RaftNode member = new RaftNode(A, RecoveredLog.bootstrap(GROUP), TIMING, 1, 0);
    List<Long> campaigns = new ArrayList<>();
    for (long time = 1; time <= AFTER_ELECTION_TIMEOUT; time++) {
      boolean campaigned =
          member.tick(time).stream()
              .anyMatch(
                  effect ->
                      effect instanceof RaftEffect.Send send
                          && send.message() instanceof RaftMessage.VoteRequest);
      if (campaigned) {
        campaigns.add(time);
      }
    }
    assertTrue(
        campaigns.getFirst() <= 2 * TIMING.initialElectionTimeoutMillis(), campaigns.toString());
    long lastPause = campaigns.getLast() - campaigns.get(campaigns.size() - 2);
    assertTrue(lastPause >= TIMING.electionTimeoutMillis(), campaigns.toString());
  }

  /**
   * A removed or cut-off host returns and campaigns with a high term; the healthy leader is
   * unseated again and again, and callers wait for elections.
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
   * A host lost its disk and came back. A message meant for the earlier incarnation reaches the new
   * one, which acknowledges or votes for what it doesn't hold.
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
   * A second host dies right after a repair. If the repaired one counted before it held what is
   * committed, the rest would be a quorum without the last accepted changes.
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
   * Two membership changes overlap. Their quorums need not share a voter, so two leaders can commit
   * different changes at once.
   */
  @Test
  public void rejectsOverlappingAndMultiVoterChanges() {
    RaftNode leader = electedLeader();
    commitAll(leader);
    VoterSet two = leader.voters().without(B).without(C);
    assertFalse(leader.proposeMembers(two, AFTER_ELECTION_TIMEOUT), "two voters at once");
    assertTrue(leader.proposeMembers(leader.voters().without(C), AFTER_ELECTION_TIMEOUT));
    assertFalse(
        leader.proposeMembers(
            leader.voters().withVoter(new VoterId("d", 1)), AFTER_ELECTION_TIMEOUT),
        "a second change before the first is committed");
  }

  /**
   * Found by fuzzing: a snapshot reaches a follower that holds its last entry and later ones. The
   * whole log was replaced, entries that were synced and acknowledged were gone, and a leader
   * without them could be elected.
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
   * Found by fuzzing: a part of a snapshot is lost on its way to a new host. It was never sent
   * again, since each heartbeat counted as a fresh message, and the host never caught up.
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
    assertTrue(chunks >= 3, "parts sent again: " + chunks);
  }

  /**
   * Entries are written, removed by another leader, and written again while the first write is
   * still under way. Its completion proves nothing for the third: a crash between the removal and
   * the third write loses entries that were acknowledged as synced.
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

  /** Guards against large commands exhausting memory and disk before the entry limit is reached. */
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
    List<RaftEffect> campaign =
        node.receive(new RaftMessage.VoteReply(B, A, next, true, true), AFTER_ELECTION_TIMEOUT);
    node.receive(new RaftMessage.VoteReply(B, A, next, true, false), AFTER_ELECTION_TIMEOUT);
    node.persisted(ticketOf(campaign), AFTER_ELECTION_TIMEOUT);
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
