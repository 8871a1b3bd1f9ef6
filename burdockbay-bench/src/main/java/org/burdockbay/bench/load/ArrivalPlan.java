package org.burdockbay.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Generates Poisson arrivals of a load mix; the same seed gives the same arrivals. */
public final class ArrivalPlan {

  private ArrivalPlan() {}

  /**
   * Returns the arrivals of a run.
   *
   * @param load mean share of the slots that the load occupies; 1 saturates them
   * @param slots slots of all runners
   * @param durationMillis time during which jobs arrive
   */
  public static List<Arrival> generate(
      LoadMix mix, double load, int slots, long durationMillis, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double workPerJobMillis = meanWorkMillis(mix);
    double meanGapMillis = workPerJobMillis / (load * slots);
    List<Arrival> arrivals = new ArrayList<>();
    double offsetMillis = 0;
    while (true) {
      offsetMillis += -Math.log(1 - random.nextDouble()) * meanGapMillis;
      if (offsetMillis >= durationMillis) {
        return arrivals;
      }
      arrivals.add(nextArrival(mix, offsetMillis, random));
    }
  }

  private static Arrival nextArrival(LoadMix mix, double offsetMillis, SplittableRandom random) {
    LoadMix.JobKind kind = chooseKind(mix, random);
    int tasks = random.nextInt(kind.tasksMin(), kind.tasksMax() + 1);
    List<Integer> runMillis = new ArrayList<>(tasks);
    for (int i = 0; i < tasks; i++) {
      double logRatio = Math.log((double) kind.runMaxMillis() / kind.runMinMillis());
      runMillis.add(
          (int) Math.round(kind.runMinMillis() * Math.exp(random.nextDouble() * logRatio)));
    }
    return new Arrival(offsetMillis, kind.job(), runMillis);
  }

  private static LoadMix.JobKind chooseKind(LoadMix mix, SplittableRandom random) {
    double total = mix.kinds().stream().mapToDouble(LoadMix.JobKind::share).sum();
    double remaining = random.nextDouble() * total;
    for (LoadMix.JobKind kind : mix.kinds()) {
      remaining -= kind.share();
      if (remaining < 0) {
        return kind;
      }
    }
    return mix.kinds().getLast();
  }

  /** Returns the mean slot time of a job, summed over its tasks, in milliseconds. */
  private static double meanWorkMillis(LoadMix mix) {
    double weightedWork = 0;
    double shares = 0;
    for (LoadMix.JobKind kind : mix.kinds()) {
      double ratio = (double) kind.runMaxMillis() / kind.runMinMillis();
      double meanRunMillis =
          ratio == 1.0
              ? kind.runMinMillis()
              : (kind.runMaxMillis() - kind.runMinMillis()) / Math.log(ratio);
      weightedWork += kind.share() * meanRunMillis * (kind.tasksMin() + kind.tasksMax()) / 2.0;
      shares += kind.share();
    }
    return weightedWork / shares;
  }
}
