package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link HostGossip}. */
public class HostGossipTest {

  private static final HostDescriptor SELF = descriptor("10.0.0.1");
  private static final HostDescriptor OLD = descriptor("10.0.0.2");
  private static final HostDescriptor NEW = descriptor("10.0.0.3");

  private final Map<String, PeerMessage> sentMessages = new TreeMap<>();
  private HostDirectory directory;
  private HostGossip gossip;

  /** Creates the gossip of a host that knows one other host and has scheduled its whole list. */
  @BeforeMethod
  public void setUp() {
    directory = new HostDirectory(SELF, 0);
    directory.add(OLD, 0);
    gossip = new HostGossip(directory, sentMessages::put);
    gossip.tick(0);
    sentMessages.clear();
  }

  /**
   * Guards against sending whole lists too often. Lists sent to all hosts every two seconds
   * saturated links as fleets grew.
   */
  @Test
  public void relaysOnlyNewHosts() {
    directory.add(NEW, 5);
    gossip.hostDiscovered(NEW, NEW.id());
    assertEquals(sentMessages.get(OLD.id()), new PeerMessage.KnownHosts(List.of(NEW)));
    sentMessages.clear();
    gossip.tick(HostGossip.FULL_LIST_INTERVAL_MILLIS - 1);
    assertTrue(sentMessages.isEmpty());
  }

  /** Guards against a number of messages at startup that is cubic in the number of hosts. */
  @Test
  public void relaysOnlyDescriptorsReceivedFromTheirOwnHost() {
    directory.add(NEW, 5);
    gossip.hostDiscovered(NEW, OLD.id());
    assertTrue(sentMessages.isEmpty());
  }

  /** Guards against delaying heartbeats on slow links by sending the whole list to all at once. */
  @Test
  public void sendsWholeListToOneHostPerTick() {
    directory.add(NEW, 5);
    gossip.tick(5);
    gossip.tick(2 * HostGossip.FULL_LIST_INTERVAL_MILLIS);
    assertEquals(sentMessages.size(), 1);
    gossip.tick(2 * HostGossip.FULL_LIST_INTERVAL_MILLIS + 1);
    assertEquals(sentMessages.size(), 2);
  }

  /** Guards against a host lacking descriptors that it missed while its connection was broken. */
  @Test
  public void sendsWholeListOnNewConnectionsAndPeriodically() {
    gossip.connected(OLD.id(), true);
    assertEquals(sentMessages.remove(OLD.id()), new PeerMessage.KnownHosts(List.of(SELF, OLD)));
    gossip.tick(HostGossip.FULL_LIST_INTERVAL_MILLIS);
    assertEquals(sentMessages.get(OLD.id()), new PeerMessage.KnownHosts(List.of(SELF, OLD)));
  }

  private static HostDescriptor descriptor(String ip) {
    return new HostDescriptor(ip, "g", "north", ip + ":1");
  }
}
