package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipOptions;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link ConnectionScheduler}. */
public class ConnectionSchedulerTest {

  private static final HostDescriptor SELF = host("10.0.0.1", "north");
  private static final SchedulingOptions STAGED =
      SchedulingOptions.builder().stagedRecovery(true).build();
  private static final ShardLayout LAYOUT = new ShardLayout(1);
  private static final long TICK_MILLIS = 25;

  private final List<String> connected = new ArrayList<>();
  private Membership membership;
  private ConnectionScheduler scheduler;
  private long now;

  /** Starts a host that may dispatch and knows no other host. */
  @BeforeMethod
  public void setUp() {
    start(STAGED, true);
  }

  /** Guards against handshakes with all hosts before those that the first claims need. */
  @Test
  public void connectsFirstToSeedsAndOwnDomain() {
    discover(host("10.0.1.1", "south"));
    discover(host("10.0.0.2", "north"));
    scheduler.connectSeed(new HostAddress("10.0.9.1", 1), now);
    assertEquals(connected, List.of("10.0.0.2", "10.0.9.1"));
  }

  /** Guards against opening the connections to all other domains at once. */
  @Test
  public void connectsToOthersAtBoundedRate() {
    discoverRemoteHosts(20);
    List<Integer> counts = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      tickFor(ConnectionScheduler.BATCH_INTERVAL_MILLIS);
      counts.add(connected.size());
    }
    assertEquals(counts, List.of(4, 8, 12, 16));
    assertEquals(connected.getFirst(), "10.0.1.0", "the order of discovery");
  }

  /** Guards against catching up on batches after a late tick, which adds to what made it late. */
  @Test
  public void opensOneBatchAfterLateTick() {
    discoverRemoteHosts(20);
    now += 400;
    scheduler.tick(membership, now);
    assertEquals(connected.size(), ConnectionScheduler.BATCH_SIZE);
  }

  /** Guards against hosts that never get connected in a domain that can't elect dispatchers. */
  @Test
  public void connectsToAllAfterOneSecond() {
    discoverRemoteHosts(200);
    tickFor(ConnectionScheduler.MAX_DEFERRAL_MILLIS - TICK_MILLIS);
    assertTrue(connected.size() < 200);
    tickFor(TICK_MILLIS);
    assertEquals(connected.size(), 200);
    discover(host("10.0.2.1", "east"));
    assertTrue(connected.contains("10.0.2.1"), "hosts discovered later are connected at once");
  }

  /** Guards against waiting although the dispatchers of the domain serve. */
  @Test
  public void connectsToAllOnceOwnDomainIsServed() {
    discoverRemoteHosts(20);
    discover(host("10.0.0.2", "north"));
    heartbeat("10.0.0.2", "north", 7, 0, LAYOUT);
    tickFor(TICK_MILLIS);
    assertEquals(connected.size(), 21);
  }

  /** Guards against work for a dispatcher to which this host has no connection. */
  @Test
  public void connectsToDispatchersOfOtherDomainsAtOnce() {
    discoverRemoteHosts(20);
    heartbeat("10.0.1.19", "south", 7, 0, LAYOUT);
    tickFor(TICK_MILLIS);
    assertEquals(connected, List.of("10.0.1.19"));
  }

  /**
   * Guards against registrations that find no connection: a dispatcher registers work at those of
   * other domains, also while another shard of its domain has none.
   */
  @Test
  public void connectsToDispatchersOfOtherDomainsWhileItDispatches() {
    final ShardLayout twoShards = new ShardLayout(2);
    membership =
        Membership.withDiscovery(
            SELF, MembershipOptions.ofAddress(SELF.id(), 450, true).withClaimsByDomain(true), now);
    discoverRemoteHosts(200);
    membership.addHost("10.0.9.1", "control", "east", now);
    while (membership.claimedEpoch() == 0) {
      tickFor(TICK_MILLIS);
      heartbeat("10.0.9.1", "east", 0, 1, twoShards);
      membership.tick(now);
    }
    assertFalse(membership.isOwnDomainServed());
    assertFalse(connected.contains("10.0.1.199"));
    heartbeat("10.0.1.199", "south", 7, 0, twoShards);
    tickFor(TICK_MILLIS);
    assertTrue(connected.contains("10.0.1.199"));
    assertTrue(connected.size() < 200, "the others are still deferred");
  }

  /** Guards against connecting to the address that a host has left meanwhile. */
  @Test
  public void connectsToLatestAddressOnce() {
    discover(host("10.0.1.1", "south"));
    scheduler.hostDiscovered(
        new HostDescriptor("10.0.1.1", "entry", "north", "10.0.1.1:2"), false, now);
    tickFor(ConnectionScheduler.MAX_DEFERRAL_MILLIS);
    assertEquals(connected, List.of("10.0.1.1"));
  }

  /** Guards against delays where the option is off, or hosts learn the fleet from this one. */
  @Test
  public void connectsToAllAtOnceWithoutOptionAndOnHostsWithDisk() {
    start(SchedulingOptions.NONE, true);
    discoverRemoteHosts(20);
    assertEquals(connected.size(), 20);
    start(STAGED, false);
    discoverRemoteHosts(20);
    assertEquals(connected.size(), 20);
  }

  /** Guards against delays in a fleet with one dispatcher. */
  @Test
  public void connectsToAllInUndividedFleet() {
    discoverRemoteHosts(20);
    membership.addHost("10.0.9.1", "control", "east", now);
    heartbeat("10.0.9.1", "east", 0, 1, ShardLayout.UNDIVIDED);
    tickFor(TICK_MILLIS);
    assertEquals(connected.size(), 20);
  }

  private void start(SchedulingOptions options, boolean mayDispatch) {
    now = 1_000;
    connected.clear();
    membership =
        Membership.withDiscovery(SELF, MembershipOptions.ofAddress(SELF.id(), 450, true), now);
    NodeSettings settings =
        new NodeSettings(
            "c",
            SELF,
            HostAddress.parse(SELF.address()),
            Set.of(),
            mayDispatch,
            List.of(),
            Optional.empty(),
            false,
            options,
            ShardAssignment.UNKNOWN_WEIGHT,
            LeaseTiming.DEFAULT.callerRetryDelayMillis());
    scheduler =
        new ConnectionScheduler(
            settings,
            new HostDirectory(SELF, 0),
            peer -> connected.add(peer.id()),
            new EventLog("test"));
  }

  private static HostDescriptor host(String id, String domain) {
    return new HostDescriptor(id, "entry", domain, id + ":1");
  }

  private void discoverRemoteHosts(int count) {
    for (int i = 0; i < count; i++) {
      discover(host("10.0.1." + i, "south"));
    }
  }

  private void discover(HostDescriptor descriptor) {
    membership.addHost(descriptor.id(), descriptor.group(), descriptor.domain(), now);
    scheduler.hostDiscovered(descriptor, true, now);
  }

  private void heartbeat(
      String host, String domain, long epoch, long storageIncarnation, ShardLayout layout) {
    membership.heartbeat(
        new HostStatus(
            host,
            storageIncarnation == 0 ? "entry" : "control",
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
            new ShardId(domain, 0),
            Evacuations.NONE),
        now);
  }

  private void tickFor(long millis) {
    for (long end = now + millis; now < end; ) {
      now += TICK_MILLIS;
      scheduler.tick(membership, now);
    }
  }
}
