package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The members of a group.
 *
 * @param voters those that count for a quorum
 * @param learners those that receive the log and don't count
 */
public record VoterSet(List<VoterId> voters, List<VoterId> learners) {

  /** A group without members; a new host starts with it and neither votes nor campaigns. */
  public static final VoterSet EMPTY = new VoterSet(List.of(), List.of());

  /** Copies the lists. */
  public VoterSet {
    voters = List.copyOf(voters);
    learners = List.copyOf(learners);
  }

  /** Returns the number of voters that form a quorum. */
  public int quorumSize() {
    return voters.size() / 2 + 1;
  }

  /** Returns whether the member counts for a quorum. */
  public boolean isVoter(VoterId member) {
    return voters.contains(member);
  }

  /** Returns voters and learners. */
  public List<VoterId> members() {
    List<VoterId> members = new ArrayList<>(voters);
    members.addAll(learners);
    return members;
  }

  /** Returns the voter that is on the given host, if one is. */
  public Optional<VoterId> voterOn(String host) {
    return voters.stream().filter(voter -> voter.host().equals(host)).findFirst();
  }

  /** Returns whether at least a quorum of the voters passes the test. */
  public boolean hasQuorum(Predicate<VoterId> test) {
    return voters.stream().filter(test).count() >= quorumSize();
  }

  /** Returns the set without a member. */
  public VoterSet without(VoterId member) {
    return new VoterSet(
        voters.stream().filter(other -> !other.equals(member)).toList(),
        learners.stream().filter(other -> !other.equals(member)).toList());
  }

  /** Returns the set with one more learner. */
  public VoterSet withLearner(VoterId member) {
    List<VoterId> more = new ArrayList<>(learners);
    more.add(member);
    return new VoterSet(voters, more);
  }

  /** Returns the set in which the learner counts. */
  public VoterSet withVoter(VoterId member) {
    VoterSet rest = without(member);
    List<VoterId> more = new ArrayList<>(rest.voters());
    more.add(member);
    return new VoterSet(more, rest.learners());
  }

  /** Returns whether the other set differs by at most one voter, so that their quorums overlap. */
  public boolean isSingleVoterChange(VoterSet other) {
    long removed = voters.stream().filter(voter -> !other.isVoter(voter)).count();
    long added = other.voters().stream().filter(voter -> !isVoter(voter)).count();
    return removed + added <= 1;
  }
}
