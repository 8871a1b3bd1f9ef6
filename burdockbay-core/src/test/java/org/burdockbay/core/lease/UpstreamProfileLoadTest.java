package org.burdockbay.core.lease;

import static org.testng.Assert.assertTrue;

import java.util.function.Consumer;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.Test;

/**
 * Tests what callers of a divided fleet gain from the profiles of upstreams.
 *
 * <p>Figures are means over three seeds. The baseline is the same load without profiles.
 */
public class UpstreamProfileLoadTest {

  private static final int SEEDS = 3;
  private static final long SIMULATION_MILLIS = 15_000;
  private static final long PHASE_MILLIS = 6_000;
  private static final int LARGE_FLEET_UPSTREAMS = 245;
  private static final SchedulingOptions PROFILES =
      SchedulingOptions.builder().upstreamProfiles(true).build();

  /**
   * Guards against late jobs on upstreams of speeds 0.6, 1 and 1.6, with 3% of the runs taking 7
   * times as long.
   */
  @Test
  public void servesMoreOfUnevenDemandInTime() {
    checkGain("uneven", simulation -> simulation.run(1, SIMULATION_MILLIS));
  }

  /** Guards against a loss where upstreams differ little and no runs are very slow. */
  @Test
  public void losesNothingWithScarceCapacity() {
    checkNoLoss("scarce", LoadScenario.scarceCapacity());
  }

  /** Guards against a loss where all upstreams are equally fast. */
  @Test
  public void losesNothingUnderUsualTraffic() {
    checkNoLoss("usual", LoadScenario.usualTraffic(LARGE_FLEET_UPSTREAMS, new ShardLayout(4)));
  }

  private static void checkNoLoss(String name, LoadScenario scenario) {
    Consumer<LoadSimulation> course = simulation -> simulation.run(1, SIMULATION_MILLIS);
    Outcome baseline = simulate(name, scenario, course);
    Outcome outcome = simulate(name, scenario.withOptions(PROFILES), course);
    assertTrue(outcome.inTime > baseline.inTime - 0.005, baseline + " " + outcome);
  }

  /**
   * Guards against late jobs when a tenth of the upstreams become 8 times slower and recover after
   * 6 s.
   */
  @Test
  public void servesAroundUpstreamsThatBecomeSlow() {
    Consumer<LoadSimulation> course =
        simulation -> {
          simulation.run(1, PHASE_MILLIS);
          simulation.slowDownUpstreams(24, 8);
          simulation.run(1, PHASE_MILLIS);
          simulation.slowDownUpstreams(24, 1);
          simulation.run(1, PHASE_MILLIS);
        };
    checkGain("slow-upstreams", course);
  }

  /** Guards against a loss when all dispatchers are replaced at full load. */
  @Test
  public void servesAfterTakeovers() {
    Consumer<LoadSimulation> course =
        simulation -> {
          simulation.run(1, PHASE_MILLIS);
          simulation.shards().forEach(simulation::replaceDispatcher);
          simulation.run(1, PHASE_MILLIS);
        };
    checkGain("takeovers", course);
  }

  private static void checkGain(String name, Consumer<LoadSimulation> course) {
    Outcome baseline = simulate(name, LoadScenario.unevenDemand(), course);
    Outcome outcome = simulate(name, LoadScenario.unevenDemand().withOptions(PROFILES), course);
    assertTrue(outcome.inTime > baseline.inTime + 0.04, baseline + " " + outcome);
  }

  private static Outcome simulate(
      String name, LoadScenario scenario, Consumer<LoadSimulation> course) {
    double inTime = 0;
    double value = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      LoadSimulation simulation = new LoadSimulation(seed, scenario);
      course.accept(simulation);
      inTime += simulation.inTimeShare() / SEEDS;
      value += simulation.valueShare() / SEEDS;
    }
    Outcome outcome = new Outcome(inTime, value);
    boolean profiles = scenario.options().upstreamProfiles();
    System.out.println("profiles=" + profiles + " load=" + name + " " + outcome);
    return outcome;
  }

  private record Outcome(double inTime, double value) {}
}
