package org.burdockbay.bench.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Poisson arrivals of a mix at a share of the slots' capacity; the seed fixes every one. */
public final class ArrivalPlan {

  private ArrivalPlan() {}

  /** Returns the arrivals of a run. */
  public static List<Arrival> generate(
      LoadMix mix, double load, int slots, long durationMillis, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double workPerJob = meanWorkMillis(mix);
    double gapMillis = workPerJob / (load * slots);
    List<Arrival> arrivals = new ArrayList<>();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) * gapMillis;
      if (at >= durationMillis) {
        return arrivals;
      }
      arrivals.add(nextArrival(mix, at, random));
    }
  }

  private static Arrival nextArrival(LoadMix mix, double at, SplittableRandom random) {
    LoadMix.JobKind kind = chooseKind(mix, random);
    int tasks = random.nextInt(kind.tasksMin(), kind.tasksMax() + 1);
    List<Integer> runs = new ArrayList<>(tasks);
    for (int i = 0; i < tasks; i++) {
      double spread = Math.log((double) kind.runMaxMillis() / kind.runMinMillis());
      runs.add((int) Math.round(kind.runMinMillis() * Math.exp(random.nextDouble() * spread)));
    }
    return new Arrival(at, kind.job(), runs);
  }

  private static LoadMix.JobKind chooseKind(LoadMix mix, SplittableRandom random) {
    double total = mix.kinds().stream().mapToDouble(LoadMix.JobKind::share).sum();
    double dice = random.nextDouble() * total;
    for (LoadMix.JobKind kind : mix.kinds()) {
      dice -= kind.share();
      if (dice < 0) {
        return kind;
      }
    }
    return mix.kinds().getLast();
  }

  /** Returns the mean work of a job in milliseconds of one slot. */
  private static double meanWorkMillis(LoadMix mix) {
    double work = 0;
    double shares = 0;
    for (LoadMix.JobKind kind : mix.kinds()) {
      double ratio = (double) kind.runMaxMillis() / kind.runMinMillis();
      double run =
          ratio == 1.0
              ? kind.runMinMillis()
              : (kind.runMaxMillis() - kind.runMinMillis()) / Math.log(ratio);
      work += kind.share() * run * (kind.tasksMin() + kind.tasksMax()) / 2.0;
      shares += kind.share();
    }
    return work / shares;
  }
}
