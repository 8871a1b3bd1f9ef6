package org.burdockbay.core.lease;

import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.List;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the load on a divided fleet whose hosts were all restarted at once. */
public class StagedRecoveryTest {

  private static final SchedulingOptions STAGED =
      SchedulingOptions.builder().stagedRecovery(true).build();

  /** Time from the restart of the entry hosts to the first claim of a shard, in milliseconds. */
  private static final long FIRST_CLAIM_MILLIS = 1_000;

  /** Time between the first and the last claim, in milliseconds. */
  private static final long CLAIMS_MILLIS = 700;

  /** Time for which a new dispatcher and its upstreams answer late, in milliseconds. */
  private static final long COLD_MILLIS = 400;

  /** Maximum share of the refusals without the option that remain with it. */
  private static final double MAX_REFUSAL_RATIO = 0.7;

  private static final int SEEDS = 3;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final long OBSERVED_MILLIS = 4_000;

  /** Returns the traffic of both deployments. */
  @DataProvider
  public Object[][] deployments() {
    return new Object[][] {{LoadScenario.scarceCapacity()}, {LoadScenario.unevenDemand()}};
  }

  /**
   * Guards against refusals while the shards are being claimed one after the other, so that more
   * capacity is about to come, and against work that is held and then lost.
   */
  @Test(dataProvider = "deployments")
  public void refusesLessWhileCapacityIsAboutToCome(LoadScenario scenario) {
    int refused = 0;
    int refusedStaged = 0;
    int served = 0;
    int servedStaged = 0;
    for (long seed = 1; seed <= SEEDS; seed++) {
      Result plain = restart(seed, scenario);
      Result staged = restart(seed, scenario.withOptions(STAGED));
      System.out.println("restart seed=" + seed + " without=" + plain + " with=" + staged);
      refused += plain.refusedBeforeLastClaim;
      refusedStaged += staged.refusedBeforeLastClaim;
      served += plain.served;
      servedStaged += staged.served;
    }
    assertTrue(
        refusedStaged <= MAX_REFUSAL_RATIO * refused,
        "refused " + refusedStaged + " instead of " + refused);
    assertTrue(servedStaged > served, "served " + servedStaged + " instead of " + served);
  }

  private static Result restart(long seed, LoadScenario scenario) {
    LoadSimulation simulation = new LoadSimulation(seed, scenario);
    simulation.run(1, WARM_UP_MILLIS);
    List<ShardId> shards =
        simulation.shards().stream().sorted(Comparator.comparingInt(ShardId::index)).toList();
    final int refused = simulation.refusedJobs();
    final int served = simulation.servedJobs();
    final int inTime = simulation.jobsInTime();
    simulation.restartAllHosts(COLD_MILLIS);
    simulation.run(1, FIRST_CLAIM_MILLIS);
    for (ShardId shard : shards) {
      simulation.claim(shard);
      simulation.run(1, CLAIMS_MILLIS / shards.size());
    }
    final int refusedBeforeLastClaim = simulation.refusedJobs() - refused;
    simulation.run(1, OBSERVED_MILLIS - FIRST_CLAIM_MILLIS - CLAIMS_MILLIS);
    return new Result(
        refusedBeforeLastClaim,
        simulation.refusedJobs() - refused,
        simulation.servedJobs() - served,
        simulation.jobsInTime() - inTime);
  }

  /** The numbers of jobs that ended after a restart in some way. */
  private record Result(int refusedBeforeLastClaim, int refused, int served, int inTime) {}
}
