package org.burdockbay.core.lease;

import java.util.List;
import java.util.SplittableRandom;
import org.burdockbay.core.FuzzOptions;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Drives hosts, upstreams and callers through faults against {@link LeaseModel}. */
public class LeaseFuzzTest {

  private static final int STEPS = 120;
  private static final int GROWTH_STEP = 40;
  private static final int RUNS = 40;

  /**
   * A trader would see a lot sold twice, or hear "not run" of a contract that was confirmed. Hosts
   * die, freeze with or without their clock, and stop as planned; failure domains are cut off;
   * upstreams crash, come back under their old id, stand still, or carry orders out seconds later.
   * The cause would be a gap between lease, fencing token and the time that a successor waits.
   */
  @Test
  public void neverOverlapsRunsOfTaskDuringFaults() {
    simulateAll(LeaseModel.Network.DISTINCT_TIMES, false);
  }

  /**
   * The same where a start, its confirmation, a renewal and its list fall into one millisecond, and
   * a host handles several of them as one batch. The cause would be an order of events that is read
   * from a clock.
   */
  @Test
  public void neverOverlapsRunsOfTaskWithSimultaneousEvents() {
    simulateAll(LeaseModel.Network.SIMULTANEOUS, false);
  }

  /**
   * The same where work waits at hosts that are behind, and heartbeats and changes of the role go
   * before it. The cause would be old work or an old answer that is taken for fresh.
   */
  @Test
  public void neverOverlapsRunsOfTaskWhenControlOvertakesWork() {
    simulateAll(LeaseModel.Network.LAGGING, false);
  }

  /**
   * The same in a fleet that is divided among several dispatchers. Besides, work that comes again
   * may reach another shard than the one that had it, dispatchers take upstreams over from each
   * other, and hosts disagree for a while on whose an upstream is. Some fleets are divided while
   * they serve.
   */
  @Test
  public void neverOverlapsRunsOfTaskInDividedFleet() {
    simulateAll(LeaseModel.Network.DISTINCT_TIMES, true);
  }

  /** The same in a divided fleet, where events fall together. */
  @Test
  public void neverOverlapsRunsOfTaskInDividedFleetWithSimultaneousEvents() {
    simulateAll(LeaseModel.Network.SIMULTANEOUS, true);
  }

  /** A task ran twice after a connection broke with a submission or cancellation under way. */
  @Test(dataProvider = "networks")
  public void neverOverlapsRunsOfTaskOverOrderedConnections(LeaseModel.Network network) {
    simulateAll(network, true, true);
  }

  /** Returns all kinds of network. */
  @DataProvider
  public Object[] networks() {
    return LeaseModel.Network.values();
  }

  private static void simulateAll(LeaseModel.Network network, boolean divided) {
    simulateAll(network, divided, false);
  }

  private static void simulateAll(LeaseModel.Network network, boolean divided, boolean ordered) {
    int runs = FuzzOptions.exampleCount(RUNS);
    for (int run = 0; run < runs; run++) {
      long seed = FuzzOptions.seed() + run;
      try {
        simulate(
            seed, network, divided ? dividedLayout(seed) : ShardLayout.UNDIVIDED, true, ordered);
      } catch (AssertionError e) {
        throw new AssertionError("seed " + seed + ": " + e.getMessage(), e);
      }
    }
  }

  /**
   * Seeds that once showed a fault, each with its cause.
   *
   * <p>20261204: a host that dispatched itself never counted as heard, so its work moved to a
   * successor that started at once. 20261206: each refused token was outbid at once, without end.
   * 20261210: work dropped with its lost entry host was refused as "not run" once the host was
   * back. 20261221: a frozen dispatcher took old messages for fresh. 255: runs that nobody had
   * claimed were kept alive, and work of a host that was never heard was never dropped. 20261278,
   * with events that fall together: a run counted as over by a list from before its start. 20261340
   * and 20261504: a dispatcher that was suspended together with its clock started work that its
   * entry host had lost meanwhile. 20261417: a submission that was meant for the dispatcher's
   * earlier role, and so told of no time to wait, was taken up under a new token.
   */
  @Test
  public void neverOverlapsRunsOfTaskForSeedsThatOnceFailed() {
    for (long seed : new long[] {20261204, 20261206, 20261210, 20261221, 255, 20261340, 20261417}) {
      simulateOriginalFaults(seed, LeaseModel.Network.DISTINCT_TIMES);
    }
    simulateOriginalFaults(20261278, LeaseModel.Network.SIMULTANEOUS);
    simulateOriginalFaults(20261504, LeaseModel.Network.SIMULTANEOUS);
  }

  /** Prints the figures of the run. */
  @AfterClass
  public void printFigures() {
    System.out.println(FuzzOptions.summary("lease"));
  }

  /** Plays a seed with the faults that there were when it showed one. */
  private static void simulateOriginalFaults(long seed, LeaseModel.Network network) {
    simulate(seed, network, ShardLayout.UNDIVIDED, false, false);
  }

  /** Returns a layout of one or two shards in each domain. */
  private static ShardLayout dividedLayout(long seed) {
    return new ShardLayout(1 + (int) (seed & 1));
  }

  private static void simulate(
      long seed,
      LeaseModel.Network network,
      ShardLayout layout,
      boolean connectionsBreak,
      boolean ordered) {
    LeaseModel model = new LeaseModel(seed, network, layout, 2 + layout.shardsPerDomain() / 2, 3);
    model.breaksConnections = connectionsBreak;
    model.orderedDelivery = ordered;
    SplittableRandom random = new SplittableRandom(~seed);
    for (int step = 0; step < STEPS; step++) {
      if (step == GROWTH_STEP) {
        model.growFleet();
      }
      int burst = 1 + random.nextInt(3);
      for (int i = 0; i < burst; i++) {
        model.submit(1 + random.nextInt(4));
      }
      if (random.nextInt(4) == 0) {
        injectFault(model, random);
      }
      if (connectionsBreak) {
        breakConnections(model);
      }
      model.advance(20 + random.nextLong(300));
    }
    model.recoverAndVerify();
    FuzzOptions.recordExample("lease", model.starts, model.answers);
  }

  /** Resets the connections between two hosts, and those of callers, some of them meanwhile. */
  private static void breakConnections(LeaseModel model) {
    SplittableRandom random = model.faultRandom();
    if (random.nextInt(6) == 0) {
      ModelEntryHost one = host(model, random);
      ModelEntryHost other = host(model, random);
      if (one != other) {
        model.resetConnections(one, other, random.nextLong(600));
        model.schedule(random.nextLong(300), one::breakCallerConnection);
      }
    }
    if (random.nextInt(4) == 0) {
      host(model, random).breakCallerConnection();
    }
  }

  private static void injectFault(LeaseModel model, SplittableRandom random) {
    ModelEntryHost host = host(model, random);
    ModelUpstream upstream = model.upstreams.get(random.nextInt(model.upstreams.size()));
    int fault = random.nextInt(16);
    model.trace("faults", "fault=" + fault + " host=" + host.name + " upstream=" + upstream.id);
    switch (fault) {
      case 0, 1 -> {
        if (host.up && model.hosts.values().stream().filter(each -> each.up).count() > 2) {
          model.kill(host);
          model.schedule(200 + random.nextLong(4_000), host::recover);
        }
      }
      case 2 -> pause(model, random, host, false);
      case 3 -> pause(model, random, host, true);
      case 4, 5 -> {
        String domain = List.of("north", "south", "east").get(random.nextInt(3));
        model.isolatedDomains.add(domain);
        model.schedule(300 + random.nextLong(5_000), () -> model.isolatedDomains.remove(domain));
      }
      case 6 -> {
        if (upstream.up) {
          upstream.crash();
          model.schedule(100 + random.nextLong(3_000), upstream::restart);
        }
      }
      case 7 ->
          enableTemporarily(
              model, random, () -> upstream.hangsTasks = true, () -> upstream.hangsTasks = false);
      case 8 ->
          enableTemporarily(
              model,
              random,
              () -> upstream.failsAllTasks = true,
              () -> upstream.failsAllTasks = false);
      case 9, 10 ->
          enableTemporarily(
              model, random, () -> model.delayedCallShare = 0.05, () -> model.delayedCallShare = 0);
      case 11, 12 ->
          enableTemporarily(
              model, random, () -> model.lostAnswerShare = 0.1, () -> model.lostAnswerShare = 0);
      case 13 -> {
        if (host.up && !host.paused) {
          host.drain();
          model.schedule(
              2_600,
              () -> {
                if (host.up) {
                  host.kill();
                  host.start();
                }
              });
        }
      }
      default -> {
        if (host.up && host.isDispatching()) {
          pause(model, random, host, random.nextBoolean());
        }
      }
    }
  }

  private static ModelEntryHost host(LeaseModel model, SplittableRandom random) {
    List<ModelEntryHost> hosts = List.copyOf(model.hosts.values());
    return hosts.get(random.nextInt(hosts.size()));
  }

  private static void pause(
      LeaseModel model, SplittableRandom random, ModelEntryHost host, boolean clockToo) {
    host.pause(clockToo);
    model.schedule(200 + random.nextLong(4_000), host::resume);
  }

  private static void enableTemporarily(
      LeaseModel model, SplittableRandom random, Runnable on, Runnable off) {
    on.run();
    model.schedule(500 + random.nextLong(5_000), off);
  }
}
