package org.burdockbay.core.lease;

import java.util.List;
import java.util.SplittableRandom;
import org.burdockbay.core.FuzzDepth;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Drives hosts, upstreams and callers through faults against {@link LeaseModel}. */
public class LeaseFuzzTest {

  private static final int STEPS = 120;
  private static final int GROWS_AT = 40;
  private static final int RUNS = 40;

  /**
   * A trader would see a lot sold twice, or hear "not run" of a contract that was confirmed. Hosts
   * die, freeze with or without their clock, and stop as planned; failure domains are cut off;
   * upstreams crash, come back under their old id, stand still, or carry orders out seconds later.
   * The cause would be a gap between lease, fencing token and the time that a successor waits.
   */
  @Test
  public void overlapsNoTwoRunsOfTaskThroughFaults() {
    playAll(LeaseModel.Network.SPACED, false);
  }

  /**
   * The same where a start, its confirmation, a renewal and its list fall into one millisecond, and
   * a host handles several of them as one batch. The cause would be an order of events that is read
   * from a clock.
   */
  @Test
  public void overlapsNoTwoRunsOfTaskWhereEventsFallTogether() {
    playAll(LeaseModel.Network.TIED, false);
  }

  /**
   * The same where work waits at hosts that are behind, and heartbeats and changes of the role go
   * before it. The cause would be old work or an old answer that is taken for fresh.
   */
  @Test
  public void overlapsNoTwoRunsOfTaskWhereControlOvertakesWork() {
    playAll(LeaseModel.Network.LAGGING, false);
  }

  /**
   * The same in a fleet that is divided among several dispatchers. Besides, work that comes again
   * may reach another shard than the one that had it, dispatchers take upstreams over from each
   * other, and hosts disagree for a while on whose an upstream is. Some fleets are divided while
   * they serve.
   */
  @Test
  public void overlapsNoTwoRunsOfTaskInDividedFleet() {
    playAll(LeaseModel.Network.SPACED, true);
  }

  /** The same in a divided fleet, where events fall together. */
  @Test
  public void overlapsNoTwoRunsOfTaskInDividedFleetWhereEventsFallTogether() {
    playAll(LeaseModel.Network.TIED, true);
  }

  /** A task ran twice after a connection broke with a submission or cancellation under way. */
  @Test(dataProvider = "networks")
  public void overlapsNoTwoRunsOfTaskOverOrderedConnections(LeaseModel.Network network) {
    playAll(network, true, true);
  }

  /** Returns all kinds of network. */
  @DataProvider
  public Object[] networks() {
    return LeaseModel.Network.values();
  }

  private static void playAll(LeaseModel.Network network, boolean divided) {
    playAll(network, divided, false);
  }

  private static void playAll(LeaseModel.Network network, boolean divided, boolean ordered) {
    int runs = FuzzDepth.examples(RUNS);
    for (int run = 0; run < runs; run++) {
      long seed = FuzzDepth.seed() + run;
      try {
        play(seed, network, divided ? divided(seed) : ShardLayout.UNDIVIDED, true, ordered);
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
  public void keepsHoldingForSeedsThatOnceFailed() {
    for (long seed : new long[] {20261204, 20261206, 20261210, 20261221, 255, 20261340, 20261417}) {
      playAsFound(seed, LeaseModel.Network.SPACED);
    }
    playAsFound(20261278, LeaseModel.Network.TIED);
    playAsFound(20261504, LeaseModel.Network.TIED);
  }

  /** Prints the figures of the run. */
  @AfterClass
  public void printFigures() {
    System.out.println(FuzzDepth.figures("lease"));
  }

  /** Plays a seed with the faults that there were when it showed one. */
  private static void playAsFound(long seed, LeaseModel.Network network) {
    play(seed, network, ShardLayout.UNDIVIDED, false, false);
  }

  /** Returns a layout of one or two shards in each domain. */
  private static ShardLayout divided(long seed) {
    return new ShardLayout(1 + (int) (seed & 1));
  }

  private static void play(
      long seed,
      LeaseModel.Network network,
      ShardLayout layout,
      boolean connectionsBreak,
      boolean ordered) {
    LeaseModel model = new LeaseModel(seed, network, layout, 2 + layout.shardsPerDomain() / 2, 3);
    model.connectionsBreak = connectionsBreak;
    model.ordered = ordered;
    SplittableRandom random = new SplittableRandom(~seed);
    for (int step = 0; step < STEPS; step++) {
      if (step == GROWS_AT) {
        model.grow();
      }
      int burst = 1 + random.nextInt(3);
      for (int i = 0; i < burst; i++) {
        model.submit(1 + random.nextInt(4));
      }
      if (random.nextInt(4) == 0) {
        disturb(model, random);
      }
      if (connectionsBreak) {
        breakConnections(model);
      }
      model.advance(20 + random.nextLong(300));
    }
    model.heal();
    FuzzDepth.count("lease", model.starts, model.answers);
  }

  /** Resets the connections between two hosts, and those of callers, some of them meanwhile. */
  private static void breakConnections(LeaseModel model) {
    SplittableRandom random = model.faults();
    if (random.nextInt(6) == 0) {
      ModelEntryHost one = host(model, random);
      ModelEntryHost other = host(model, random);
      if (one != other) {
        model.resetConnections(one, other, random.nextLong(600));
        model.after(random.nextLong(300), one::loseCaller);
      }
    }
    if (random.nextInt(4) == 0) {
      host(model, random).loseCaller();
    }
  }

  private static void disturb(LeaseModel model, SplittableRandom random) {
    ModelEntryHost host = host(model, random);
    ModelUpstream upstream = model.upstreams.get(random.nextInt(model.upstreams.size()));
    int fault = random.nextInt(16);
    model.trace("faults", "fault=" + fault + " host=" + host.name + " upstream=" + upstream.id);
    switch (fault) {
      case 0, 1 -> {
        if (host.up && model.hosts.values().stream().filter(each -> each.up).count() > 2) {
          model.kill(host);
          model.after(200 + random.nextLong(4_000), host::recover);
        }
      }
      case 2 -> freeze(model, random, host, false);
      case 3 -> freeze(model, random, host, true);
      case 4, 5 -> {
        String domain = List.of("north", "south", "east").get(random.nextInt(3));
        model.cutDomains.add(domain);
        model.after(300 + random.nextLong(5_000), () -> model.cutDomains.remove(domain));
      }
      case 6 -> {
        if (upstream.up) {
          upstream.crash();
          model.after(100 + random.nextLong(3_000), upstream::restart);
        }
      }
      case 7 ->
          toggleLater(model, random, () -> upstream.hangs = true, () -> upstream.hangs = false);
      case 8 ->
          toggleLater(
              model, random, () -> upstream.failsAll = true, () -> upstream.failsAll = false);
      case 9, 10 -> toggleLater(model, random, () -> model.heldUp = 0.05, () -> model.heldUp = 0);
      case 11, 12 ->
          toggleLater(model, random, () -> model.answerLost = 0.1, () -> model.answerLost = 0);
      case 13 -> {
        if (host.up && !host.frozen) {
          host.drain();
          model.after(
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
        if (host.up && host.dispatches()) {
          freeze(model, random, host, random.nextBoolean());
        }
      }
    }
  }

  private static ModelEntryHost host(LeaseModel model, SplittableRandom random) {
    List<ModelEntryHost> hosts = List.copyOf(model.hosts.values());
    return hosts.get(random.nextInt(hosts.size()));
  }

  private static void freeze(
      LeaseModel model, SplittableRandom random, ModelEntryHost host, boolean clockToo) {
    host.freeze(clockToo);
    model.after(200 + random.nextLong(4_000), host::thaw);
  }

  private static void toggleLater(
      LeaseModel model, SplittableRandom random, Runnable on, Runnable off) {
    on.run();
    model.after(500 + random.nextLong(5_000), off);
  }
}
