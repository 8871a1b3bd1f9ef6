package org.burdockbay.core.agreement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import org.jspecify.annotations.Nullable;

/**
 * Member of an agreement group.
 *
 * <p>Pre-vote and the step-down of a leader without a quorum follow Ongaro's thesis (2014, sections
 * 9.6 and 6.2); single-server membership changes follow section 4.1.
 *
 * <p>This class is not thread-safe; it is confined to the control thread.
 */
public final class RaftNode {

  /**
   * Maximum number of applied entries retained after a snapshot, so that lagging members can catch
   * up without the snapshot.
   */
  private static final int MAX_TRAILING_ENTRIES = 2_000;

  /**
   * Size of the commands in the retained entries, in bytes, at which no older entry is retained.
   */
  private static final long MAX_TRAILING_BYTES = 1024 * 1024;

  /** Number of entries applied since the last snapshot that makes a new snapshot due. */
  static final long COMPACTION_THRESHOLD_ENTRIES = 10_000;

  /**
   * Size of the commands applied since the last snapshot, in bytes, that makes a new snapshot due.
   */
  static final long COMPACTION_THRESHOLD_BYTES = 4 * 1024 * 1024;

  private final VoterId self;
  private final RaftTiming timing;
  private final RaftLog log;
  private final SplittableRandom random;
  private final LeaderReplication replication;
  private final Deque<PendingPersist> pendingPersists = new ArrayDeque<>();
  private final Set<VoterId> votes = new HashSet<>();
  private List<RaftEffect> effects = new ArrayList<>();
  private List<RaftMessage> messagesAwaitingSync = new ArrayList<>();

  private HardState hardState;
  private boolean hardStateChanged;
  private OptionalLong truncateFrom = OptionalLong.empty();
  private List<LogEntry> unpersistedEntries = new ArrayList<>();
  private @Nullable Snapshot unpersistedSnapshot;
  private Optional<Snapshot> snapshot;
  private @Nullable IncomingSnapshot incomingSnapshot;

  private RaftRole role = RaftRole.FOLLOWER;
  private Optional<VoterId> leader = Optional.empty();
  private long commitIndex;
  private long appliedIndex;
  private long bytesSinceSnapshot;
  private long syncedIndex;
  private long syncedTerm;
  private long lastTicket;

  /**
   * Ticket of the last write that truncates the log. An earlier write may contain the same entries
   * as a later one; counting them as synced would acknowledge entries that the truncation is about
   * to remove.
   */
  private long truncationTicket;

  private long electionTimeoutAt;
  private long lastLeaderContactAt = Long.MIN_VALUE / 2;

  /** Whether a leader, possibly this member itself, has been known since the start. */
  private boolean hasKnownLeader;

  /** Number of election timeouts set since the start, while no leader has been known. */
  private int initialElectionTimeouts;

  private long leaderStartedAt;
  private long leaderBaseTimeMillis;
  private long transferTimeoutAt;
  private long now;

  /**
   * Creates a member from the content of its data folder.
   *
   * @param seed seed for the randomized election timeouts
   * @param now current time, in milliseconds
   */
  public RaftNode(VoterId self, RecoveredLog recovered, RaftTiming timing, long seed, long now) {
    this.self = self;
    this.timing = timing;
    this.log = new RaftLog(recovered);
    this.random = new SplittableRandom(seed);
    this.replication = new LeaderReplication(this, log, timing);
    this.hardState = recovered.hardState();
    this.snapshot = recovered.snapshot();
    this.commitIndex = log.baseIndex();
    this.appliedIndex = log.baseIndex();
    this.syncedIndex = log.lastIndex();
    this.syncedTerm = hardState.term();
    this.now = now;
    resetElectionTimeout();
  }

  /** Handles a message from another member. */
  public List<RaftEffect> receive(RaftMessage message, long time) {
    now = Math.max(now, time);
    if (!message.to().equals(self)) {
      // Addressed to an earlier incarnation of this host's data folder.
      return flush();
    }
    switch (message) {
      case RaftMessage.VoteRequest request -> handleVoteRequest(request);
      case RaftMessage.VoteReply reply -> handleVoteReply(reply);
      case RaftMessage.AppendRequest request -> handleAppendRequest(request);
      case RaftMessage.AppendReply reply -> {
        if (checkReplyTerm(reply)) {
          replication.handleAppendReply(reply, now);
          advanceCommit();
        }
      }
      case RaftMessage.SnapshotChunk chunk -> handleSnapshotChunk(chunk);
      case RaftMessage.SnapshotReply reply -> {
        if (checkReplyTerm(reply)) {
          replication.handleSnapshotReply(reply, now);
        }
      }
      case RaftMessage.TimeoutNow timeout -> {
        if (timeout.term() == hardState.term() && log.voters().isVoter(self)) {
          startElection(true);
        }
      }
    }
    return flush();
  }

  /** Advances time, which drives elections, heartbeats and the leader's quorum check. */
  public List<RaftEffect> tick(long time) {
    now = Math.max(now, time);
    if (role == RaftRole.LEADER) {
      if (!replication.hasQuorumContact(self, now)) {
        // Without contact to a quorum this leader can't commit entries, and another leader may be
        // elected on the other side of a network partition. It must step down on its own.
        becomeFollower(hardState.term(), Optional.empty());
      } else {
        replication.tick(now);
      }
    } else if (now >= electionTimeoutAt && log.voters().isVoter(self)) {
      startPreVote();
    }
    return flush();
  }

  /** Handles the completion of all writes and syncs up to a ticket. */
  public List<RaftEffect> persisted(long ticket, long time) {
    now = Math.max(now, time);
    while (!pendingPersists.isEmpty() && pendingPersists.peek().ticket <= ticket) {
      PendingPersist done = pendingPersists.remove();
      if (done.ticket >= truncationTicket) {
        syncedIndex = Math.max(syncedIndex, done.lastIndex);
      }
      syncedTerm = Math.max(syncedTerm, done.term);
      done.messages.forEach(this::sendAfterSync);
    }
    if (role == RaftRole.CANDIDATE && syncedTerm == hardState.term()) {
      countVote(self);
    }
    advanceCommit();
    return flush();
  }

  /**
   * Appends a command if this member is the leader. {@link #flush} starts the replication, so that
   * several proposals share one message and one sync.
   *
   * @return the index of the entry, or empty if this member isn't the leader or is transferring
   *     leadership
   */
  public OptionalLong propose(Bytes command, long time) {
    now = Math.max(now, time);
    if (role != RaftRole.LEADER || now < transferTimeoutAt) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(appendAsLeader(new EntryContent.Command(command)));
  }

  /**
   * Changes the members by at most one voter, if this member is the leader and the previous change
   * is committed.
   *
   * @return whether the change was appended
   */
  public boolean proposeMembers(VoterSet next, long time) {
    now = Math.max(now, time);
    boolean previousChangeCommitted =
        log.votersIndex() <= commitIndex && log.term(commitIndex) == hardState.term();
    if (role != RaftRole.LEADER
        || !previousChangeCommitted
        || !log.voters().isSingleVoterChange(next)) {
      return false;
    }
    appendAsLeader(new EntryContent.Members(next));
    return true;
  }

  /** Transfers leadership to the most up-to-date other voter; used by a planned stop. */
  public List<RaftEffect> transferLeadership(long time) {
    now = Math.max(now, time);
    if (role == RaftRole.LEADER && now >= transferTimeoutAt) {
      replication
          .transferTarget(self)
          .ifPresent(
              successor -> {
                transferTimeoutAt = now + timing.electionTimeoutMillis();
                send(new RaftMessage.TimeoutNow(self, successor, hardState.term()));
              });
    }
    return flush();
  }

  /**
   * Replaces the applied part of the log by a snapshot.
   *
   * @param state encoded state of the state machine after the last applied entry
   */
  public List<RaftEffect> compact(Bytes state) {
    if (appliedIndex <= log.baseIndex()
        || snapshot.map(last -> last.index() >= appliedIndex).orElse(false)) {
      return flush();
    }
    LogEntry last = log.entry(appliedIndex);
    Snapshot taken =
        new Snapshot(
            appliedIndex, last.term(), last.timeMillis(), log.votersAt(appliedIndex), state);
    snapshot = Optional.of(taken);
    unpersistedSnapshot = taken;
    bytesSinceSnapshot = 0;
    log.compact(log.compactionIndex(appliedIndex, MAX_TRAILING_ENTRIES, MAX_TRAILING_BYTES));
    return flush();
  }

  /** Returns the effects requested since the last call. */
  public List<RaftEffect> flush() {
    if (role == RaftRole.LEADER) {
      replication.replicate(now);
    }
    persist();
    apply();
    List<RaftEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** Returns the id of this member. */
  public VoterId self() {
    return self;
  }

  /** Returns the current role. */
  public RaftRole role() {
    return role;
  }

  /** Returns the current term. */
  public long term() {
    return hardState.term();
  }

  /** Returns the leader known to this member, if any. */
  public Optional<VoterId> leader() {
    return leader;
  }

  /** Returns the members, including a change that isn't committed yet. */
  public VoterSet voters() {
    return log.voters();
  }

  /** Returns the members at the highest index known to be committed. */
  public VoterSet committedVoters() {
    return log.votersAt(commitIndex);
  }

  /** Returns the highest index known to be committed. */
  public long commitIndex() {
    return commitIndex;
  }

  /**
   * Returns the latest time, in milliseconds, before which no other leader can have committed an
   * entry that this member, the leader, hasn't applied; empty if there is none.
   *
   * <p>This is the confirmation of leadership for linearizable reads of Ongaro's thesis (section
   * 6.4). It counts from when the requests were sent, so a delay of this member's processor or of a
   * reply can't make it later than it is.
   */
  public OptionalLong confirmedAt() {
    boolean upToDate =
        role == RaftRole.LEADER
            && appliedIndex == commitIndex
            && log.term(commitIndex) == hardState.term();
    long confirmed = upToDate ? replication.quorumConfirmedAt(self, now) : Long.MIN_VALUE;
    return confirmed == Long.MIN_VALUE ? OptionalLong.empty() : OptionalLong.of(confirmed);
  }

  /** Returns the index of the last log entry. */
  public long lastIndex() {
    return log.lastIndex();
  }

  /**
   * Returns whether a new snapshot is due. The limits on entries and bytes bound the replay after a
   * restart and the memory and disk space used by the log.
   */
  public boolean isCompactionDue() {
    return entriesSinceSnapshot() >= COMPACTION_THRESHOLD_ENTRIES
        || bytesSinceSnapshot >= COMPACTION_THRESHOLD_BYTES;
  }

  /** Returns the number of log entries held in memory, applied or not. */
  long entriesInMemory() {
    return log.lastIndex() - log.baseIndex();
  }

  /** Returns the number of applied entries that a restart would replay. */
  public long entriesSinceSnapshot() {
    return appliedIndex - snapshot.map(Snapshot::index).orElse(0L);
  }

  /** Returns whether a learner has synced all committed entries. */
  public boolean isCaughtUp(VoterId learner) {
    return role == RaftRole.LEADER
        && log.term(commitIndex) == hardState.term()
        && replication.matchIndex(learner) >= commitIndex;
  }

  Optional<Snapshot> snapshot() {
    return snapshot;
  }

  void send(RaftMessage message) {
    effects.add(new RaftEffect.Send(message));
  }

  private void handleVoteRequest(RaftMessage.VoteRequest request) {
    boolean isLeaderAlive =
        role == RaftRole.LEADER || now - lastLeaderContactAt < timing.electionTimeoutMillis();
    boolean newerTerm = request.term() > hardState.term();
    if (isLeaderAlive && !request.transfer()) {
      // A member that alone lost contact to the leader, or was removed, must not disrupt a working
      // leader.
      replyToVoteRequest(request, false);
      return;
    }
    if (newerTerm && !request.preVote()) {
      becomeFollower(request.term(), Optional.empty());
    }
    boolean upToDate =
        request.lastLogTerm() > log.lastTerm()
            || (request.lastLogTerm() == log.lastTerm()
                && request.lastLogIndex() >= log.lastIndex());
    if (request.preVote()) {
      replyToVoteRequest(request, newerTerm && upToDate);
      return;
    }
    boolean canVote =
        request.term() == hardState.term()
            && hardState.votedFor().map(request.from()::equals).orElse(true);
    boolean granted = canVote && upToDate;
    if (granted && hardState.votedFor().isEmpty()) {
      setHardState(new HardState(hardState.term(), Optional.of(request.from())));
      resetElectionTimeout();
    }
    replyToVoteRequest(request, granted);
  }

  private void replyToVoteRequest(RaftMessage.VoteRequest request, boolean granted) {
    long term = request.preVote() && granted ? request.term() : hardState.term();
    RaftMessage.VoteReply reply =
        new RaftMessage.VoteReply(self, request.from(), term, granted, request.preVote());
    if (granted && !request.preVote()) {
      // A vote that isn't durable could be granted again after a crash, to another candidate.
      messagesAwaitingSync.add(reply);
    } else {
      send(reply);
    }
  }

  private void handleVoteReply(RaftMessage.VoteReply reply) {
    if (reply.preVote() && reply.granted()) {
      if (role == RaftRole.PRE_CANDIDATE && reply.term() == hardState.term() + 1) {
        votes.add(reply.from());
        if (log.voters().hasQuorum(votes::contains)) {
          startElection(false);
        }
      }
      return;
    }
    if (reply.term() > hardState.term()) {
      becomeFollower(reply.term(), Optional.empty());
    } else if (role == RaftRole.CANDIDATE
        && reply.granted()
        && !reply.preVote()
        && reply.term() == hardState.term()) {
      countVote(reply.from());
    }
  }

  private void startPreVote() {
    changeRole(RaftRole.PRE_CANDIDATE, Optional.empty());
    votes.clear();
    votes.add(self);
    resetElectionTimeout();
    if (log.voters().hasQuorum(votes::contains)) {
      startElection(false);
    } else {
      requestVotes(hardState.term() + 1, true, false);
    }
  }

  private void startElection(boolean transfer) {
    setHardState(new HardState(hardState.term() + 1, Optional.of(self)));
    changeRole(RaftRole.CANDIDATE, Optional.empty());
    votes.clear();
    resetElectionTimeout();
    requestVotes(hardState.term(), false, transfer);
  }

  private void requestVotes(long term, boolean preVote, boolean transfer) {
    for (VoterId voter : log.voters().voters()) {
      if (!voter.equals(self)) {
        send(
            new RaftMessage.VoteRequest(
                self, voter, term, log.lastIndex(), log.lastTerm(), preVote, transfer));
      }
    }
  }

  private void countVote(VoterId voter) {
    votes.add(voter);
    // This member's own vote counts only once it is synced, like all other votes.
    if (votes.contains(self) && log.voters().hasQuorum(votes::contains)) {
      becomeLeader();
    }
  }

  private void becomeLeader() {
    changeRole(RaftRole.LEADER, Optional.of(self));
    hasKnownLeader = true;
    leaderStartedAt = now;
    leaderBaseTimeMillis = log.lastTimeMillis();
    transferTimeoutAt = 0;
    replication.start(self, now);
    appendAsLeader(new EntryContent.Noop());
  }

  private void becomeFollower(long term, Optional<VoterId> newLeader) {
    if (term > hardState.term()) {
      setHardState(new HardState(term, Optional.empty()));
    }
    resetElectionTimeout();
    changeRole(RaftRole.FOLLOWER, newLeader);
  }

  private void changeRole(RaftRole newRole, Optional<VoterId> newLeader) {
    if (role != newRole || !leader.equals(newLeader)) {
      role = newRole;
      leader = newLeader;
      effects.add(new RaftEffect.RoleChanged(role, hardState.term(), leader));
    }
  }

  private boolean checkReplyTerm(RaftMessage reply) {
    if (reply.term() > hardState.term()) {
      becomeFollower(reply.term(), Optional.empty());
    }
    return role == RaftRole.LEADER && reply.term() == hardState.term();
  }

  private boolean acceptLeader(RaftMessage message) {
    if (message.term() < hardState.term()) {
      return false;
    }
    lastLeaderContactAt = now;
    hasKnownLeader = true;
    becomeFollower(message.term(), Optional.of(message.from()));
    return true;
  }

  private void handleAppendRequest(RaftMessage.AppendRequest request) {
    if (!acceptLeader(request)) {
      rejectAppend(request, log.lastIndex() + 1);
      return;
    }
    if (request.prevLogIndex() > log.lastIndex()) {
      rejectAppend(request, log.lastIndex() + 1);
      return;
    }
    if (request.prevLogIndex() >= log.baseIndex()
        && log.term(request.prevLogIndex()) != request.prevLogTerm()) {
      rejectAppend(request, firstIndexOfTerm(request.prevLogIndex()));
      return;
    }
    for (LogEntry entry : request.entries()) {
      if (entry.index() > log.baseIndex() && log.term(entry.index()) != entry.term()) {
        if (entry.index() <= log.lastIndex()) {
          truncate(entry.index());
        }
        log.append(entry);
        unpersistedEntries.add(entry);
      }
    }
    long lastNew = request.prevLogIndex() + request.entries().size();
    commitIndex = Math.max(commitIndex, Math.min(request.commitIndex(), lastNew));
    acknowledge(request.from(), lastNew, request.sentAtMillis());
  }

  /**
   * Acknowledges synced entries immediately, so that a slow sync doesn't appear as a failed member,
   * and the remaining entries after their sync.
   */
  private void acknowledge(VoterId to, long lastNew, long requestSentAt) {
    send(
        new RaftMessage.AppendReply(
            self, to, hardState.term(), true, Math.min(lastNew, syncedIndex), requestSentAt));
    if (lastNew > syncedIndex) {
      messagesAwaitingSync.add(
          new RaftMessage.AppendReply(self, to, hardState.term(), true, lastNew, requestSentAt));
    }
  }

  private void rejectAppend(RaftMessage.AppendRequest request, long nextIndex) {
    send(
        new RaftMessage.AppendReply(
            self,
            request.from(),
            hardState.term(),
            false,
            Math.max(nextIndex, commitIndex + 1),
            request.sentAtMillis()));
  }

  private long firstIndexOfTerm(long index) {
    long term = log.term(index);
    long first = index;
    while (first - 1 > log.baseIndex() && log.term(first - 1) == term) {
      first--;
    }
    return first;
  }

  private void truncate(long index) {
    if (index <= commitIndex) {
      throw new IllegalStateException(
          self + ": can't truncate the log from " + index + ", committed up to " + commitIndex);
    }
    log.truncateFrom(index);
    syncedIndex = Math.min(syncedIndex, index - 1);
    truncationTicket = lastTicket + 1;
    unpersistedEntries.removeIf(entry -> entry.index() >= index);
    truncateFrom = OptionalLong.of(Math.min(index, truncateFrom.orElse(Long.MAX_VALUE)));
  }

  private void handleSnapshotChunk(RaftMessage.SnapshotChunk chunk) {
    if (!acceptLeader(chunk)) {
      return;
    }
    Snapshot part = chunk.snapshot();
    if (part.index() <= commitIndex) {
      acknowledge(chunk.from(), Math.min(part.index(), log.lastIndex()), 0);
      return;
    }
    if (log.term(part.index()) == part.term()) {
      // The log contains the snapshot's last entry and may contain later, acknowledged ones.
      // Replacing the log would discard those, and a leader without them could be elected.
      commitIndex = part.index();
      acknowledge(chunk.from(), part.index(), 0);
      return;
    }
    if (incomingSnapshot == null || incomingSnapshot.index != part.index() || chunk.offset() == 0) {
      incomingSnapshot = new IncomingSnapshot(part.index());
    }
    if (chunk.offset() == incomingSnapshot.data.size()) {
      incomingSnapshot.data = incomingSnapshot.data.concat(part.data());
    }
    if (incomingSnapshot.data.size() == chunk.totalSize()) {
      installSnapshot(
          new Snapshot(
              part.index(), part.term(), part.timeMillis(), part.voters(), incomingSnapshot.data));
      incomingSnapshot = null;
      acknowledge(chunk.from(), part.index(), 0);
    } else {
      send(
          new RaftMessage.SnapshotReply(
              self, chunk.from(), hardState.term(), part.index(), incomingSnapshot.data.size()));
    }
  }

  private void installSnapshot(Snapshot installed) {
    log.reset(installed);
    snapshot = Optional.of(installed);
    unpersistedSnapshot = installed;
    unpersistedEntries = new ArrayList<>();
    truncateFrom = OptionalLong.empty();
    syncedIndex = 0;
    truncationTicket = lastTicket + 1;
    commitIndex = installed.index();
    appliedIndex = installed.index();
    bytesSinceSnapshot = 0;
    effects.add(new RaftEffect.Restore(installed));
  }

  private long appendAsLeader(EntryContent content) {
    long time = leaderBaseTimeMillis + (now - leaderStartedAt);
    LogEntry entry = new LogEntry(log.lastIndex() + 1, hardState.term(), time, content);
    log.append(entry);
    unpersistedEntries.add(entry);
    return entry.index();
  }

  private void advanceCommit() {
    if (role != RaftRole.LEADER) {
      return;
    }
    long quorumIndex = replication.quorumIndex(self, syncedIndex);
    // Only entries of the current term are committed by counting replicas; they also commit all
    // preceding entries.
    if (quorumIndex > commitIndex && log.term(quorumIndex) == hardState.term()) {
      commitIndex = quorumIndex;
    }
    boolean removed = !log.voters().isVoter(self) && log.votersIndex() <= commitIndex;
    if (removed) {
      becomeFollower(hardState.term(), Optional.empty());
    }
  }

  private void setHardState(HardState changed) {
    hardState = changed;
    hardStateChanged = true;
  }

  /**
   * Sets the time at which this member starts an election unless a leader contacts it.
   *
   * <p>A member that has just started uses a short timeout, because after a crash of all hosts no
   * configuration is available until a leader is elected. If a leader is alive, the other members
   * deny the pre-vote without side effects. The timeout doubles with each attempt: if it were too
   * short for messages and syncs, concurrent candidates would split the votes indefinitely.
   */
  private void resetElectionTimeout() {
    long shortest = timing.electionTimeoutMillis();
    if (!hasKnownLeader) {
      shortest =
          Math.min(
              shortest,
              timing.initialElectionTimeoutMillis() << Math.min(initialElectionTimeouts, 8));
      initialElectionTimeouts++;
    }
    electionTimeoutAt = now + shortest + random.nextLong(shortest);
  }

  private void persist() {
    boolean nothingToPersist =
        !hardStateChanged
            && unpersistedEntries.isEmpty()
            && truncateFrom.isEmpty()
            && unpersistedSnapshot == null;
    if (nothingToPersist) {
      if (pendingPersists.isEmpty()) {
        messagesAwaitingSync.forEach(this::sendAfterSync);
        messagesAwaitingSync = new ArrayList<>();
      } else if (!messagesAwaitingSync.isEmpty()) {
        pendingPersists.peekLast().messages.addAll(messagesAwaitingSync);
        messagesAwaitingSync = new ArrayList<>();
      }
      return;
    }
    lastTicket++;
    pendingPersists.add(
        new PendingPersist(lastTicket, log.lastIndex(), hardState.term(), messagesAwaitingSync));
    effects.add(
        new RaftEffect.Persist(
            lastTicket,
            hardStateChanged ? Optional.of(hardState) : Optional.empty(),
            Optional.ofNullable(unpersistedSnapshot),
            truncateFrom,
            unpersistedEntries));
    messagesAwaitingSync = new ArrayList<>();
    hardStateChanged = false;
    unpersistedEntries = new ArrayList<>();
    truncateFrom = OptionalLong.empty();
    unpersistedSnapshot = null;
  }

  /**
   * Sends a message that waited for a sync, unless the term has changed or the acknowledged entries
   * have been truncated since.
   */
  private void sendAfterSync(RaftMessage message) {
    boolean stale =
        message.term() != hardState.term()
            || (message instanceof RaftMessage.AppendReply reply && reply.index() > syncedIndex);
    if (!stale) {
      send(message);
    }
  }

  private void apply() {
    if (appliedIndex >= commitIndex) {
      return;
    }
    List<LogEntry> committed = new ArrayList<>();
    while (appliedIndex < commitIndex) {
      appliedIndex++;
      LogEntry entry = log.entry(appliedIndex);
      bytesSinceSnapshot += entry.commandBytes();
      committed.add(entry);
    }
    effects.add(new RaftEffect.Apply(committed));
  }

  private static final class IncomingSnapshot {

    private final long index;
    private Bytes data = Bytes.EMPTY;

    IncomingSnapshot(long index) {
      this.index = index;
    }
  }

  private record PendingPersist(
      long ticket, long lastIndex, long term, List<RaftMessage> messages) {}
}
