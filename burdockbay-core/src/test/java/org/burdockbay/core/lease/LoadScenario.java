package org.burdockbay.core.lease;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardLayout;

/**
 * A fleet and its traffic, as played by {@link LoadSimulation}.
 *
 * @param upstreams number of upstreams
 * @param domains the failure domains, to which upstreams and entry hosts are assigned in turn
 * @param layout the division of the fleet into shards
 * @param options the scheduling options that are on
 * @param capacities processor capacities of the upstreams, in millicores, assigned in turn
 * @param speeds speeds of the upstreams, assigned in turn; 1 is usual
 * @param taskCpu mean size of a task, in millicores
 * @param maxTaskCpu maximum size of a task, in millicores
 * @param jobs the traffic of each kind of job
 * @param callerTimeoutMillis how long callers wait, in milliseconds
 * @param slowTaskShare share of the runs that take {@code slowTaskFactor} times as long
 * @param slowTaskFactor the factor on the run time of such runs
 * @param swing amplitude of the wave of a domain's traffic, relative to its mean
 * @param wavePeriodMillis period of that wave, in milliseconds; each domain is a part of it behind
 *     the one before
 */
record LoadScenario(
    int upstreams,
    List<String> domains,
    ShardLayout layout,
    SchedulingOptions options,
    List<Integer> capacities,
    List<Double> speeds,
    int taskCpu,
    int maxTaskCpu,
    Map<LoadSimulation.Kind, Traffic> jobs,
    long callerTimeoutMillis,
    double slowTaskShare,
    double slowTaskFactor,
    double swing,
    long wavePeriodMillis) {

  /**
   * The traffic of a kind of job.
   *
   * @param perSecond jobs per second in the whole fleet
   * @param runMillis mean run time of a task, in milliseconds
   */
  record Traffic(double perSecond, long runMillis) {}

  private static final List<String> FOUR_DOMAINS = List.of("north", "south", "east", "west");
  private static final int LARGE_FLEET_UPSTREAMS = 246;

  /** Returns the fleet of one dispatcher whose load nearly fills it. */
  static LoadScenario smallFleet() {
    return usualTraffic(33, ShardLayout.UNDIVIDED);
  }

  /** Returns a fleet with traffic in proportion to the number of upstreams. */
  static LoadScenario usualTraffic(int upstreams, ShardLayout layout) {
    double scale = upstreams / 33.0;
    return new LoadScenario(
        upstreams,
        List.of("north", "south", "east"),
        layout,
        SchedulingOptions.NONE,
        List.of(32_000, 32_000, 48_000),
        List.of(1.0),
        14_000,
        20_000,
        traffic(24.1 * scale, 60, 4.37 * scale, 900, 70 * scale, 200),
        2_500,
        0,
        1,
        0,
        1);
  }

  /** Returns a divided fleet in which callers compete for too little capacity at times. */
  static LoadScenario scarceCapacity() {
    return largeFleet(List.of(0.8, 1.0, 1.25), traffic(144, 60, 26.3, 900, 420, 200), 1_546, 0)
        .withWave(0.15, 11_000);
  }

  /** Returns a divided fleet with uneven demand, uneven upstreams and some very slow tasks. */
  static LoadScenario unevenDemand() {
    return largeFleet(List.of(0.6, 1.0, 1.6), traffic(127, 51, 23.1, 760, 370, 170), 1_527, 0.03)
        .withWave(0.55, 13_000);
  }

  private static LoadScenario largeFleet(
      List<Double> speeds,
      Map<LoadSimulation.Kind, Traffic> jobs,
      long callerTimeoutMillis,
      double slowTaskShare) {
    return new LoadScenario(
        LARGE_FLEET_UPSTREAMS,
        FOUR_DOMAINS,
        ShardLayout.of(LARGE_FLEET_UPSTREAMS, FOUR_DOMAINS.size()),
        SchedulingOptions.NONE,
        List.of(16_000, 16_000, 24_000),
        speeds,
        8_000,
        12_000,
        jobs,
        callerTimeoutMillis,
        slowTaskShare,
        7,
        0,
        1);
  }

  private static Map<LoadSimulation.Kind, Traffic> traffic(
      double checks,
      long checkMillis,
      double confirmations,
      long confirmationMillis,
      double lookups,
      long lookupMillis) {
    Map<LoadSimulation.Kind, Traffic> jobs = new EnumMap<>(LoadSimulation.Kind.class);
    jobs.put(LoadSimulation.Kind.CHECK, new Traffic(checks, checkMillis));
    jobs.put(LoadSimulation.Kind.CONFIRMATION, new Traffic(confirmations, confirmationMillis));
    jobs.put(LoadSimulation.Kind.LOOKUP, new Traffic(lookups, lookupMillis));
    return jobs;
  }

  /** Returns a copy with the given scheduling options. */
  LoadScenario withOptions(SchedulingOptions changed) {
    return new LoadScenario(
        upstreams,
        domains,
        layout,
        changed,
        capacities,
        speeds,
        taskCpu,
        maxTaskCpu,
        jobs,
        callerTimeoutMillis,
        slowTaskShare,
        slowTaskFactor,
        swing,
        wavePeriodMillis);
  }

  private LoadScenario withWave(double amplitude, long periodMillis) {
    return new LoadScenario(
        upstreams,
        domains,
        layout,
        options,
        capacities,
        speeds,
        taskCpu,
        maxTaskCpu,
        jobs,
        callerTimeoutMillis,
        slowTaskShare,
        slowTaskFactor,
        amplitude,
        periodMillis);
  }
}
