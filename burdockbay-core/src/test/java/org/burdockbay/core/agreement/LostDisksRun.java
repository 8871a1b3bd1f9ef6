package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.burdockbay.core.FuzzOptions;

/**
 * Simulation of a group that loses disks right after acknowledgements. Tolerance, hosts, failure
 * domains, the order of all events and the losses are drawn.
 */
final class LostDisksRun {

  private static final int LOSSES = 4;
  private static final int MAX_ROUNDS = 2_000;

  private final SplittableRandom random;
  private final FaultTolerance tolerance;
  private final RaftModel model;
  private final int domains;

  LostDisksRun(long seed) {
    random = new SplittableRandom(seed);
    tolerance = new FaultTolerance(1 + random.nextInt(3), 1);
    domains = 3 + random.nextInt(3);
    int needed = tolerance.minVoterCount();
    int hosts = Math.max(3, needed - 1 + random.nextInt(4));
    model = new RaftModel(hosts, domains, tolerance);
  }

  void run() {
    for (int i = 0; i < LOSSES; i++) {
      if (random.nextBoolean()) {
        settle();
      }
      acknowledgeChange();
      if (random.nextBoolean()) {
        model.leader().ifPresent(leader -> reconcile(model.members.indexOf(leader)));
      }
      loseDisks(toLose());
    }
    settle();
    FuzzOptions.recordExample("raft-lost-disks", LOSSES, model.committed.size());
  }

  /** Lets the group replace its voters, and checks that it bears the losses with enough hosts. */
  private void settle() {
    model.members.forEach(RaftModel.Member::restartIfDown);
    for (int round = 0; round < MAX_ROUNDS; round++) {
      runRound();
      Optional<RaftModel.Member> leader = model.leader();
      if (leader.isPresent() && model.margin(leader.get()).bears(expectedMargin())) {
        return;
      }
    }
    throw new AssertionError("expected " + expectedMargin() + ": " + model.describe());
  }

  /** Returns the losses that the hosts allow the group to bear. */
  private FaultTolerance expectedMargin() {
    int hosts = model.members.size();
    boolean enough = hosts >= tolerance.minVoterCount();
    return enough ? tolerance : new FaultTolerance((hosts - 1) / 2, 1);
  }

  /**
   * Proposes a change, and delivers messages and syncs in any order until the leader applies it.
   */
  private void acknowledgeChange() {
    for (int round = 0; round < MAX_ROUNDS; round++) {
      Optional<RaftModel.Member> leader = model.leader();
      if (leader.isEmpty() || !model.acceptsChanges(leader.get())) {
        runRound();
        continue;
      }
      long proposed = leader.get().node.lastIndex() + 1;
      long term = leader.get().node.term();
      model.propose(model.members.indexOf(leader.get()));
      if (leader.get().node.lastIndex() >= proposed && awaitCommit(leader.get(), proposed, term)) {
        return;
      }
    }
    throw new AssertionError("no change is acknowledged: " + model.describe());
  }

  private boolean awaitCommit(RaftModel.Member leader, long index, long term) {
    for (int step = 0; step < 2_000 && leader.node.term() == term; step++) {
      if (leader.node.commitIndex() >= index) {
        return true;
      }
      int member = random.nextInt(model.members.size());
      switch (random.nextInt(8)) {
        case 0 -> model.tick(member, 1);
        case 1, 2 -> model.members.get(member).sync();
        case 3 -> reconcile(model.members.indexOf(leader));
        default -> model.deliver(random.nextInt(1_000), random.nextInt(20) == 0);
      }
    }
    return false;
  }

  /** Returns hosts that the group says it can lose now: single ones, or whole domains. */
  private Set<RaftModel.Member> toLose() {
    FaultMargin margin = model.leader().map(model::margin).orElse(FaultMargin.NO_QUORUM);
    List<RaftModel.Member> lost = new ArrayList<>();
    if (random.nextInt(3) == 0) {
      int first = random.nextInt(domains);
      for (int i = 0; i < margin.domains(); i++) {
        lost.addAll(model.hostsOfDomain((first + i) % domains));
      }
    } else {
      List<RaftModel.Member> others = new ArrayList<>(model.members);
      for (int i = 0; i < margin.hosts(); i++) {
        lost.add(others.remove(random.nextInt(others.size())));
      }
    }
    return Set.copyOf(lost);
  }

  private void loseDisks(Set<RaftModel.Member> lost) {
    lost.forEach(RaftModel.Member::wipeDisk);
    if (random.nextInt(3) == 0) {
      model.members.stream().filter(member -> !lost.contains(member)).forEach(this::losePower);
    }
    if (random.nextInt(3) == 0) {
      lost.forEach(RaftModel.Member::crash);
    }
    for (int round = random.nextInt(40); round > 0; round--) {
      runRound();
    }
  }

  private void losePower(RaftModel.Member member) {
    member.crash(random.nextInt(3));
    member.restart();
  }

  private void runRound() {
    model.runFaultFreeRound(1);
    reconcile(random.nextInt(model.members.size()));
  }

  private void reconcile(int member) {
    model.reconcile(member);
  }
}
