package org.burdockbay.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.dispatch.DomainLoad;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who is alive and who dispatches, as host a of domain north sees it. */
public class MembershipTest {

  private static final Map<String, String> DOMAINS =
      Map.of("a", "north", "b", "north", "c", "south");
  private Membership membership;
  private List<MembershipEffect> effects;
  private long now;

  /** Makes the membership of host a. */
  @BeforeMethod
  public void createMembership() {
    now = 1_000_000;
    membership = new Membership("a", DOMAINS, now);
    effects = new ArrayList<>();
  }

  /**
   * A host comes back and stands first in line. Taking the role from the one that has it would cost
   * the domain a rebuild for nothing.
   */
  @Test
  public void doesNotTakeTheRoleFromLiveDispatchers() {
    heartbeat("b", 7, 1, false);
    advanceTime(5_000, () -> heartbeat("b", 7, 1, false));
    assertEquals(membership.claimedEpoch(), 0);
  }

  /**
   * All processes are killed. The upstreams still refuse tokens below the last one, and the new
   * dispatcher knows no other from before: only a host with a disk, which never dispatches itself,
   * remembers the epoch and tells it.
   */
  @Test
  public void claimsAboveEpochsReportedByNonDispatchingHosts() {
    Membership keeper =
        Membership.withDiscovery(
            "10.0.0.9", "control", MembershipOptions.ofAddress("10.0.0.9", 450, false), now);
    keeper.restore(1L << 52);
    assertEquals(keeper.highestEpoch(), 1L << 52);
    Membership starting =
        Membership.withDiscovery(
            "10.0.0.1", "entry", MembershipOptions.ofAddress("10.0.0.1", 450, true), now);
    starting.addHost("10.0.0.9", "control", 0);
    for (int i = 0; i < 20; i++) {
      now += 100;
      starting.heartbeat(
          new HostStatus(
              "10.0.0.9",
              "control",
              1,
              1,
              1,
              0,
              keeper.highestEpoch(),
              false,
              "",
              new DomainLoad(0, 0)),
          now);
      starting.tick(now);
    }
    assertTrue(starting.claimedEpoch() > 1L << 52, "claimed " + starting.claimedEpoch());
  }

  /** The dispatcher goes silent: the next in line claims with a higher epoch, and not before. */
  @Test
  public void claimsWithHigherEpochsOnceTheDispatcherIsLost() {
    long seen = 1L << 50;
    heartbeat("b", seen, 1, false);
    now += Membership.SILENCE_TIMEOUT_MILLIS;
    effects.addAll(membership.tick(now));
    assertEquals(membership.claimedEpoch(), 0);
    now += 1;
    effects.addAll(membership.tick(now));
    assertTrue(membership.claimedEpoch() > seen);
  }

  /**
   * Two hosts of a domain were cut off from each other and both claimed. When they hear each other
   * again, the lower epoch must give way, since the runners obey the higher one.
   */
  @Test
  public void yieldsToHigherClaims() {
    heartbeat("b", 0, 1, false);
    assertTrue(membership.claimedEpoch() != 0);
    heartbeat("b", membership.claimedEpoch() + 1, 1, false);
    assertEquals(membership.claimedEpoch(), 0);
    assertTrue(effects.contains(new MembershipEffect.Yield()));
  }

  /** A host that is stopping hands the role over as soon as there is a successor, not before. */
  @Test
  public void handsTheRoleOverOnlyToSuccessors() {
    advanceTime(3_000, () -> {});
    assertTrue(membership.claimedEpoch() != 0);
    effects.addAll(membership.drain(now));
    assertTrue(membership.claimedEpoch() != 0, "nobody else could finish its jobs");
    heartbeat("b", 0, 1, false);
    assertEquals(membership.claimedEpoch(), 0);
  }

  /**
   * A heartbeat that an earlier run of a process sent arrives after the restart. Believing it would
   * send jobs to a dispatcher that is gone.
   */
  @Test
  public void ignoresHeartbeatsOfEarlierIncarnations() {
    heartbeat("c", 0, 5, false);
    heartbeat("c", 99, 4, false);
    assertTrue(membership.routes().dispatcher("south").isEmpty());
  }

  /** A host that has just started doesn't know yet which domains there are to choose from. */
  @Test
  public void settlesOnceEveryDomainIsContactedOrTimeoutExpires() {
    heartbeat("b", 7, 1, false);
    assertFalse(membership.routes().settled());
    heartbeat("c", 8, 1, false);
    assertTrue(membership.routes().settled());
    Membership alone = new Membership("a", DOMAINS, now);
    alone.tick(now + Membership.SILENCE_TIMEOUT_MILLIS + 1);
    assertTrue(alone.routes().settled());
  }

  /** A domain whose hosts all stop takes no new keys; one with a live host does. */
  @Test
  public void opensOnlyDomainsWithNonDrainingHosts() {
    heartbeat("c", 8, 1, false);
    assertTrue(membership.routes().openDomains().contains("south"));
    heartbeat("c", 8, 1, true);
    assertFalse(membership.routes().openDomains().contains("south"));
  }

  private void heartbeat(String host, long epoch, long incarnation, boolean draining) {
    HostStatus status =
        new HostStatus(
            host,
            DOMAINS.get(host),
            incarnation,
            0,
            1,
            epoch,
            epoch,
            draining,
            "",
            new DomainLoad(0, 0));
    effects.addAll(membership.heartbeat(status, now));
  }

  private void advanceTime(long millis, Runnable each) {
    for (long passed = 0; passed < millis; passed += 250) {
      now += 250;
      each.run();
      effects.addAll(membership.tick(now));
    }
  }

  /**
   * Callers would see half a minute of refusals. A host restarts; its start alone takes longer than
   * the silence that counts as a loss. Before its first connection is up it takes itself for the
   * only host, claims the role with a newer epoch, and replaces a dispatcher that serves.
   */
  @Test
  public void claimsNothingBeforeOtherHostsCanBeContacted() {
    MembershipOptions terms = MembershipOptions.ofAddress("10.0.0.1", 450, true);
    Membership restarted = Membership.withDiscovery("10.0.0.1", "entry", terms, 0);
    restarted.addHost("10.0.0.2", "entry", 0);
    restarted.addHost("10.0.0.3", "entry", 0);
    assertTrue(claims(restarted.tick(1_000)).isEmpty(), "hears nobody yet");
    HostStatus quiet = idle("10.0.0.2");
    assertTrue(claims(restarted.heartbeat(quiet, 1_100)).isEmpty());
    restarted.heartbeat(quiet, 1_500);
    assertTrue(claims(restarted.tick(1_900)).isEmpty(), "heard for less than 900 ms");
    restarted.heartbeat(quiet, 1_950);
    assertEquals(claims(restarted.tick(2_001)).size(), 1);
  }

  /**
   * All hosts were killed and are up again. Each hears all that it is told of within moments, so
   * none needs to wait for one that might still serve; until one claims, callers wait or are
   * refused. A host that it is told of late is waited for, as it may be the one that serves.
   */
  @Test
  public void claimsEarlyOnceEveryKnownHostIsContacted() {
    MembershipOptions terms = MembershipOptions.ofAddress("10.0.0.1", 450, true);
    Membership restarted = Membership.withDiscovery("10.0.0.1", "entry", terms, 0);
    restarted.addHost("10.0.0.2", "entry", 50);
    assertTrue(claims(restarted.heartbeat(idle("10.0.0.2"), 100)).isEmpty());
    restarted.addHost("10.0.0.3", "entry", 200);
    restarted.heartbeat(idle("10.0.0.2"), 400);
    assertTrue(claims(restarted.tick(460)).isEmpty(), "10.0.0.3 wasn't heard yet");
    assertTrue(claims(restarted.heartbeat(idle("10.0.0.3"), 470)).isEmpty());
    restarted.heartbeat(idle("10.0.0.2"), 600);
    assertTrue(claims(restarted.tick(720)).isEmpty(), "others may become known yet");
    assertEquals(claims(restarted.tick(721)).size(), 1);
  }

  private static HostStatus idle(String host) {
    return new HostStatus(host, "entry", 1, 0, 1, 0, 0, false, "", new DomainLoad(0, 0));
  }

  private static List<MembershipEffect> claims(List<MembershipEffect> effects) {
    return effects.stream().filter(MembershipEffect.Claim.class::isInstance).toList();
  }
}
