package org.burdockbay.server.host;

import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterSet;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.server.logging.EventLog;

/**
 * At the leader, brings the members in line with the hosts that have a data folder, one change at a
 * time.
 *
 * <p>A host that comes back with another incarnation has lost its disk. Its old voter leaves first;
 * the new one enters as a learner and counts only once it holds, synced, all that is committed.
 * Otherwise a second loss right after the repair could lose what only the wiped disk had.
 *
 * <p>A host beyond the wanted number stays a learner until a voter is lost. It then takes the place
 * of that voter: it counts first, and the lost one leaves after that.
 */
public final class VoterKeeper {

  private final int targetVoterCount;
  private final Predicate<String> isReplaceable;
  private final EventLog log;

  /**
   * Creates a keeper.
   *
   * @param wanted how many voters there should be
   * @param lost whether the host with the given id has been silent for so long that it may be
   *     replaced
   */
  public VoterKeeper(int wanted, Predicate<String> lost, EventLog log) {
    this.targetVoterCount = wanted;
    this.isReplaceable = lost;
    this.log = log;
  }

  /**
   * Proposes the next change, if one is due.
   *
   * @param hosts the live hosts
   */
  public void reconcile(RaftNode node, List<HostStatus> hosts, long now) {
    Optional<VoterSet> next = withoutSurplusVoter(node.voters());
    for (HostStatus host : hosts) {
      if (next.isEmpty() && host.storageIncarnation() != 0) {
        next = nextMembers(node, new VoterId(host.host(), host.storageIncarnation()));
      }
    }
    if (next.isPresent() && node.proposeMembers(next.get(), now)) {
      log.info(
          "voters-changed", "voters=" + next.get().voters() + " learners=" + next.get().learners());
    }
  }

  private Optional<VoterSet> withoutSurplusVoter(VoterSet members) {
    if (members.voters().size() <= targetVoterCount) {
      return Optional.empty();
    }
    return findReplaceableVoter(members).map(members::without);
  }

  private Optional<VoterId> findReplaceableVoter(VoterSet members) {
    return members.voters().stream().filter(voter -> isReplaceable.test(voter.host())).findFirst();
  }

  private Optional<VoterSet> nextMembers(RaftNode node, VoterId present) {
    VoterSet members = node.voters();
    if (members.isVoter(present)) {
      return Optional.empty();
    }
    Optional<VoterId> old = members.voterOn(present.host());
    if (old.isPresent()) {
      return Optional.of(members.without(old.get()));
    }
    Optional<VoterId> staleLearner =
        members.learners().stream()
            .filter(learner -> learner.host().equals(present.host()))
            .filter(learner -> !learner.equals(present))
            .findFirst();
    if (staleLearner.isPresent()) {
      return Optional.of(members.without(staleLearner.get()));
    }
    if (!members.learners().contains(present)) {
      return Optional.of(members.withLearner(present));
    }
    boolean needed =
        members.voters().size() < targetVoterCount || findReplaceableVoter(members).isPresent();
    return needed && node.isCaughtUp(present)
        ? Optional.of(members.withVoter(present))
        : Optional.empty();
  }
}
