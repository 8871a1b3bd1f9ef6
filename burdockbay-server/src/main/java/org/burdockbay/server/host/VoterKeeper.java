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
 * Reconciles the members of the Raft group with the hosts that have a data folder, one change at a
 * time; runs on the leader.
 *
 * <p>A host that returns with another storage incarnation has lost its disk. Its old voter is
 * removed first; the new member is added as a learner and becomes a voter only once it has synced
 * all committed entries. Otherwise a second loss shortly afterwards could lose entries that only
 * the wiped disk held.
 *
 * <p>A host beyond the target number of voters stays a learner until a voter is lost. It then
 * becomes a voter first, and the lost voter is removed afterwards.
 */
public final class VoterKeeper {

  private final int targetVoterCount;
  private final Predicate<String> isReplaceable;
  private final EventLog log;

  /**
   * Creates a keeper.
   *
   * @param targetVoterCount target number of voters
   * @param isReplaceable whether the voter on the host with the given id may be replaced because of
   *     the silence of the host
   */
  public VoterKeeper(int targetVoterCount, Predicate<String> isReplaceable, EventLog log) {
    this.targetVoterCount = targetVoterCount;
    this.isReplaceable = isReplaceable;
    this.log = log;
  }

  /**
   * Proposes the next membership change, if one is due.
   *
   * @param hosts statuses of the live hosts
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

  private Optional<VoterSet> nextMembers(RaftNode node, VoterId candidate) {
    VoterSet members = node.voters();
    if (members.isVoter(candidate)) {
      return Optional.empty();
    }
    Optional<VoterId> previous = members.voterOn(candidate.host());
    if (previous.isPresent()) {
      return Optional.of(members.without(previous.get()));
    }
    Optional<VoterId> staleLearner =
        members.learners().stream()
            .filter(learner -> learner.host().equals(candidate.host()))
            .filter(learner -> !learner.equals(candidate))
            .findFirst();
    if (staleLearner.isPresent()) {
      return Optional.of(members.without(staleLearner.get()));
    }
    if (!members.learners().contains(candidate)) {
      return Optional.of(members.withLearner(candidate));
    }
    boolean needed =
        members.voters().size() < targetVoterCount || findReplaceableVoter(members).isPresent();
    return needed && node.isCaughtUp(candidate)
        ? Optional.of(members.withVoter(candidate))
        : Optional.empty();
  }
}
