package org.burdockbay.core.agreement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/**
 * Further losses that a group bears: after each of them, a quorum of its voters is still available.
 *
 * @param hosts number of further hosts that may be lost together; -1 without a quorum
 * @param domains number of further failure domains that may be lost together; -1 without a quorum
 */
public record FaultMargin(int hosts, int domains) {

  /** Margin of a group that has no quorum, or whose members aren't known. */
  public static final FaultMargin NO_QUORUM = new FaultMargin(-1, -1);

  /**
   * Returns the margin of a group.
   *
   * @param isAvailable whether a voter is up, connected and has its data folder
   * @param domainOf returns the failure domain of a voter
   */
  public static FaultMargin of(
      VoterSet members, Predicate<VoterId> isAvailable, Function<VoterId, String> domainOf) {
    List<VoterId> available = members.voters().stream().filter(isAvailable).toList();
    int spare = available.size() - members.quorumSize();
    if (spare < 0) {
      return NO_QUORUM;
    }
    Collection<Long> votersByDomain =
        available.stream().collect(Collectors.groupingBy(domainOf, Collectors.counting())).values();
    return new FaultMargin(spare, countLosableDomains(votersByDomain, spare));
  }

  /**
   * Returns the margin of a group whose members are being changed. Until the change is committed,
   * the group bears only what both sets of members bear.
   */
  public static FaultMargin of(
      VoterSet latest,
      VoterSet committed,
      Predicate<VoterId> isAvailable,
      Function<VoterId, String> domainOf) {
    FaultMargin before = of(committed, isAvailable, domainOf);
    FaultMargin after = of(latest, isAvailable, domainOf);
    return new FaultMargin(
        Math.min(before.hosts, after.hosts), Math.min(before.domains, after.domains));
  }

  /** Returns whether the group bears at least the given losses. */
  public boolean bears(FaultTolerance tolerance) {
    return hosts >= tolerance.hosts() && domains >= tolerance.domains();
  }

  /** Returns how many of the domains, the largest first, have at most the spare voters together. */
  private static int countLosableDomains(Collection<Long> votersByDomain, int spare) {
    long lost = 0;
    int domains = 0;
    for (long voters : votersByDomain.stream().sorted(Comparator.reverseOrder()).toList()) {
      lost += voters;
      if (lost > spare) {
        break;
      }
      domains++;
    }
    return domains;
  }
}
