package org.burdockbay.core.lease;

import static org.testng.Assert.assertTrue;

import java.util.Locale;
import java.util.function.Consumer;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.Test;

/**
 * Tests how callers of a divided fleet are served when entry hosts route by predicted completion.
 *
 * <p>Figures in comments are means over three seeds, with the option on and off. The value of the
 * answers counts a late one as a fifth of a prompt one; crossing is the share of the jobs that are
 * submitted to another failure domain.
 */
public class RoutingLoadTest {

  private static final int SEEDS = 3;
  private static final int LARGE_FLEET_UPSTREAMS = 245;
  private static final long SIMULATION_MILLIS = 8_000;
  private static final long MAX_JOB_MILLIS = 3_000;
  private static final double NO_TRAFFIC = 1e-9;

  /** Maximum loss of value; that of the means of different seeds differs by up to 0.008. */
  private static final double MAX_VALUE_LOSS = 0.01;

  /** Maximum crossing with the option on, relative to that with it off. */
  private static final double MAX_CROSSING_RATIO = 0.6;

  private static final String DOMAIN = "south";
  private static final ShardId SHARD = new ShardId(DOMAIN, 0);
  private static final SchedulingOptions ROUTING =
      SchedulingOptions.builder().predictiveRouting(true).build();

  /**
   * Guards against work that crosses domains under usual traffic, which no domain is short of.
   * Value 0.9974 on, 0.9964 off; crossing 0.016 and 0.452.
   */
  @Test
  public void keepsUsualTrafficInItsDomains() {
    LoadScenario scenario = LoadScenario.usualTraffic(LARGE_FLEET_UPSTREAMS, new ShardLayout(4));
    compare("usual", scenario, simulation -> simulation.run(1, SIMULATION_MILLIS));
  }

  /**
   * Guards against full domains beside empty ones. The traffic of each domain swings by 0.55, out
   * of phase with the others. Value 0.8576 on, 0.8609 off; crossing 0.041 and 0.554.
   */
  @Test
  public void evensOutDemandOfDomains() {
    compare(
        "out-of-phase",
        LoadScenario.unevenDemand(),
        simulation -> simulation.run(1, SIMULATION_MILLIS));
  }

  /**
   * Guards against a loss in bursts in which a seventh of the upstreams leaves. Value 0.8990 on,
   * 0.8816 off; crossing 0.297 and 0.780.
   */
  @Test
  public void servesBurstsOfScarceCapacity() {
    compare("burst", LoadScenario.scarceCapacity(), RoutingLoadTest::burst);
  }

  /**
   * Guards against as much work for a small shard as for others. Value 0.9822 on, 0.9771 off;
   * crossing 0.070 and 0.583.
   */
  @Test
  public void sendsLittleToSmallShard() {
    compare(
        "small-shard",
        LoadScenario.scarceCapacity(),
        simulation -> {
          simulation.shrinkShard(SHARD, 3);
          simulation.run(1, SIMULATION_MILLIS);
        });
  }

  /**
   * Guards against a domain that seems empty, or full, when its reports stop. Value 0.8557 on,
   * 0.8551 off; crossing 0.071 and 0.567.
   */
  @Test
  public void servesDomainWhoseReportsStop() {
    compare(
        "no-reports",
        LoadScenario.unevenDemand(),
        simulation -> {
          simulation.run(1, 2_000);
          simulation.stopReports(DOMAIN);
          simulation.run(1, SIMULATION_MILLIS - 2_000);
        });
  }

  /**
   * Guards against work for a dead dispatcher, whose last reported wait falls to zero. Value 0.9841
   * on, 0.9754 off; crossing 0.056 and 0.569.
   */
  @Test
  public void servesWhileDispatcherIsReplaced() {
    compare(
        "dispatcher-dies",
        LoadScenario.scarceCapacity(),
        simulation -> {
          simulation.run(1, 2_000);
          simulation.killDispatcher(SHARD);
          simulation.run(1, 600);
          simulation.replaceDispatcher(SHARD);
          simulation.run(1, SIMULATION_MILLIS - 2_600);
        });
  }

  /**
   * Guards against a loss beside dispatchers of earlier versions, which report no total. Value
   * 0.8929 on, 0.8816 off; crossing 0.244 and 0.780.
   */
  @Test
  public void servesWithHalfOfTotalsUnknown() {
    compare(
        "half-totals",
        LoadScenario.scarceCapacity(),
        simulation -> {
          simulation.hideHalfOfTotals();
          burst(simulation);
        });
  }

  private static void burst(LoadSimulation simulation) {
    simulation.run(1, 2_000);
    simulation.removeEveryNthUpstream(7, 1_700);
    simulation.setTraffic(LoadSimulation.Kind.CONFIRMATION, 2.5);
    simulation.setTraffic(LoadSimulation.Kind.CHECK, 1.6);
    simulation.run(1, 3_000);
    simulation.setTraffic(LoadSimulation.Kind.CHECK, 1);
    simulation.run(1, 2_000);
    simulation.setTraffic(LoadSimulation.Kind.CONFIRMATION, 1);
    simulation.run(1, 2_000);
  }

  /** Checks that callers get no less, with clearly less work that crosses domains. */
  private static void compare(String name, LoadScenario scenario, Consumer<LoadSimulation> load) {
    Outcome off = simulate(name, scenario, load);
    Outcome on = simulate(name, scenario.withOptions(ROUTING), load);
    assertTrue(on.value >= off.value - MAX_VALUE_LOSS, "on " + on + ", off " + off);
    assertTrue(on.crossing <= MAX_CROSSING_RATIO * off.crossing, "on " + on + ", off " + off);
  }

  private static Outcome simulate(
      String name, LoadScenario scenario, Consumer<LoadSimulation> load) {
    double value = 0;
    double crossing = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      LoadSimulation simulation = new LoadSimulation(seed, scenario);
      load.accept(simulation);
      simulation.run(NO_TRAFFIC, MAX_JOB_MILLIS);
      value += simulation.value() / SEEDS;
      crossing += simulation.crossingShare() / SEEDS;
    }
    Outcome outcome = new Outcome(value, crossing);
    System.out.println(name + " routing=" + scenario.options().predictiveRouting() + ' ' + outcome);
    return outcome;
  }

  private record Outcome(double value, double crossing) {

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "value=%.4f crossing=%.3f", value, crossing);
    }
  }
}
