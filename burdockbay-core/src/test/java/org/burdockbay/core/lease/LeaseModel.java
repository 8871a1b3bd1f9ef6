package org.burdockbay.core.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/**
 * Hosts, upstreams, callers and the network between them in simulated time, and the oracle: no two
 * runs of a task overlap, refused work has not run, completed work has, and everybody who waits is
 * answered.
 */
final class LeaseModel {

  static final int TASK_CPU = 14_000;

  private static final List<String> DOMAINS = List.of("north", "south", "east");
  private static final long FAULT_SEED_MASK = 0x5DEECE66DL;

  private static final long CALLER_RETRY_DELAY_MILLIS = 1_300;
  static final long CALLER_TIMEOUT_MILLIS = 2_500;

  /** Time after the last fault by which callers are served again, by the stated aim. */
  static final long MAX_RECOVERY_MILLIS = 12_000;

  private static final long RECONNECT_INTERVAL_MILLIS = 100;
  private static final long MAX_RUN_MILLIS = 900;
  private static final long MAX_HANDLING_MILLIS = 200;

  private final SplittableRandom random;
  private final SplittableRandom faultRandom;
  private final Network network;
  private final ShardLayout layout;
  private final Map<Set<ModelEntryHost>, Link> links = new HashMap<>();
  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private final Map<TaskId, ModelUpstream> runningOn = new HashMap<>();
  private final Map<TaskId, Integer> finishedRuns = new HashMap<>();
  private final Set<String> startedWork = new HashSet<>();
  private final Set<String> refusedWork = new HashSet<>();

  /** Work whose first submission got no answer; a refusal of a later one says nothing about it. */
  private final Set<String> resubmittedWork = new HashSet<>();

  final Map<String, ModelEntryHost> hosts = new LinkedHashMap<>();
  final List<ModelUpstream> upstreams = new ArrayList<>();
  final Set<String> isolatedDomains = new HashSet<>();

  /** Whether connections between hosts break, and hosts are told. */
  boolean breaksConnections;

  /**
   * Whether what one host sends to another arrives in that order, and is lost with the connection.
   * Otherwise each submission and cancellation takes a time of its own.
   */
  boolean orderedDelivery;

  /** Share of calls to upstreams that aren't answered and carried out seconds later. */
  double delayedCallShare;

  /** Share of calls to upstreams that are carried out and whose answer is lost. */
  double lostAnswerShare;

  /** What handling an event takes of a host's processor, in microseconds; 0 for no limit. */
  long eventMicros;

  /** Whether the fleet is as large as the layout is meant for; in half of the plays only later. */
  private boolean isFullSize;

  int answers;
  int completed;
  int starts;
  private long now;
  private long sequence;
  private int submittedWork;
  private boolean faultsEnded;

  LeaseModel(
      long seed, Network network, ShardLayout layout, int hostsInDomain, int upstreamsInDomain) {
    this(seed, network, layout, hostsInDomain, upstreamsInDomain, 1_000_000);
  }

  /** Creates a model that begins at a time of day, in milliseconds since 1970. */
  LeaseModel(
      long seed,
      Network network,
      ShardLayout layout,
      int hostsInDomain,
      int upstreamsInDomain,
      long beginsAtMillis) {
    now = beginsAtMillis;
    random = new SplittableRandom(seed);
    faultRandom = new SplittableRandom(seed ^ FAULT_SEED_MASK);
    this.network = network;
    this.layout = layout;
    this.isFullSize = (seed & 2) == 0;
    int number = 0;
    for (String domain : DOMAINS) {
      for (int i = 0; i < hostsInDomain; i++) {
        number++;
        ModelEntryHost host = new ModelEntryHost(this, "10.0.0." + number, domain);
        hosts.put(host.name, host);
      }
      for (int i = 0; i < upstreamsInDomain; i++) {
        double rate = random.nextBoolean() ? 1 : LeaseTiming.MIN_CLOCK_RATE;
        upstreams.add(new ModelUpstream(this, "u-" + domain + i, domain, rate));
      }
    }
    hosts.values().forEach(ModelEntryHost::start);
    upstreams.forEach(this::announcePeriodically);
    advance(1_500);
  }

  long now() {
    return now;
  }

  SplittableRandom random() {
    return random;
  }

  /** Random numbers of the faults that came later, so that earlier plays stay as they were. */
  SplittableRandom faultRandom() {
    return faultRandom;
  }

  /** Lets the fleet grow, so that hosts divide it as they hear of its upstreams. */
  void growFleet() {
    isFullSize = true;
  }

  /** Returns the layout that suits the fleet as large as it is by now. */
  ShardLayout layout() {
    return isFullSize ? layout : ShardLayout.UNDIVIDED;
  }

  Link link(ModelEntryHost one, ModelEntryHost other) {
    return links.computeIfAbsent(Set.of(one, other), pair -> new Link());
  }

  /** Resets the connections between two hosts; what is on its way is lost. */
  void resetConnections(ModelEntryHost one, ModelEntryHost other, long millis) {
    Link link = link(one, other);
    if (!link.down) {
      trace("faults", "reset " + one.name + " " + other.name + " millis=" + millis);
      link.down = true;
      link.generation++;
      link.channels.clear();
      schedule(millis, () -> reconnect(link, one, other));
    }
  }

  /** A connection that has lost a message in a cut is a new one once the cut is over. */
  void reconnectIfLossy(Link link, ModelEntryHost one, ModelEntryHost other) {
    if (breaksConnections && link.lossy && !link.down) {
      link.lossy = false;
      reconnect(link, one, other);
    }
  }

  private void reconnect(Link link, ModelEntryHost one, ModelEntryHost other) {
    if (!isConnected(one.domain, other.domain)) {
      schedule(RECONNECT_INTERVAL_MILLIS, () -> reconnect(link, one, other));
      return;
    }
    link.down = false;
    one.handleReconnect(other);
    other.handleReconnect(one);
  }

  long randomRunMillis() {
    return 20 + random.nextLong(MAX_RUN_MILLIS);
  }

  void schedule(long millis, Runnable action) {
    sequence++;
    long place = network == Network.SIMULTANEOUS ? random.nextLong() : sequence;
    queue.add(new ScheduledAction(now + Math.max(0, millis), place, action));
  }

  /** Runs everything that is due within the given time. */
  void advance(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      ScheduledAction next = queue.remove();
      now = next.at;
      next.action.run();
    }
    now = until;
  }

  /** Returns how long a message between two domains takes this time, in milliseconds. */
  long randomLatencyMillis(String from, String to) {
    boolean near = network == Network.SIMULTANEOUS && from.equals(to);
    return near ? random.nextLong(2) : 1 + random.nextLong(3);
  }

  /** Returns for how long a host's control thread is busy before it handles what has arrived. */
  long randomBusyMillis() {
    boolean busy = network == Network.SIMULTANEOUS && random.nextInt(8) == 0;
    return busy ? 1 + random.nextLong(6) : 0;
  }

  /** Returns how long a host needs for a piece of work beyond what it has queued. */
  long randomHandlingMillis() {
    return !faultsEnded && random.nextInt(4) == 0 ? random.nextLong(MAX_HANDLING_MILLIS) : 0;
  }

  /** Returns whether work waits at hosts that are behind. */
  boolean delaysWork() {
    return network == Network.LAGGING;
  }

  boolean batchesEvents() {
    return network == Network.SIMULTANEOUS;
  }

  /** Returns whether two domains can reach each other. */
  boolean isConnected(String one, String other) {
    return one.equals(other) || !(isolatedDomains.contains(one) || isolatedDomains.contains(other));
  }

  ModelEntryHost anyHost() {
    List<ModelEntryHost> up = hosts.values().stream().filter(host -> host.up).toList();
    return up.get(random.nextInt(up.size()));
  }

  /** A caller submits new work at some host. */
  void submit(int tasks) {
    submittedWork++;
    WorkStep step = WorkStep.of(tasks, new TaskSize(TASK_CPU, 64, 0), 20 + random.nextLong(600));
    WorkRequest request =
        new WorkRequest(
            "w" + submittedWork,
            "q",
            "desk",
            "x",
            List.of(step),
            0,
            3,
            1.6,
            60,
            CALLER_TIMEOUT_MILLIS);
    submitAt(anyHost(), request);
  }

  /** The caller's connection broke: the work comes again later, at any host. */
  void resubmitLater(WorkRequest request) {
    resubmittedWork.add(request.id());
    schedule(CALLER_RETRY_DELAY_MILLIS, () -> submitAt(anyHost(), request));
  }

  void recordAnswer(WorkRequest request, WorkOutcome outcome) {
    answers++;
    trace("caller", "answered " + request.id() + " " + outcome);
    switch (outcome) {
      case WorkOutcome.Completed done -> {
        completed++;
        for (int index = 0; index < request.steps().getFirst().taskCount(); index++) {
          TaskId task = new TaskId(request.id(), 0, index);
          check(
              finishedRuns.containsKey(task), request.id() + " is said to be done without " + task);
        }
      }
      case WorkOutcome.NotRun refused -> {
        if (!resubmittedWork.contains(request.id())) {
          check(!startedWork.contains(request.id()), request.id() + " is said not to have run");
          refusedWork.add(request.id());
        }
      }
      default -> {
        // Nothing is promised about work that failed or was given up.
      }
    }
  }

  void recordStart(RunId run, ModelUpstream upstream) {
    starts++;
    trace(upstream.id, "began " + run);
    startedWork.add(run.task().work());
    check(!refusedWork.contains(run.task().work()), run + " starts after a refusal");
    ModelUpstream other = runningOn.put(run.task(), upstream);
    check(other == null, run + " starts on " + upstream.id + " and runs on " + idOf(other));
  }

  void recordEnd(RunId run, ModelUpstream upstream, RunEnd.Cause cause) {
    trace(upstream.id, "ended " + run + " cause=" + cause);
    runningOn.remove(run.task(), upstream);
    if (cause == RunEnd.Cause.DONE) {
      finishedRuns.merge(run.task(), 1, Integer::sum);
    }
  }

  void kill(ModelEntryHost host) {
    host.kill();
  }

  /** Ends all faults, and checks that nobody waits for ever. */
  void recoverAndVerify() {
    faultsEnded = true;
    isolatedDomains.clear();
    delayedCallShare = 0;
    lostAnswerShare = 0;
    hosts.values().forEach(ModelEntryHost::recover);
    upstreams.forEach(
        upstream -> {
          upstream.failsAllTasks = false;
          upstream.hangsTasks = false;
          if (!upstream.up) {
            upstream.restart();
          }
        });
    advance(MAX_RECOVERY_MILLIS);
    for (ModelEntryHost host : hosts.values()) {
      check(host.waitingCallers() == 0, host.name + " owes " + host.waitingCallers() + " answers");
    }
    int before = completed;
    for (int i = 0; i < 6; i++) {
      submit(2);
      advance(300);
    }
    advance(5_000);
    check(completed - before == 6, "only " + (completed - before) + " of 6 are served after all");
  }

  /** Prints a line of the play if {@code -Dfuzz.trace=WORD} names a word of it, or the word all. */
  void trace(String who, String line) {
    String wanted = System.getProperty("fuzz.trace", "");
    if (!wanted.isEmpty() && (wanted.equals("all") || line.contains(wanted))) {
      System.out.println("at=" + now + " who=" + who + " " + line);
    }
  }

  static void check(boolean condition, String complaint) {
    if (!condition) {
      throw new AssertionError(complaint);
    }
  }

  private void submitAt(ModelEntryHost host, WorkRequest request) {
    host.submit(request);
  }

  private void announcePeriodically(ModelUpstream upstream) {
    if (upstream.up) {
      upstream.sequence++;
      var notice = upstream.announcement();
      for (ModelEntryHost host : hosts.values()) {
        if (isConnected(upstream.domain, host.domain)) {
          host.deliver(5 + random.nextLong(100), () -> host.receiveAnnouncement(notice));
        }
      }
    }
    schedule(1_500, () -> announcePeriodically(upstream));
  }

  private static String idOf(ModelUpstream upstream) {
    return upstream == null ? "none" : upstream.id;
  }

  /** How finely time is told against what happens in it. */
  enum Network {
    /** Each message takes a millisecond or more, and each event is handled by itself. */
    DISTINCT_TIMES,
    /**
     * Messages within a domain may arrive in the millisecond in which they were sent, what happens
     * in one millisecond happens in any order, and a host handles what has gathered as one batch.
     */
    SIMULTANEOUS,
    /** Work waits at a host that is behind, and control messages overtake it. */
    LAGGING
  }

  /** The connections between two hosts. */
  static final class Link {

    boolean down;

    /** Whether a message was lost in a cut. */
    boolean lossy;

    long generation;
    final Map<ModelEntryHost, MessageChannel> channels = new HashMap<>();

    MessageChannel channelTo(ModelEntryHost receiver) {
      return channels.computeIfAbsent(receiver, host -> new MessageChannel());
    }
  }

  /** One direction of a connection: messages that haven't arrived, in the order of sending. */
  static final class MessageChannel {

    private final Deque<Runnable> inTransit = new ArrayDeque<>();
    private long lastArrivesAt;

    /** Sends a message; returns when it arrives, not before those sent earlier. */
    long send(Runnable message, long earliestAt) {
      inTransit.add(message);
      lastArrivesAt = Math.max(lastArrivesAt, earliestAt);
      return lastArrivesAt;
    }

    /** Returns the message under way that was sent first. */
    Runnable receive() {
      return inTransit.remove();
    }
  }

  private record ScheduledAction(long at, long sequence, Runnable action)
      implements Comparable<ScheduledAction> {

    @Override
    public int compareTo(ScheduledAction other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }
}
