package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Members of a group: its voters and learners.
 *
 * @param voters members that count towards a quorum
 * @param learners members that receive the log without voting
 */
public record VoterSet(List<VoterId> voters, List<VoterId> learners) {

  /** Group without members. A new host starts with it and neither votes nor starts elections. */
  public static final VoterSet EMPTY = new VoterSet(List.of(), List.of());

  /** Copies the lists to make the set immutable. */
  public VoterSet {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /** Returns the number of voters required for a quorum. */
  public int quorumSize() {
    return voters.size() / 2 + 1;
  }

  /** Returns whether a member is a voter. */
  public boolean isVoter(VoterId member) {
    return voters.contains(member);
  }

  /** Returns all voters and learners. */
  public List<VoterId> members() {
    List<VoterId> members = new ArrayList<>(voters);
    members.addAll(learners);
    return members;
  }

  /** Returns the voter on a host, if any. */
  public Optional<VoterId> voterOn(String host) {
    return voters.stream().filter(voter -> voter.host().equals(host)).findFirst();
  }

  /** Returns whether at least a quorum of the voters satisfies a predicate. */
  public boolean hasQuorum(Predicate<VoterId> test) {
    return voters.stream().filter(test).count() >= quorumSize();
  }

  /** Returns this set without a member. */
  public VoterSet without(VoterId member) {
    return new VoterSet(
        voters.stream().filter(other -> !other.equals(member)).toList(),
        learners.stream().filter(other -> !other.equals(member)).toList());
  }

  /** Returns this set with an additional learner. */
  public VoterSet withLearner(VoterId member) {
    List<VoterId> newLearners = new ArrayList<>(learners);
    newLearners.add(member);
    return new VoterSet(voters, newLearners);
  }

  /** Returns this set with a member added as a voter or promoted from learner to voter. */
  public VoterSet withVoter(VoterId member) {
    VoterSet others = without(member);
    List<VoterId> newVoters = new ArrayList<>(others.voters());
    newVoters.add(member);
    return new VoterSet(newVoters, others.learners());
  }

  /** Returns this set with a voter turned into a learner. */
  public VoterSet withDemoted(VoterId voter) {
    return without(voter).withLearner(voter);
  }

  /**
   * Returns whether another set differs by at most one voter, which guarantees overlapping quorums.
   */
  public boolean isSingleVoterChange(VoterSet other) {
    long removed = voters.stream().filter(voter -> !other.isVoter(voter)).count();
    long added = other.voters().stream().filter(voter -> !isVoter(voter)).count();
    return removed + added <= 1;
  }
}
