package org.burdockbay.server.storage;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.agreement.EntryContent;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.RaftRole;
import org.burdockbay.core.agreement.RaftTiming;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterPlanner;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.server.host.StorageHosts;
import org.burdockbay.server.host.VoterKeeper;
import org.burdockbay.server.logging.EventLog;
import org.jspecify.annotations.Nullable;

/** Simulation of a group of voters, each with the stores of the product on a {@link ModelDisk}. */
final class VoterGroupModel {

  static final int STEP_MILLIS = 5;
  private static final Path DATA = Path.of("/disk/data");
  private static final long HOST_SILENCE_MILLIS = 450;
  private static final long REPLACEMENT_MILLIS = 3_000;
  private static final long VOTER_CHECK_MILLIS = 100;
  private static final long REOPEN_MILLIS = 500;
  private static final int MAX_DELAY_MILLIS = 15;

  final List<Host> hosts = new ArrayList<>();
  final Map<Long, Bytes> acknowledged = new TreeMap<>();
  final SplittableRandom random;
  final List<String> trace = new ArrayList<>();
  private final List<Delivery> deliveries = new ArrayList<>();
  private final Map<Long, LogEntry> committed = new TreeMap<>();
  private final Map<Long, Long> hashes = new TreeMap<>();
  private final FaultTolerance tolerance;
  private final List<VoterId> firstVoters = new ArrayList<>();
  private long now = 1_000;
  private long nextIncarnation = 100;
  private int proposals;

  VoterGroupModel(SplittableRandom random, int hostCount, FaultTolerance tolerance) {
    this.random = random;
    this.tolerance = tolerance;
    for (int i = 0; i < hostCount; i++) {
      if (i < 3) {
        firstVoters.add(new VoterId("h" + i, DataFolder.BOOTSTRAP_INCARNATION));
      }
      hosts.add(new Host("h" + i, i));
    }
    for (int i = 0; i < 3; i++) {
      hosts.get(i).bootstrap();
    }
    hosts.forEach(Host::start);
  }

  long now() {
    return now;
  }

  /** Advances time by one step; returns whether a change was acknowledged in it. */
  boolean step() {
    final int before = acknowledged.size();
    now += STEP_MILLIS;
    for (Host host : hosts) {
      host.guarded(host::advance);
    }
    List<Delivery> due = deliveries.stream().filter(delivery -> delivery.at <= now).toList();
    deliveries.removeAll(due);
    for (Delivery delivery : due) {
      Host from = host(delivery.message.from());
      Host to = host(delivery.message.to());
      if (!from.cutOff && !to.cutOff && to.isUp()) {
        to.guarded(() -> to.execute(to.node().receive(delivery.message, now)));
      }
    }
    return acknowledged.size() > before;
  }

  /** Proposes a change at the leader, if it accepts changes. */
  void propose() {
    leader()
        .filter(host -> !host.voters.awaitsVoters(host.node(), now))
        .ifPresent(host -> host.guarded(host::propose));
  }

  Optional<Host> leader() {
    return hosts.stream()
        .filter(host -> host.isUp() && host.node().role() == RaftRole.LEADER && !host.cutOff)
        .max((a, b) -> Long.compare(a.node().term(), b.node().term()));
  }

  /** Returns whether a leader has applied all acknowledged changes. */
  boolean hasRecovered() {
    long last = acknowledged.keySet().stream().mapToLong(Long::longValue).max().orElse(0);
    return leader().filter(host -> host.appliedIndex >= last).isPresent();
  }

  void trace(String event) {
    trace.add(now + " " + event);
  }

  String describe() {
    StringBuilder text = new StringBuilder(String.join("\n", trace));
    for (Host host : hosts) {
      text.append("\n").append(now).append(" ").append(host.describe());
    }
    return text.toString();
  }

  private Host host(VoterId id) {
    return hosts.get(Integer.parseInt(id.host().substring(1)));
  }

  private boolean isLive(Host host, Host by) {
    return host == by
        || (host.node != null
            && !host.cutOff
            && !by.cutOff
            && now - host.startedAt >= MAX_DELAY_MILLIS);
  }

  /** A host, its process and its disk. */
  final class Host {

    final String name;
    boolean cutOff;
    private final String domain;
    private ModelDisk disk;
    private long startAt;
    private long startedAt;
    private long reopenAt;
    private boolean storageFailed;
    private long nextVoterCheckAt;
    private long incarnation;
    private long appliedIndex;
    private long appliedHash;
    private @Nullable RaftNode node;
    private @Nullable LogStore store;
    private VoterKeeper voters;
    private StorageHosts storageHosts = new StorageHosts();
    private final List<RaftEffect.Persist> unwritten = new ArrayList<>();
    private final Map<Long, Long> pendingTerms = new TreeMap<>();
    private final Map<String, Long> lastLiveAt = new TreeMap<>();

    Host(String name, int number) {
      this.name = name;
      this.domain = "d" + number % 3;
      this.disk = newDisk();
      this.incarnation = DataFolder.BOOTSTRAP_INCARNATION;
      this.voters = newKeeper();
    }

    boolean isUp() {
      return node != null && !storageFailed;
    }

    RaftNode node() {
      if (node == null) {
        throw new IllegalStateException(name + " is down");
      }
      return node;
    }

    void bootstrap() {
      try {
        VoterBootstrap.createDataFolder(disk, DATA, "c", name, firstVoters);
      } catch (StorageException e) {
        throw new AssertionError(e);
      }
    }

    /** Kills the process at one of its next operations on the disk, or at once. */
    void kill(int operations, long downMillis) {
      startAt = now + downMillis;
      if (operations == 0 || node == null) {
        crash();
      } else {
        disk.killAfter(operations);
      }
    }

    /** Loses power; unsynced writes are lost, torn or kept. */
    void losePower(boolean all, long downMillis) {
      startAt = now + downMillis;
      crash();
      if (all) {
        disk.losePower();
      } else {
        disk.losePowerAtRandom();
      }
    }

    void loseDisk(long downMillis) {
      startAt = now + downMillis;
      crash();
      disk = newDisk();
      nextIncarnation++;
      incarnation = nextIncarnation;
    }

    /** Refuses operations of some kinds for a while; a number of them is accepted before. */
    void refuse(int operations) {
      Set<ModelDisk.Refusal> kinds = EnumSet.noneOf(ModelDisk.Refusal.class);
      for (ModelDisk.Refusal kind : ModelDisk.Refusal.values()) {
        if (random.nextInt(3) == 0) {
          kinds.add(kind);
        }
      }
      disk.refuseAfter(random.nextInt(4), kinds, operations);
    }

    void acceptAll() {
      disk.acceptAll();
    }

    private ModelDisk newDisk() {
      ModelDisk created = new ModelDisk(random.nextLong());
      created.createDurableFolder(DATA.getParent());
      return created;
    }

    private VoterKeeper newKeeper() {
      return new VoterKeeper(
          VoterPlanner.forTolerance(tolerance),
          storageHosts,
          host -> now - lastLiveAt.getOrDefault(host, startedAt) > REPLACEMENT_MILLIS,
          new EventLog("test"),
          now);
    }

    private void crash() {
      node = null;
      store = null;
      storageFailed = false;
      unwritten.clear();
      pendingTerms.clear();
    }

    private void guarded(Action action) {
      try {
        action.run();
      } catch (ModelDisk.ProcessKilled e) {
        startAt = Math.max(startAt, now + 1);
        crash();
      } catch (StorageException e) {
        storageRefused(e);
      }
    }

    private void storageRefused(StorageException e) {
      if (e.fault() != StorageException.Fault.FAILED) {
        throw new AssertionError(name + " gives up its folder: " + e, e);
      }
      if (node == null) {
        startAt = now + REOPEN_MILLIS;
        return;
      }
      storageFailed = true;
      unwritten.clear();
      pendingTerms.clear();
      reopenAt = now + REOPEN_MILLIS;
    }

    private void start() {
      disk.restart();
      guarded(this::open);
    }

    private void open() throws StorageException {
      try (DataFolder folder = DataFolder.openOrCreate(disk, DATA, "c", name, incarnation)) {
        final LogStore opened =
            new LogStore(disk, folder.groupFolder(GroupId.CONTROL.number()), GroupId.CONTROL);
        if (folder.incarnation() != incarnation) {
          throw new AssertionError(name + " has lost its identity");
        }
        storageHosts = new StorageHosts();
        startedAt = now;
        lastLiveAt.clear();
        voters = newKeeper();
        use(opened);
      }
    }

    private void use(LogStore opened) {
      store = opened;
      storageFailed = false;
      RecoveredLog recovered = opened.recoveredLog();
      appliedIndex = 0;
      appliedHash = 0;
      VoterId self = new VoterId(name, incarnation);
      node = new RaftNode(self, recovered, RaftTiming.DEFAULT, random.nextLong(), now);
      recovered.snapshot().ifPresent(this::restore);
      trace(name + " opens " + describe());
    }

    private void advance() throws StorageException {
      if (node == null) {
        if (now >= startAt) {
          start();
        }
        return;
      }
      LogStore current = store;
      if (storageFailed) {
        if (now >= reopenAt && current != null) {
          use(current.reopen());
        }
        return;
      }
      execute(node().tick(now));
      if (current != null && !unwritten.isEmpty() && random.nextInt(3) > 0) {
        List<RaftEffect.Persist> batch = List.copyOf(unwritten);
        unwritten.clear();
        current.write(batch);
        execute(node().persisted(batch.getLast().ticket(), now));
      }
      if (random.nextInt(400) == 0) {
        execute(
            node()
                .compact(
                    Bytes.copyOf(Long.toString(appliedHash).getBytes(StandardCharsets.UTF_8))));
      }
      if (now >= nextVoterCheckAt) {
        nextVoterCheckAt = now + VOTER_CHECK_MILLIS;
        checkVoters();
      }
    }

    private void checkVoters() {
      List<HostStatus> statuses = new ArrayList<>();
      for (Host other : hosts) {
        if (isLive(other, this)) {
          lastLiveAt.put(other.name, now);
          statuses.add(other.status());
        } else if (now - lastLiveAt.getOrDefault(other.name, 0L) < HOST_SILENCE_MILLIS) {
          statuses.add(other.status());
        }
      }
      storageHosts.update(statuses, now);
      if (node().role() == RaftRole.LEADER && voters.reconcile(node(), now)) {
        execute(node().flush());
      }
    }

    private HostStatus status() {
      long storageIncarnation = storageFailed ? 0 : incarnation;
      return new HostStatus(
          name, domain, 1, storageIncarnation, 0, 0, 0, false, "", new DomainLoad(0, 0));
    }

    private void propose() {
      proposals++;
      Bytes command = Bytes.copyOf(("change-" + proposals).getBytes(StandardCharsets.UTF_8));
      node().propose(command, now).ifPresent(index -> pendingTerms.put(index, node().term()));
      execute(node().flush());
    }

    private void execute(List<RaftEffect> effects) {
      for (RaftEffect effect : effects) {
        switch (effect) {
          case RaftEffect.Persist persist -> unwritten.add(persist);
          case RaftEffect.Send send -> send(send.message());
          case RaftEffect.Apply apply -> apply.entries().forEach(this::apply);
          case RaftEffect.Restore restore -> restore(restore.snapshot());
          case RaftEffect.RoleChanged changed -> {
            trace(name + " is " + changed.role() + " in term " + changed.term());
            if (changed.role() != RaftRole.LEADER) {
              pendingTerms.clear();
            }
          }
        }
      }
    }

    private void send(RaftMessage message) {
      deliveries.add(new Delivery(now + random.nextInt(MAX_DELAY_MILLIS), message));
    }

    private void restore(Snapshot snapshot) {
      appliedIndex = snapshot.index();
      appliedHash = Long.parseLong(new String(snapshot.data().toArray(), StandardCharsets.UTF_8));
      checkHash();
    }

    private void apply(LogEntry entry) {
      if (entry.index() != appliedIndex + 1) {
        throw new AssertionError(name + " applies " + entry.index() + " after " + appliedIndex);
      }
      appliedIndex = entry.index();
      appliedHash = appliedHash * 31 + entry.content().hashCode();
      LogEntry before = committed.putIfAbsent(entry.index(), entry);
      if (before != null && !before.equals(entry)) {
        throw new AssertionError(name + " applies " + entry + ", another host applied " + before);
      }
      checkHash();
      Long term = pendingTerms.remove(entry.index());
      if (term != null
          && term == entry.term()
          && entry.content() instanceof EntryContent.Command command) {
        acknowledged.put(entry.index(), command.data());
      }
    }

    private void checkHash() {
      Long before = hashes.putIfAbsent(appliedIndex, appliedHash);
      if (before != null && before != appliedHash) {
        throw new AssertionError(name + " has another state at " + appliedIndex);
      }
    }

    private String describe() {
      if (node == null) {
        return name + " down until " + startAt;
      }
      return name
          + "#"
          + incarnation
          + (storageFailed ? " storage failed " : " ")
          + node.role()
          + " term="
          + node.term()
          + " last="
          + node.lastIndex()
          + " commit="
          + node.commitIndex()
          + " members="
          + node.voters();
    }
  }

  private record Delivery(long at, RaftMessage message) {}

  /** Something that a process does, which its disk may refuse. */
  private interface Action {
    void run() throws StorageException;
  }
}
