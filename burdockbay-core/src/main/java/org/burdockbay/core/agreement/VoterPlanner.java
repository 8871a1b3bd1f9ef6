package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/**
 * Plans the changes of members, one voter at a time, that let a group bear the configured losses.
 *
 * <p>Every host with a data folder is a member, so that a caught-up learner can replace a lost
 * voter at once. The number of voters follows from the tolerance; they are spread over the failure
 * domains.
 *
 * <ul>
 *   <li>A member whose host is live with another incarnation has lost its data folder. It is
 *       removed first, since it can't vote again.
 *   <li>A voter that is only silent still holds committed entries. It is removed only after a
 *       learner has become a voter in its place, so the copies of an entry don't become fewer.
 *   <li>A learner becomes a voter only once it has synced all committed entries. Otherwise a second
 *       loss shortly afterwards could lose entries that only the erased data folder held.
 * </ul>
 */
public final class VoterPlanner {

  private final FaultTolerance tolerance;
  private final OptionalInt fixedVoterCount;

  private VoterPlanner(FaultTolerance tolerance, OptionalInt fixedVoterCount) {
    this.tolerance = tolerance;
    this.fixedVoterCount = fixedVoterCount;
  }

  /** Returns a planner that takes as many hosts for voters as the tolerance requires. */
  public static VoterPlanner forTolerance(FaultTolerance tolerance) {
    return new VoterPlanner(tolerance, OptionalInt.empty());
  }

  /** Returns a planner for a group whose voters are configured; every host becomes a voter. */
  public static VoterPlanner forConfiguredVoters(FaultTolerance tolerance, int voterCount) {
    return new VoterPlanner(tolerance, OptionalInt.of(voterCount));
  }

  /** Returns the members after the next change, if one is due. */
  public Optional<VoterSet> nextChange(GroupView view) {
    return withoutErasedMember(view)
        .or(() -> withNewLearners(view))
        .or(() -> withoutSurplusVoter(view))
        .or(() -> withAnotherVoter(view));
  }

  /** Returns whether the voters, if all of them are available, bear the losses. */
  public boolean bearsTolerance(GroupView view) {
    return FaultMargin.of(view.members(), voter -> true, view::domainOf).bears(tolerance);
  }

  /** Returns whether the group has fewer voters than the known hosts allow. */
  public boolean lacksVoters(GroupView view) {
    return view.members().voters().size() < targetVoterCount(view);
  }

  private static Optional<VoterSet> withoutErasedMember(GroupView view) {
    return view.members().members().stream()
        .filter(view::isErased)
        .findFirst()
        .map(view.members()::without);
  }

  private static Optional<VoterSet> withNewLearners(GroupView view) {
    VoterSet next = view.members();
    for (MemberHost host : view.liveHosts()) {
      if (!next.members().contains(host.id())) {
        next = next.withLearner(host.id());
      }
    }
    return next.equals(view.members()) ? Optional.empty() : Optional.of(next);
  }

  private Optional<VoterSet> withoutSurplusVoter(GroupView view) {
    VoterSet members = view.members();
    if (members.voters().size() <= targetVoterCount(view)) {
      return Optional.empty();
    }
    Optional<VoterId> replaced = mostCrowded(view, view.isReplaceable());
    if (replaced.isPresent()) {
      return replaced.map(members::without);
    }
    if (!members.voters().stream().allMatch(view::isLive)) {
      return Optional.empty();
    }
    return mostCrowded(view, voter -> !voter.equals(view.leader()))
        .map(members::withDemoted)
        .filter(
            next ->
                next.voters().size() >= tolerance.minVoterCount()
                    || losableDomains(view, next) > losableDomains(view, members));
  }

  private Optional<VoterSet> withAnotherVoter(GroupView view) {
    VoterSet members = view.members();
    List<VoterId> sound = members.voters().stream().filter(view.isReplaceable().negate()).toList();
    Map<String, Integer> votersByDomain = countByDomain(view, sound);
    Optional<VoterId> candidate =
        members.learners().stream()
            .filter(view::isLive)
            .filter(view.isCaughtUp())
            .min(
                Comparator.comparingInt(
                    learner -> votersByDomain.getOrDefault(view.domainOf(learner), 0)));
    return candidate
        .filter(
            learner ->
                sound.size() < targetVoterCount(view)
                    || improvesSpread(view, votersByDomain, learner))
        .map(members::withVoter);
  }

  /**
   * Returns whether a learner in place of a voter of the most crowded domain lets the group bear
   * more losses of domains. The voter is removed by the next change.
   */
  private boolean improvesSpread(
      GroupView view, Map<String, Integer> votersByDomain, VoterId learner) {
    VoterSet members = view.members();
    int largest = votersByDomain.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    int own = votersByDomain.getOrDefault(view.domainOf(learner), 0);
    return members.voters().stream().allMatch(view::isLive)
        && losableDomains(view, members) < tolerance.domains()
        && own + 2 <= largest;
  }

  /** Returns how many domains the group could lose if all of its voters were available. */
  private static int losableDomains(GroupView view, VoterSet members) {
    return FaultMargin.of(members, voter -> true, view::domainOf).domains();
  }

  /** Returns the voter in the domain with the most voters, among those that match. */
  private static Optional<VoterId> mostCrowded(GroupView view, Predicate<VoterId> matches) {
    Map<String, Integer> votersByDomain = countByDomain(view, view.members().voters());
    return view.members().voters().stream()
        .filter(matches)
        .max(Comparator.comparingInt(voter -> votersByDomain.get(view.domainOf(voter))));
  }

  /**
   * Returns the number of voters to have with the known hosts. An even number bears no more losses
   * than the odd one below it.
   */
  private int targetVoterCount(GroupView view) {
    Set<VoterId> eligible = new HashSet<>(view.members().voters());
    view.liveHosts().forEach(host -> eligible.add(host.id()));
    if (fixedVoterCount.isPresent()) {
      return Math.min(fixedVoterCount.getAsInt(), eligible.size());
    }
    int minVoterCount = tolerance.minVoterCount();
    Collection<Integer> capacities = countByDomain(view, eligible).values();
    for (int count = minVoterCount; count <= eligible.size(); count += 2) {
      if (bearsLossOfDomains(count, capacities)) {
        return count;
      }
    }
    int largestOdd = eligible.size() - (eligible.size() + 1) % 2;
    return eligible.size() >= minVoterCount ? minVoterCount : largestOdd;
  }

  /** Returns whether this many voters, evenly spread, bear the loss of the tolerated domains. */
  private boolean bearsLossOfDomains(int voterCount, Collection<Integer> capacities) {
    List<Integer> free = new ArrayList<>(capacities);
    List<Integer> used = new ArrayList<>(capacities.stream().map(capacity -> 0).toList());
    for (int i = 0; i < voterCount; i++) {
      int next = -1;
      for (int domain = 0; domain < free.size(); domain++) {
        boolean hasRoom = used.get(domain) < free.get(domain);
        if (hasRoom && (next < 0 || used.get(domain) < used.get(next))) {
          next = domain;
        }
      }
      used.set(next, used.get(next) + 1);
    }
    int lost =
        used.stream()
            .sorted(Comparator.reverseOrder())
            .limit(tolerance.domains())
            .mapToInt(Integer::intValue)
            .sum();
    return lost <= (voterCount - 1) / 2;
  }

  private static Map<String, Integer> countByDomain(GroupView view, Collection<VoterId> members) {
    Map<String, Integer> counts = new TreeMap<>();
    members.forEach(member -> counts.merge(view.domainOf(member), 1, Integer::sum));
    return counts;
  }

  /**
   * What the leader knows about the members of its group.
   *
   * @param members members of the group
   * @param leader the leader
   * @param liveHosts live hosts with a data folder, including the leader's
   * @param domainByHost failure domains of the live and earlier hosts, by host id
   * @param isCaughtUp whether a learner has synced all committed entries
   * @param isReplaceable whether a voter is to be replaced, as it is silent for long or its storage
   *     has failed
   */
  public record GroupView(
      VoterSet members,
      VoterId leader,
      List<MemberHost> liveHosts,
      Map<String, String> domainByHost,
      Predicate<VoterId> isCaughtUp,
      Predicate<VoterId> isReplaceable) {

    /** Copies the collections to make the view immutable. */
    public GroupView {
      liveHosts = List.copyOf(liveHosts);
      domainByHost = Map.copyOf(domainByHost);
    }

    /** Returns the failure domain of a member; a host whose domain is unknown counts as its own. */
    String domainOf(VoterId member) {
      return domainByHost.getOrDefault(member.host(), member.host());
    }

    boolean isLive(VoterId member) {
      return liveHosts.stream().anyMatch(host -> host.id().equals(member));
    }

    /** Returns whether the host of a member is live with the data folder of another incarnation. */
    boolean isErased(VoterId member) {
      return liveHosts.stream()
          .anyMatch(host -> host.id().host().equals(member.host()) && !host.id().equals(member));
    }
  }
}
