package org.burdockbay.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a host that has just started claims a shard by contact with its own domain. */
public class EarlyClaimTest {

  private static final String SELF = "10.0.0.1";
  private static final String NEIGHBOUR = "10.0.0.2";
  private static final String THIRD = "10.0.0.3";
  private static final String REMOTE = "10.0.1.1";
  private static final String DISK = "10.0.9.1";
  private static final String GROUP = "entry";
  private static final ShardLayout LAYOUT = new ShardLayout(3);
  private static final long SILENCE_TIMEOUT_MILLIS = 450;
  private static final long DISCOVERY_IDLE_MILLIS = 250;
  private static final long TODAYS_BOUND_MILLIS = 6 * SILENCE_TIMEOUT_MILLIS;
  private static final ShardId FIRST_SHARD = new ShardId("north", 0);
  private static final ShardId SECOND_SHARD = new ShardId("north", 1);

  private Membership membership;
  private long now;

  /** Starts a host that has learnt of two hosts of its domain and of one of another domain. */
  @BeforeMethod
  public void setUp() {
    now = 1_000_000;
    start(true);
  }

  /** Guards against a claim that waits for hosts which dispatch no shard of the domain. */
  @Test
  public void claimsOnceAllHostsOfTheDomainAreContacted() {
    contactDisk(LAYOUT);
    contact(NEIGHBOUR, 0, FIRST_SHARD);
    contact(THIRD, 0, FIRST_SHARD);
    advance(DISCOVERY_IDLE_MILLIS);
    assertEquals(membership.claimedShard().isPresent(), false);
    advance(50);
    assertEquals(membership.claimedShard().isPresent(), true);
  }

  /** Guards against replacing a dispatcher of the domain that serves but wasn't contacted yet. */
  @Test
  public void claimsNothingBeforeServingDispatcherIsContacted() {
    contactDisk(LAYOUT);
    contact(NEIGHBOUR, 7, FIRST_SHARD);
    advance(1_500);
    assertEquals(membership.claimedShard().isPresent(), false);
    contact(THIRD, 8, SECOND_SHARD);
    advance(DISCOVERY_IDLE_MILLIS + 50);
    assertEquals(membership.claimedShard(), Optional.of(new ShardId("north", 2)));
  }

  /**
   * Guards against replacing a dispatcher of which this host hasn't learnt, as the hosts that have
   * contacted it first know only themselves.
   */
  @Test
  public void claimsNothingBeforeHostListIsReceived() {
    contact(NEIGHBOUR, 0, FIRST_SHARD);
    contact(THIRD, 0, FIRST_SHARD);
    advance(1_000);
    assertEquals(membership.claimedShard().isPresent(), false);
    contactDisk(LAYOUT);
    advance(100);
    membership.addHost("10.0.0.4", GROUP, "north", now);
    advance(1_000);
    assertEquals(membership.claimedShard().isPresent(), false);
  }

  /** Guards against a claim of the whole fleet before this host has learnt of the division. */
  @Test
  public void claimsNothingEarlyInUndividedFleet() {
    contactDisk(ShardLayout.UNDIVIDED);
    contact(NEIGHBOUR, 0, ShardId.WHOLE_FLEET, ShardLayout.UNDIVIDED);
    contact(THIRD, 0, ShardId.WHOLE_FLEET, ShardLayout.UNDIVIDED);
    advance(600);
    assertEquals(membership.claimedShard().isPresent(), false);
  }

  /** Guards against a delay without end if a host of the domain never returns. */
  @Test
  public void claimsAfterTodaysBoundWithoutLostHost() {
    contactDisk(LAYOUT);
    contact(NEIGHBOUR, 0, FIRST_SHARD);
    advance(TODAYS_BOUND_MILLIS - 100);
    assertEquals(membership.claimedShard().isPresent(), false);
    advance(200);
    assertEquals(membership.claimedShard().isPresent(), true);
  }

  /**
   * Guards against taking over the upstreams of another domain, whose dispatchers serve but weren't
   * contacted before the early claim.
   */
  @Test
  public void leavesUpstreamsToDomainsThatWereNotContacted() {
    contactDisk(LAYOUT);
    contact(NEIGHBOUR, 0, FIRST_SHARD);
    contact(THIRD, 0, FIRST_SHARD);
    advance(DISCOVERY_IDLE_MILLIS + 50);
    assertEquals(membership.claimedShard().isPresent(), true);
    Set<ShardId> south = Set.copyOf(LAYOUT.shards("south"));
    assertTrue(membership.routes().liveShards().containsAll(south));
    advance(TODAYS_BOUND_MILLIS);
    Set<ShardId> live = new HashSet<>(membership.routes().liveShards());
    live.retainAll(south);
    assertEquals(live, Set.of(), "a domain that never appears keeps its upstreams");
  }

  /** Guards against changes where the option is off. */
  @Test
  public void waitsForAllHostsWithoutTheOption() {
    start(false);
    contactDisk(LAYOUT);
    contact(NEIGHBOUR, 0, FIRST_SHARD);
    contact(THIRD, 0, FIRST_SHARD);
    advance(1_000);
    assertEquals(membership.claimedShard().isPresent(), false);
    contact(REMOTE, 0, FIRST_SHARD);
    advance(DISCOVERY_IDLE_MILLIS + 50);
    assertEquals(membership.claimedShard().isPresent(), true);
  }

  private void start(boolean claimsByDomain) {
    membership =
        Membership.withDiscovery(
            new HostDescriptor(SELF, GROUP, "north", ""),
            MembershipOptions.ofAddress(SELF, SILENCE_TIMEOUT_MILLIS, true)
                .withClaimsByDomain(claimsByDomain),
            now);
    membership.addHost(NEIGHBOUR, GROUP, "north", now);
    membership.addHost(THIRD, GROUP, "north", now);
    membership.addHost(REMOTE, GROUP, "south", now);
    membership.addHost(DISK, "control", "east", now);
    contacts.clear();
  }

  private final List<HostStatus> contacts = new ArrayList<>();

  private void contactDisk(ShardLayout layout) {
    contacts.add(status(DISK, "control", "east", 1, 0, FIRST_SHARD, layout));
    membership.heartbeat(contacts.getLast(), now);
  }

  private void contact(String host, long epoch, ShardId shard) {
    contact(host, epoch, shard, LAYOUT);
  }

  private void contact(String host, long epoch, ShardId shard, ShardLayout layout) {
    String domain = host.equals(REMOTE) ? "south" : "north";
    contacts.add(status(host, GROUP, domain, 0, epoch, shard, layout));
    membership.heartbeat(contacts.getLast(), now);
  }

  private static HostStatus status(
      String host,
      String group,
      String domain,
      long storageIncarnation,
      long epoch,
      ShardId shard,
      ShardLayout layout) {
    return new HostStatus(
        host,
        group,
        1,
        storageIncarnation,
        1,
        epoch,
        epoch,
        false,
        "",
        new DomainLoad(0, 0),
        domain,
        layout,
        shard,
        Evacuations.NONE);
  }

  /** Advances the time, in which all contacted hosts go on sending heartbeats. */
  private void advance(long millis) {
    for (long end = now + millis; now < end; ) {
      now = Math.min(end, now + 25);
      contacts.forEach(status -> membership.heartbeat(status, now));
      membership.tick(now);
    }
  }
}
