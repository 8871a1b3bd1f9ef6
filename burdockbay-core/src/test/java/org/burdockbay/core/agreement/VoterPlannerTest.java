package org.burdockbay.core.agreement;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.burdockbay.core.FuzzOptions;
import org.testng.annotations.Test;

/** Tests {@link VoterPlanner}; the first letter of a host is its failure domain. */
public class VoterPlannerTest {

  private static final FaultTolerance TWO_HOSTS = new FaultTolerance(2, 1);
  private static final int MAX_CHANGES = 100;

  /** Guards against the three voters of a first start or of older data that stay alone. */
  @Test
  public void addsVotersUntilToleratedLossesAreBorne() {
    Group group = new Group(TWO_HOSTS, "a1", "b1", "c1").withLive("a2", "b2", "c2");
    assertTrue(group.planner.lacksVoters(group.view()));
    group.settle();
    assertEquals(group.members.voters().size(), 5);
    assertEquals(group.margin(), new FaultMargin(2, 1));
    assertEquals(group.members.learners().size(), 1);
  }

  /** Guards against voters that all lie in the domain of the seeds. */
  @Test
  public void spreadsVotersOverDomains() {
    Group group =
        new Group(FaultTolerance.DEFAULT, "a1", "a2", "a3").withLive("b1", "b2", "c1", "c2");
    group.settle();
    assertEquals(group.members.voters().size(), 3);
    assertEquals(group.margin(), new FaultMargin(1, 1));
  }

  /** Guards against fewer copies of an entry because voters were cut off for a while. */
  @Test
  public void keepsSilentVotersThatNoLearnerCanReplace() {
    Group group = new Group(TWO_HOSTS, "a1", "b1", "c1", "d1", "e1");
    group.silence("d1", "e1");
    group.settle();
    assertEquals(group.members.voters().size(), 5);
    group.withLive("f1").settle();
    assertEquals(group.members.voters().size(), 5);
    assertTrue(group.members.voterOn("f1").isPresent());
    assertEquals(group.margin().hosts(), 1);
  }

  /** Guards against erased voters that stay in the quorum until they are replaced. */
  @Test
  public void removesErasedVotersFirst() {
    Group group = new Group(TWO_HOSTS, "a1", "b1", "c1", "d1", "e1");
    group.erase("a1");
    group.erase("b1");
    group.caughtUp.clear();
    group.settle();
    assertEquals(group.members.voters().size(), 3);
    assertEquals(group.margin().hosts(), 1);
    group.caughtUp.addAll(group.members.learners());
    group.settle();
    assertEquals(group.margin().hosts(), 2);
  }

  /** Guards against voters without domains to spare when there are fewer hosts than needed. */
  @Test
  public void bearsWhatFewerHostsAllow() {
    Group group = new Group(TWO_HOSTS, "a1", "b1", "c1").withLive("a2");
    group.settle();
    assertEquals(group.margin(), new FaultMargin(1, 1));
    assertFalse(group.planner.lacksVoters(group.view()));
  }

  /** Guards against a leader that removes itself to spread the voters. */
  @Test
  public void neverDemotesLeader() {
    Group group = new Group(FaultTolerance.DEFAULT, "a1", "a2", "b1").withLive("c1");
    group.settle();
    assertTrue(group.members.voterOn("a1").isPresent());
    assertEquals(group.margin(), new FaultMargin(1, 1));
  }

  /** Guards against configured voters that are demoted because fewer would do. */
  @Test
  public void keepsConfiguredVoters() {
    Group group = new Group(FaultTolerance.DEFAULT, "a1", "b1", "c1", "d1");
    group.planner = VoterPlanner.forConfiguredVoters(FaultTolerance.DEFAULT, 4);
    group.settle();
    assertEquals(group.members.voters().size(), 4);
    Group pair = new Group(FaultTolerance.DEFAULT, "a1", "b1");
    pair.settle();
    assertEquals(pair.members.voters().size(), 2);
  }

  /** Guards against plans that never end, end below the tolerance or take the quorum meanwhile. */
  @Test
  public void reachesToleranceFromAnyState() {
    for (int i = 0; i < FuzzOptions.exampleCount(2_000); i++) {
      SplittableRandom random = new SplittableRandom(FuzzOptions.seed() + i);
      FaultTolerance tolerance = new FaultTolerance(1 + random.nextInt(3), random.nextInt(3));
      List<String> hosts = new ArrayList<>();
      for (int domain = 0; domain < 2 * tolerance.domains() + 1 + random.nextInt(3); domain++) {
        int size = 3 * tolerance.hosts() + 1 + random.nextInt(2);
        for (int host = 0; host < size; host++) {
          hosts.add((char) ('a' + domain) + "" + host);
        }
      }
      int first = 1 + random.nextInt(Math.min(7, hosts.size()));
      Group group = new Group(tolerance, hosts.subList(0, first).toArray(new String[0]));
      group.withLive(hosts.toArray(new String[0]));
      group.settle();
      assertTrue(
          group.margin().bears(tolerance),
          "seed " + (FuzzOptions.seed() + i) + ": " + group.members);
      group.loseAndSettle(hosts, tolerance.hosts(), random);
      assertTrue(
          group.margin().bears(tolerance),
          "seed " + (FuzzOptions.seed() + i) + ": " + group.members);
    }
  }

  /** Group whose learners catch up at once, unless a test clears them. */
  private static final class Group {

    private VoterPlanner planner;
    private VoterSet members;
    private final String leader;
    private final Map<String, Long> live = new HashMap<>();
    private final Set<String> silent = new HashSet<>();
    private final Set<VoterId> caughtUp = new HashSet<>();
    private long lastIncarnation = 1;

    Group(FaultTolerance tolerance, String... voters) {
      planner = VoterPlanner.forTolerance(tolerance);
      leader = voters[0];
      withLive(voters);
      members =
          new VoterSet(
              List.of(voters).stream().map(voter -> new VoterId(voter, 1)).toList(), List.of());
    }

    Group withLive(String... hosts) {
      for (String host : hosts) {
        live.putIfAbsent(host, 1L);
        caughtUp.add(new VoterId(host, 1));
      }
      return this;
    }

    void silence(String... hosts) {
      for (String host : hosts) {
        live.remove(host);
        silent.add(host);
      }
    }

    void erase(String host) {
      lastIncarnation++;
      live.put(host, lastIncarnation);
      caughtUp.add(new VoterId(host, lastIncarnation));
    }

    /** Silences or erases hosts other than the leader, and carries the plan out. */
    void loseAndSettle(List<String> hosts, int count, SplittableRandom random) {
      List<String> others = new ArrayList<>(hosts);
      others.remove(leader);
      for (int i = 0; i < count; i++) {
        String lost = others.remove(random.nextInt(others.size()));
        if (random.nextBoolean()) {
          silence(lost);
        } else {
          erase(lost);
        }
      }
      settle();
    }

    /** Carries out the planned changes, each of which must keep a quorum of the live voters. */
    void settle() {
      for (int i = 0; i < MAX_CHANGES; i++) {
        Optional<VoterSet> next = planner.nextChange(view());
        if (next.isEmpty()) {
          return;
        }
        assertTrue(members.isSingleVoterChange(next.get()), members + " to " + next.get());
        members = next.get();
        assertTrue(margin().hosts() >= 0, members + " has no quorum");
      }
      throw new AssertionError("the plan has no end: " + members);
    }

    FaultMargin margin() {
      return FaultMargin.of(members, view()::isLive, voter -> voter.host().substring(0, 1));
    }

    VoterPlanner.GroupView view() {
      Map<String, String> domains = new HashMap<>();
      List<MemberHost> hosts = new ArrayList<>();
      live.forEach(
          (host, incarnation) -> {
            domains.put(host, host.substring(0, 1));
            hosts.add(new MemberHost(new VoterId(host, incarnation), host.substring(0, 1)));
          });
      silent.forEach(host -> domains.put(host, host.substring(0, 1)));
      return new VoterPlanner.GroupView(
          members,
          new VoterId(leader, 1),
          hosts,
          domains,
          caughtUp::contains,
          voter -> silent.contains(voter.host()));
    }
  }
}
