package org.burdockbay.core.agreement;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

import java.util.List;
import org.burdockbay.core.FuzzOptions;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Fuzzes groups of voters with injected faults; {@link RaftModel} checks the invariants. */
public class RaftFuzzTest {

  private static final int STEPS = 600;

  /**
   * A committed entry is lost, or two hosts accept changes at the same time, because of a fault in
   * elections, commitment or persistence. Messages are lost, duplicated and reordered; hosts crash
   * with unsynced writes, pause and are partitioned, in any order.
   */
  @Test
  public void keepsCommittedEntriesThroughCrashesPartitionsAndPauses() {
    qt().withFixedSeed(FuzzOptions.seed())
        .withExamples(FuzzOptions.exampleCount(150))
        .withShrinkCycles(FuzzOptions.MAX_SHRINK_CYCLES)
        .forAll(lists().of(integers().between(0, 999_999)).ofSize(STEPS))
        .checkAssert(steps -> run(steps, false));
  }

  /**
   * A committed entry is lost after a disk was replaced, because the erased voter votes again, or
   * because it counts towards a quorum before it has all committed entries. A host loses its disk
   * and restarts with an empty one, and another host crashes right after the repair.
   */
  @Test
  public void keepsCommittedEntriesThroughLostDisks() {
    qt().withFixedSeed(FuzzOptions.seed())
        .withExamples(FuzzOptions.exampleCount(150))
        .withShrinkCycles(FuzzOptions.MAX_SHRINK_CYCLES)
        .forAll(lists().of(integers().between(0, 999_999)).ofSize(STEPS))
        .checkAssert(steps -> run(steps, true));
  }

  /** Guards against losing an accepted change with as many disks as the group says it bears. */
  @Test
  public void keepsAcknowledgedChangesWhenToleratedDisksAreLost() {
    qt().withFixedSeed(FuzzOptions.seed())
        .withExamples(FuzzOptions.exampleCount(400))
        .withShrinkCycles(FuzzOptions.MAX_SHRINK_CYCLES)
        .forAll(integers().between(0, Integer.MAX_VALUE - 1))
        .checkAssert(seed -> new LostDisksRun(seed).run());
  }

  /** Prints the statistics of the run. */
  @AfterClass
  public void printStatistics() {
    System.out.println(FuzzOptions.summary("raft"));
    System.out.println(FuzzOptions.summary("raft-lost-disks"));
  }

  private static void run(List<Integer> steps, boolean loseDisks) {
    int voters = steps.getFirst() % 2 == 0 ? 3 : 5;
    RaftModel model = new RaftModel(voters);
    for (int step : steps) {
      step(model, step % 100, step / 100, loseDisks);
    }
    FuzzOptions.recordExample("raft", steps.size(), model.committed.size());
    if (!model.recovers()) {
      throw new AssertionError("no new commit after all faults ended: " + model.describe());
    }
  }

  private static void step(RaftModel model, int action, int number, boolean loseDisks) {
    int member = number % model.members.size();
    RaftModel.Member target = model.members.get(member);
    if (action < 34) {
      model.runFaultFreeRound(5);
    } else if (action < 44) {
      model.deliver(number, false);
    } else if (action < 47) {
      model.deliver(number, true);
    } else if (action < 50) {
      model.drop(number);
    } else if (action < 56) {
      model.tick(member, 1 + number % 80);
    } else if (action < 62) {
      target.sync();
    } else if (action < 70) {
      model.propose(member);
    } else if (action < 73) {
      target.crash(number / model.members.size() % 4);
    } else if (action < 82) {
      target.restartIfDown();
    } else if (action < 84) {
      target.partitioned = true;
    } else if (action < 89) {
      target.partitioned = false;
    } else if (action < 90) {
      target.paused = true;
    } else if (action < 93) {
      target.paused = false;
    } else if (action < 95) {
      model.compact(member);
    } else if (action < 96) {
      model.transfer(member);
    } else if (action < 98) {
      model.reconcile(member);
    } else if (loseDisks && canLoseDisk(model, target)) {
      target.wipeDisk();
      model.runRepair();
    }
  }

  /**
   * Returns whether every known set of voters retains a quorum with intact disks if the target
   * loses its disk.
   */
  private static boolean canLoseDisk(RaftModel model, RaftModel.Member target) {
    for (RaftModel.Member member : model.members) {
      if (member.node == null) {
        return false;
      }
      VoterSet set = member.node.voters();
      long intact =
          set.voters().stream()
              .filter(voter -> !voter.equals(target.id))
              .filter(voter -> model.members.stream().anyMatch(m -> m.id.equals(voter)))
              .count();
      if (!set.voters().isEmpty() && intact < set.quorumSize()) {
        return false;
      }
    }
    return true;
  }
}
