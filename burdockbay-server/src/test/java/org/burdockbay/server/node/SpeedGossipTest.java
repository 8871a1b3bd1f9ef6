package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link SpeedGossip}. */
public class SpeedGossipTest {

  private final Map<String, PeerMessage> sentMessages = new HashMap<>();
  private final Map<String, Double> speeds = new HashMap<>();
  private final List<LeaseEvent> events = new ArrayList<>();
  private SpeedGossip gossip;

  /** Creates the gossip of a host that knows two hosts of its failure domain and one of another. */
  @BeforeMethod
  public void setUp() {
    sentMessages.clear();
    speeds.clear();
    events.clear();
    HostDirectory directory = new HostDirectory(descriptor("10.0.0.1", "north"), 0);
    directory.add(descriptor("10.0.0.2", "north"), 0);
    directory.add(descriptor("10.0.0.3", "north"), 0);
    directory.add(descriptor("10.0.0.4", "south"), 0);
    gossip = new SpeedGossip(directory, sentMessages::put, () -> speeds, events::add);
  }

  /** Guards against successors without speeds, and against reports that cross failure domains. */
  @Test
  public void reportsToHostsOfOwnDomain() {
    speeds.put("u", 1.5);
    gossip.tick(0);
    assertEquals(sentMessages.keySet(), Set.of("10.0.0.2", "10.0.0.3"));
    assertEquals(sentMessages.get("10.0.0.2"), new PeerMessage.UpstreamSpeeds(speeds));
  }

  /** Guards against reports at each tick, which would take a share of narrow links. */
  @Test
  public void reportsAtInterval() {
    speeds.put("u", 1.5);
    gossip.tick(0);
    sentMessages.clear();
    gossip.tick(SpeedGossip.REPORT_INTERVAL_MILLIS - 1);
    assertTrue(sentMessages.isEmpty());
    gossip.tick(SpeedGossip.REPORT_INTERVAL_MILLIS);
    assertEquals(sentMessages.size(), 2);
  }

  /** Guards against empty reports from hosts that don't dispatch. */
  @Test
  public void sendsNothingWithoutSpeeds() {
    gossip.tick(0);
    assertTrue(sentMessages.isEmpty());
  }

  /** Guards against reports that don't reach the dispatcher of this host. */
  @Test
  public void passesReportsToDispatcher() {
    gossip.handleReport(new PeerMessage.UpstreamSpeeds(Map.of("u", 1.5)));
    assertEquals(events, List.of(new LeaseEvent.SpeedsReported(Map.of("u", 1.5))));
  }

  private static HostDescriptor descriptor(String ip, String domain) {
    return new HostDescriptor(ip, "g", domain, ip + ":1");
  }
}
