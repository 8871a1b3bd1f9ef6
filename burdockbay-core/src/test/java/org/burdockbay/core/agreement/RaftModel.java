package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.TreeMap;

/**
 * Single-threaded simulation of a group of voters, with messages in flight and simulated disks.
 *
 * <p>It checks two invariants of Raft in {@link #recordCommit} and {@link #recordLeader}: all
 * members commit the same entry at an index, and a term has at most one leader. It also checks in
 * {@link #checkConfirmation} that a leader has applied what was committed before the time that it
 * confirms.
 */
final class RaftModel {

  static final RaftTiming TIMING = new RaftTiming(10, 60, 15, 40);

  final List<Member> members = new ArrayList<>();
  final List<RaftMessage> messagesInFlight = new ArrayList<>();
  final Map<Long, LogEntry> committed = new TreeMap<>();

  /** When each entry was first committed, by index. */
  private final TreeMap<Long, Long> commitTimes = new TreeMap<>();

  private final Map<Long, VoterId> leaders = new HashMap<>();
  private final VoterPlanner planner;
  private final boolean replacesSilentVoters;
  private final int domains;
  private long now;
  private long nextIncarnation = 100;
  private int proposals;

  /** Creates a group all of whose hosts are configured as voters. */
  RaftModel(int voters) {
    planner = VoterPlanner.forConfiguredVoters(FaultTolerance.DEFAULT, voters);
    replacesSilentVoters = false;
    domains = voters;
    addHosts(voters, voters);
  }

  /**
   * Creates a group that starts with three voters and takes as many as the tolerance requires. The
   * hosts are spread evenly over the domains.
   */
  RaftModel(int hosts, int domains, FaultTolerance tolerance) {
    planner = VoterPlanner.forTolerance(tolerance);
    replacesSilentVoters = true;
    this.domains = domains;
    addHosts(hosts, 3);
  }

  private void addHosts(int hosts, int firstVoters) {
    List<VoterId> ids = new ArrayList<>();
    for (int i = 0; i < hosts; i++) {
      ids.add(new VoterId("host-" + i, 1));
    }
    List<VoterId> voters = ids.subList(0, firstVoters);
    for (VoterId id : ids) {
      members.add(
          new Member(
              id, voters.contains(id) ? RecoveredLog.bootstrap(voters) : RecoveredLog.EMPTY));
    }
  }

  /** Returns the current time, in milliseconds, which is the same for all members. */
  long now() {
    return now;
  }

  /** Returns when an entry was first committed, in milliseconds; empty if none was. */
  OptionalLong commitTime(long index) {
    Long time = commitTimes.get(index);
    return time == null ? OptionalLong.empty() : OptionalLong.of(time);
  }

  /** Advances time for one member. */
  void tick(int member, int millis) {
    now += millis;
    Member target = members.get(member);
    if (target.isRunning()) {
      target.handleEffects(target.node.tick(now));
    }
  }

  /**
   * Delivers a message in flight.
   *
   * @param keep whether the message remains in flight, to be duplicated
   */
  void deliver(int index, boolean keep) {
    if (messagesInFlight.isEmpty()) {
      return;
    }
    RaftMessage message =
        keep
            ? messagesInFlight.get(index % messagesInFlight.size())
            : messagesInFlight.remove(index % messagesInFlight.size());
    for (Member member : members) {
      boolean reachable = !member.partitioned && !isPartitioned(message.from());
      if (member.id.equals(message.to()) && member.isRunning() && reachable) {
        member.handleEffects(member.node.receive(message, now));
      }
    }
  }

  void drop(int index) {
    if (!messagesInFlight.isEmpty()) {
      messagesInFlight.remove(index % messagesInFlight.size());
    }
  }

  void propose(int member) {
    Member target = members.get(member);
    if (target.isRunning()) {
      proposals++;
      Bytes command =
          Bytes.copyOf(("command-" + proposals).getBytes(java.nio.charset.StandardCharsets.UTF_8));
      target.node.propose(command, now);
      target.handleEffects(target.node.flush());
    }
  }

  void compact(int member) {
    Member target = members.get(member);
    if (target.isRunning()) {
      target.handleEffects(target.node.compact(target.snapshotData()));
    }
  }

  void transfer(int member) {
    Member target = members.get(member);
    if (target.isRunning()) {
      target.handleEffects(target.node.transferLeadership(now));
    }
  }

  /** Aligns the voters with the running incarnations, as the control code of the leader does. */
  void reconcile(int leader) {
    Member target = members.get(leader);
    if (!target.isRunning() || target.node.role() != RaftRole.LEADER) {
      return;
    }
    Optional<VoterSet> next = planner.nextChange(view(target));
    if (next.isPresent() && target.node.proposeMembers(next.get(), now)) {
      target.handleEffects(target.node.flush());
    }
  }

  /** Returns the running leader with the highest term. */
  Optional<Member> leader() {
    return members.stream()
        .filter(member -> member.isRunning() && member.node.role() == RaftRole.LEADER)
        .max(Comparator.comparingLong(member -> member.node.term()));
  }

  /** Returns whether the leader may accept changes, as in {@code VoterKeeper}. */
  boolean acceptsChanges(Member leader) {
    VoterPlanner.GroupView view = view(leader);
    return planner.bearsTolerance(view) || !planner.lacksVoters(view);
  }

  /** Returns the margin that the hosts report to operators. */
  FaultMargin margin(Member leader) {
    return FaultMargin.of(
        leader.node.voters(),
        leader.node.committedVoters(),
        voter -> members.stream().anyMatch(member -> member.id.equals(voter) && member.isRunning()),
        this::domainOf);
  }

  /** Returns the hosts of a failure domain. */
  List<Member> hostsOfDomain(int domain) {
    return members.stream().filter(member -> domainOf(member.id).equals("d" + domain)).toList();
  }

  private VoterPlanner.GroupView view(Member leader) {
    Map<String, String> domainByHost = new HashMap<>();
    List<MemberHost> live = new ArrayList<>();
    for (Member member : members) {
      domainByHost.put(member.id.host(), domainOf(member.id));
      if (!replacesSilentVoters || member.isRunning()) {
        live.add(new MemberHost(member.id, domainOf(member.id)));
      }
    }
    return new VoterPlanner.GroupView(
        leader.node.voters(),
        leader.id,
        live,
        domainByHost,
        leader.node::isCaughtUp,
        voter -> replacesSilentVoters && !isHostRunning(voter.host()));
  }

  private boolean isHostRunning(String host) {
    return members.stream().anyMatch(member -> member.id.host().equals(host) && member.isRunning());
  }

  private String domainOf(VoterId member) {
    int number = Integer.parseInt(member.host().substring("host-".length()));
    return "d" + number % domains;
  }

  /** Returns the state of every member, for failure messages. */
  String describe() {
    StringBuilder text = new StringBuilder("messages=" + messagesInFlight.size());
    for (Member member : members) {
      RaftNode node = member.node;
      text.append("\n  ").append(member.id).append(" ").append(node.role());
      text.append(" term=").append(node.term()).append(" leader=").append(node.leader());
      text.append(" commit=").append(node.commitIndex()).append(" last=").append(node.lastIndex());
      text.append(" members=").append(node.voters());
    }
    return text.toString();
  }

  /**
   * Runs a round without faults for the running members: advances time, completes syncs and
   * delivers the messages in flight.
   */
  void runFaultFreeRound(int millis) {
    for (int i = 0; i < members.size(); i++) {
      tick(i, millis);
      members.get(i).sync();
    }
    for (int i = messagesInFlight.size(); i > 0 && !messagesInFlight.isEmpty(); i--) {
      deliver(0, false);
    }
  }

  /** Runs fault-free rounds after the loss of a disk, in which the leader adds the new voter. */
  void runRepair() {
    for (int round = 0; round < 60; round++) {
      runFaultFreeRound(5);
      for (int i = 0; i < members.size(); i++) {
        reconcile(i);
      }
    }
  }

  /** Ends all faults and returns whether a leader then commits new entries. */
  boolean recovers() {
    for (Member member : members) {
      member.partitioned = false;
      member.paused = false;
      if (member.node == null) {
        member.restart();
      }
    }
    long before = committed.size();
    for (int round = 0; round < 600; round++) {
      runFaultFreeRound(5);
      for (int i = 0; i < members.size(); i++) {
        propose(i);
        reconcile(i);
      }
      if (committed.size() > before + 3) {
        return true;
      }
    }
    return false;
  }

  private boolean isPartitioned(VoterId sender) {
    return members.stream().anyMatch(member -> member.id.equals(sender) && member.partitioned);
  }

  private void checkConfirmation(Member leader) {
    leader
        .node
        .confirmedAt()
        .ifPresent(
            confirmedAt -> {
              Map.Entry<Long, Long> missing = commitTimes.higherEntry(leader.appliedIndex);
              if (missing != null && missing.getValue() < confirmedAt) {
                throw new AssertionError(
                    leader.id
                        + " has applied entries up to "
                        + leader.appliedIndex
                        + " and confirms "
                        + confirmedAt
                        + ", but entry "
                        + missing.getKey()
                        + " was committed at "
                        + missing.getValue());
              }
            });
  }

  private void recordCommit(VoterId member, LogEntry entry) {
    commitTimes.putIfAbsent(entry.index(), now);
    LogEntry before = committed.putIfAbsent(entry.index(), entry);
    if (before != null
        && (before.term() != entry.term() || !before.content().equals(entry.content()))) {
      throw new AssertionError(
          member + " committed " + entry + ", but " + before + " was committed at this index");
    }
  }

  private void recordLeader(VoterId member, long term) {
    VoterId before = leaders.putIfAbsent(term, member);
    if (before != null && !before.equals(member)) {
      throw new AssertionError("term " + term + " has two leaders: " + before + " and " + member);
    }
  }

  /** Host with its disk; a crash loses all unsynced writes or the last ones. */
  final class Member {

    VoterId id;
    RaftNode node;
    boolean partitioned;
    boolean paused;
    private HardState hardState;
    private Optional<Snapshot> snapshot;
    private List<LogEntry> entries;
    private final List<RaftEffect.Persist> unsynced = new ArrayList<>();
    long appliedIndex;
    private long appliedHash;

    Member(VoterId id, RecoveredLog disk) {
      this.id = id;
      setDisk(disk);
      restart();
    }

    boolean isRunning() {
      return node != null && !paused;
    }

    void crash() {
      crash(0);
    }

    /**
     * Crashes after the first unsynced writes have reached the disk, without completion reported to
     * the node.
     */
    void crash(int written) {
      unsynced.stream().limit(written).forEach(this::write);
      node = null;
      unsynced.clear();
    }

    void restartIfDown() {
      if (node == null) {
        restart();
      }
    }

    void restart() {
      RecoveredLog recovered = new RecoveredLog(hardState, snapshot, entries);
      appliedIndex = snapshot.map(Snapshot::index).orElse(0L);
      appliedHash = snapshot.map(last -> hash(last.data())).orElse(0L);
      node = new RaftNode(id, recovered, TIMING, id.hashCode() + now, now);
      unsynced.clear();
    }

    /** Loses the disk and restarts with an empty one under a new incarnation. */
    void wipeDisk() {
      crash();
      nextIncarnation++;
      id = new VoterId(id.host(), nextIncarnation);
      setDisk(RecoveredLog.EMPTY);
      restart();
    }

    /** Completes all outstanding writes. */
    void sync() {
      if (node == null || unsynced.isEmpty()) {
        return;
      }
      unsynced.forEach(this::write);
      long ticket = unsynced.getLast().ticket();
      unsynced.clear();
      handleEffects(node.persisted(ticket, now));
    }

    Bytes snapshotData() {
      return Bytes.copyOf(
          Long.toString(appliedHash).getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    void handleEffects(List<RaftEffect> effects) {
      for (RaftEffect effect : effects) {
        switch (effect) {
          case RaftEffect.Persist persist -> unsynced.add(persist);
          case RaftEffect.Send send -> messagesInFlight.add(send.message());
          case RaftEffect.Apply apply -> apply.entries().forEach(this::apply);
          case RaftEffect.Restore restore -> {
            appliedIndex = restore.snapshot().index();
            appliedHash = hash(restore.snapshot().data());
          }
          case RaftEffect.RoleChanged changed -> {
            if (changed.role() == RaftRole.LEADER) {
              recordLeader(id, changed.term());
            }
          }
        }
      }
      checkConfirmation(this);
    }

    private void apply(LogEntry entry) {
      if (entry.index() != appliedIndex + 1) {
        throw new AssertionError(id + " applied entry " + entry.index() + " after " + appliedIndex);
      }
      appliedIndex = entry.index();
      appliedHash = appliedHash * 31 + entry.content().hashCode();
      recordCommit(id, entry);
    }

    private void write(RaftEffect.Persist persist) {
      persist.hardState().ifPresent(state -> hardState = state);
      persist.snapshot().ifPresent(this::writeSnapshot);
      persist.truncateFrom().ifPresent(from -> entries.removeIf(entry -> entry.index() >= from));
      for (LogEntry entry : persist.entries()) {
        entries.removeIf(old -> old.index() >= entry.index());
        entries.add(entry);
      }
    }

    private void writeSnapshot(Snapshot taken) {
      boolean held =
          entries.stream()
              .anyMatch(entry -> entry.index() == taken.index() && entry.term() == taken.term());
      if (held) {
        entries.removeIf(entry -> entry.index() <= taken.index());
      } else {
        entries.clear();
      }
      snapshot = Optional.of(taken);
    }

    private void setDisk(RecoveredLog disk) {
      hardState = disk.hardState();
      snapshot = disk.snapshot();
      entries = new ArrayList<>(disk.entries());
    }

    private static long hash(Bytes data) {
      return Long.parseLong(new String(data.toArray(), java.nio.charset.StandardCharsets.UTF_8));
    }
  }
}
