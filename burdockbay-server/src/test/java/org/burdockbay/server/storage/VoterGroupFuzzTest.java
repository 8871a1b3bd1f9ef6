package org.burdockbay.server.storage;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.server.storage.VoterGroupModel.Host;
import org.testng.annotations.Test;

/** Tests groups of voters on simulated disks against series of faults that the settings allow. */
public class VoterGroupFuzzTest {

  private static final int SEEDS = 150 * Integer.getInteger("fuzz.factor", 1);
  private static final long FIRST_SEED = Long.getLong("fuzz.seed", 1);

  /**
   * Guards against an acknowledged change that is gone, or isn't readable in time, after a loss.
   */
  @Test
  public void keepsAcknowledgedChangesThroughSeriesOfLosses() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
      new Run(seed).run();
    }
  }

  /** A series of faults, each followed by changes; the last one strikes at an acknowledgement. */
  private static final class Run {

    private static final int FAULTS = 5;
    private static final long RECOVERY_MILLIS = 12_000;
    private static final long CATCH_UP_MILLIS = 4_000;

    private final long seed;
    private final SplittableRandom random;
    private final VoterGroupModel model;
    private final FaultTolerance tolerance;

    Run(long seed) {
      this.seed = seed;
      this.random = new SplittableRandom(seed);
      int hosts = 3 + random.nextInt(5);
      this.tolerance = new FaultTolerance(hosts >= 5 ? 2 : 1, 1);
      this.model = new VoterGroupModel(random, hosts, tolerance);
    }

    void run() {
      try {
        awaitRecovery();
        for (int fault = 0; fault < FAULTS; fault++) {
          publish(random.nextInt(3_000), false);
          if (random.nextBoolean()) {
            strikeDisruptions();
            publish(random.nextInt(2_000), false);
          }
          endDisruptions();
          awaitRecovery();
          publish(CATCH_UP_MILLIS, false);
          publish(CATCH_UP_MILLIS, true);
          strikeLoss();
          awaitRecovery();
        }
      } catch (AssertionError | RuntimeException e) {
        throw new AssertionError(
            "seed " + seed + ": " + e.getMessage() + "\n" + model.describe(), e);
      }
    }

    /** Publishes changes for a while, or until one is acknowledged. */
    private void publish(long millis, boolean untilAcknowledged) {
      long end = model.now() + millis;
      while (model.now() < end) {
        if (random.nextInt(20) == 0) {
          model.propose();
        }
        boolean acknowledged = model.step();
        if (acknowledged && untilAcknowledged && random.nextInt(4) > 0) {
          return;
        }
      }
    }

    /** Kills, power losses, refusing disks and partitions, in any number and overlapping. */
    private void strikeDisruptions() {
      for (int count = 1 + random.nextInt(6); count > 0; count--) {
        int kind = random.nextInt(6);
        long down = 50L + random.nextInt(1_500);
        model.trace("disruption " + kind);
        for (Host host : kind < 3 ? model.hosts : shuffled().subList(0, 1)) {
          switch (kind) {
            case 0, 3 -> host.kill(random.nextInt(12), down);
            case 1 -> host.losePower(random.nextBoolean(), down);
            case 2, 4 -> host.refuse(1 + random.nextInt(40));
            default -> host.cutOff = !host.cutOff;
          }
        }
        publish(random.nextInt(random.nextBoolean() ? 40 : 1_500), random.nextBoolean());
      }
    }

    private void endDisruptions() {
      for (Host host : model.hosts) {
        host.cutOff = false;
        host.acceptAll();
      }
    }

    /** Loses as many disks as the settings allow; the other hosts may lose power or be killed. */
    private void strikeLoss() {
      int others = random.nextInt(3);
      List<Host> hosts = shuffled();
      int lost = 1 + random.nextInt(tolerance.hosts());
      model.trace("loss of the disks of " + lost + " hosts, others " + others);
      for (Host host : hosts.subList(0, lost)) {
        model.trace(host.name + " loses its disk");
        host.loseDisk(100 + random.nextInt(1_500));
      }
      for (Host host : hosts.subList(lost, hosts.size())) {
        switch (others) {
          case 0 -> host.losePower(random.nextBoolean(), 100 + random.nextInt(1_500));
          case 1 -> host.kill(random.nextInt(12), 100 + random.nextInt(1_500));
          default -> {
            // The other hosts go on.
          }
        }
      }
    }

    private List<Host> shuffled() {
      List<Host> hosts = new ArrayList<>(model.hosts);
      Collections.shuffle(hosts, new Random(random.nextLong()));
      return hosts;
    }

    /** Checks that what was acknowledged is readable in time, and that a change is accepted. */
    private void awaitRecovery() {
      long end = model.now() + RECOVERY_MILLIS;
      boolean accepted = false;
      while (!accepted || !model.hasRecovered()) {
        if (model.now() >= end) {
          throw new AssertionError("not recovered after " + RECOVERY_MILLIS + " ms");
        }
        model.propose();
        accepted |= model.step();
      }
    }
  }
}
