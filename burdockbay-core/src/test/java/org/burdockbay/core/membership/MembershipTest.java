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

/** Tests liveness and dispatcher election from the view of host a in domain north. */
public class MembershipTest {

  private static final Map<String, String> DOMAINS =
      Map.of("a", "north", "b", "north", "c", "south");
  private Membership membership;
  private List<MembershipEffect> effects;
  private long now;

  /** Creates the membership of host a. */
  @BeforeMethod
  public void createMembership() {
    now = 1_000_000;
    membership = new Membership("a", DOMAINS, now);
    effects = new ArrayList<>();
  }

  /**
   * A host that precedes the dispatcher in the election order returns. Taking over the role would
   * cause an unnecessary rebuild in the domain.
   */
  @Test
  public void doesNotTakeTheRoleFromLiveDispatchers() {
    heartbeat("b", 7, 1, false);
    advanceTime(5_000, () -> heartbeat("b", 7, 1, false));
    assertEquals(membership.claimedEpoch(), 0);
  }

  /**
   * All processes are killed. The upstreams still refuse tokens below the last epoch, which the new
   * dispatcher doesn't know. Only a host with a disk, which never dispatches itself, has stored the
   * epoch and reports it.
   */
  @Test
  public void claimsAboveEpochsReportedByNonDispatchingHosts() {
    Membership controlHost =
        Membership.withDiscovery(
            "10.0.0.9", "control", MembershipOptions.ofAddress("10.0.0.9", 450, false), now);
    controlHost.restore(1L << 52);
    assertEquals(controlHost.highestEpoch(), 1L << 52);
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
              controlHost.highestEpoch(),
              false,
              "",
              new DomainLoad(0, 0)),
          now);
      starting.tick(now);
    }
    assertTrue(starting.claimedEpoch() > 1L << 52, "claimed " + starting.claimedEpoch());
  }

  /**
   * The dispatcher becomes silent. The next host must claim the role with a higher epoch, and only
   * after the silence timeout.
   */
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
   * Two hosts of a domain were separated by a network partition and both claimed the role. When
   * they reconnect, the claim with the lower epoch must be given up, since the upstreams accept
   * only the higher one.
   */
  @Test
  public void yieldsToHigherClaims() {
    heartbeat("b", 0, 1, false);
    assertTrue(membership.claimedEpoch() != 0);
    heartbeat("b", membership.claimedEpoch() + 1, 1, false);
    assertEquals(membership.claimedEpoch(), 0);
    assertTrue(effects.contains(new MembershipEffect.Yield()));
  }

  /**
   * A stopping host must hand over its role as soon as there is a successor. Without one, its jobs
   * would remain unfinished.
   */
  @Test
  public void handsTheRoleOverOnlyToSuccessors() {
    advanceTime(3_000, () -> {});
    assertTrue(membership.claimedEpoch() != 0);
    effects.addAll(membership.drain(now));
    assertTrue(membership.claimedEpoch() != 0, "no successor could complete its jobs");
    heartbeat("b", 0, 1, false);
    assertEquals(membership.claimedEpoch(), 0);
  }

  /**
   * A heartbeat of an earlier incarnation arrives after the restart. Accepting it would route jobs
   * to a dispatcher that no longer exists.
   */
  @Test
  public void ignoresHeartbeatsOfEarlierIncarnations() {
    heartbeat("c", 0, 5, false);
    heartbeat("c", 99, 4, false);
    assertTrue(membership.routes().dispatcher("south").isEmpty());
  }

  /**
   * A host that has just started doesn't know all domains yet and would choose a wrong home domain
   * for a key.
   */
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

  /** Guards against a domain that receives new keys although all its hosts are stopping. */
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

  private void advanceTime(long millis, Runnable action) {
    for (long passed = 0; passed < millis; passed += 250) {
      now += 250;
      action.run();
      effects.addAll(membership.tick(now));
    }
  }

  /**
   * A host restarts, and its start alone takes longer than the silence timeout. Before its first
   * connection is established it considers itself the only host, claims the role with a higher
   * epoch and replaces a working dispatcher. Callers are refused for half a minute.
   */
  @Test
  public void claimsNothingBeforeOtherHostsCanBeContacted() {
    MembershipOptions options = MembershipOptions.ofAddress("10.0.0.1", 450, true);
    Membership restarted = Membership.withDiscovery("10.0.0.1", "entry", options, 0);
    restarted.addHost("10.0.0.2", "entry", 0);
    restarted.addHost("10.0.0.3", "entry", 0);
    assertTrue(claims(restarted.tick(1_000)).isEmpty(), "no host contacted yet");
    HostStatus peer = idle("10.0.0.2");
    assertTrue(claims(restarted.heartbeat(peer, 1_100)).isEmpty());
    restarted.heartbeat(peer, 1_500);
    assertTrue(claims(restarted.tick(1_900)).isEmpty(), "less than 900 ms since the first contact");
    restarted.heartbeat(peer, 1_950);
    assertEquals(claims(restarted.tick(2_001)).size(), 1);
  }

  /**
   * All hosts were killed and restarted. Each contacts all known hosts almost immediately, so it
   * needn't wait the full settle time for a working dispatcher; until a host claims the role,
   * callers wait or are refused. A host discovered later must be waited for, as it may be the
   * dispatcher.
   */
  @Test
  public void claimsEarlyOnceEveryKnownHostIsContacted() {
    MembershipOptions options = MembershipOptions.ofAddress("10.0.0.1", 450, true);
    Membership restarted = Membership.withDiscovery("10.0.0.1", "entry", options, 0);
    restarted.addHost("10.0.0.2", "entry", 50);
    assertTrue(claims(restarted.heartbeat(idle("10.0.0.2"), 100)).isEmpty());
    restarted.addHost("10.0.0.3", "entry", 200);
    restarted.heartbeat(idle("10.0.0.2"), 400);
    assertTrue(claims(restarted.tick(460)).isEmpty(), "10.0.0.3 not contacted yet");
    assertTrue(claims(restarted.heartbeat(idle("10.0.0.3"), 470)).isEmpty());
    restarted.heartbeat(idle("10.0.0.2"), 600);
    assertTrue(claims(restarted.tick(720)).isEmpty(), "further hosts may still be discovered");
    assertEquals(claims(restarted.tick(721)).size(), 1);
  }

  private static HostStatus idle(String host) {
    return new HostStatus(host, "entry", 1, 0, 1, 0, 0, false, "", new DomainLoad(0, 0));
  }

  private static List<MembershipEffect> claims(List<MembershipEffect> effects) {
    return effects.stream().filter(MembershipEffect.Claim.class::isInstance).toList();
  }
}
