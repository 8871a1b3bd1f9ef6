package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.limits.HostLimits;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.work.TaskSize;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link UpstreamGossip}. */
public class UpstreamGossipTest {

  private static final long MINUTE_MILLIS = 60_000;

  private List<LeaseEvent> events;
  private List<PeerMessage> sentMessages;
  private UpstreamGossip gossip;

  /** Creates an instance without any upstreams. */
  @BeforeMethod
  public void createGossip() {
    events = new ArrayList<>();
    sentMessages = new ArrayList<>();
    gossip = new UpstreamGossip(events::add, sentMessages::add);
  }

  /**
   * Guards against refusing callers while all hosts with a disk are down. Upstreams announce
   * themselves only to these hosts, and still run tasks during such an outage; removing them for
   * their silence would leave no upstream to dispatch to.
   */
  @Test
  public void keepsUpstreamsWhileHostsWithDisksAreDown() {
    gossip.upstreamAnnounced(announcement(), 0);
    for (long now = 0; now < 5 * MINUTE_MILLIS; now += 100) {
      gossip.tick(now);
    }
    assertEquals(events, List.of(new LeaseEvent.Announced(announcement())));
  }

  /** Guards against an announcement that gives the id of a known upstream to another service. */
  @Test
  public void tellsAnnouncementsOfOtherServices() {
    UpstreamAnnouncement known = announcement();
    assertFalse(gossip.changesService(known));
    gossip.upstreamAnnounced(known, 0);
    assertFalse(gossip.changesService(known));
    assertTrue(
        gossip.changesService(
            new UpstreamAnnouncement(
                known.id(),
                known.startedAt() + 1,
                1,
                "other",
                known.address(),
                known.domain(),
                false,
                known.capacity(),
                known.labels())));
  }

  /** Guards against announcements under ever new ids that fill the memory. */
  @Test
  public void refusesUpstreamsBeyondMemory() {
    HostLimits limits = HostLimits.ofHeap(72 * 1024 * 1024);
    gossip = new UpstreamGossip(events::add, sentMessages::add, limits);
    for (int i = 0; i < 20_000; i++) {
      gossip.upstreamAnnounced(announcement("i-" + i, 1), i);
      gossip.tick(i);
    }
    assertTrue(gossip.upstreamCount() > 1_300, gossip.upstreamCount() + " upstreams");
    assertTrue(gossip.upstreamBytes() <= limits.upstreamBytes());
    assertFalse(gossip.hasRoomFor(announcement("i-20000", 1)));
    assertTrue(gossip.hasRoomFor(announcement("i-0", 2)));
  }

  /** Guards against news that is retained for hosts that reconnect and fills the memory. */
  @Test
  public void sendsFullNewsOnceTooMuchIsMissed() {
    HostLimits limits = HostLimits.ofHeap(32 * 1024 * 1024);
    gossip = new UpstreamGossip(events::add, sentMessages::add, limits);
    for (int i = 0; i < 3_000; i++) {
      gossip.upstreamAnnounced(announcement("i-" + i % 20, 1 + i), 100L * (i / 20));
      gossip.tick(100L * (i / 20));
    }
    PeerMessage.UpstreamNews missed =
        (PeerMessage.UpstreamNews) gossip.newsSince(0, 15_000).orElseThrow();
    assertEquals(missed.announced().size(), 20);
  }

  /** Guards against retaining upstreams that failed permanently without announcing it. */
  @Test
  public void expiresUpstreamsAfterTheSilenceTimeout() {
    gossip.upstreamAnnounced(announcement(), 0);
    gossip.tick(UpstreamGossip.SILENCE_TIMEOUT_MILLIS + MINUTE_MILLIS);
    assertTrue(events.getLast() instanceof LeaseEvent.Departed);
  }

  /** Guards against traffic and processor time proportional to hosts times upstreams. */
  @Test
  public void relaysRepeatedAnnouncementsAtLongIntervals() {
    for (int second = 0; second <= 60; second++) {
      gossip.upstreamAnnounced(announcement(1 + second, false), second * 1_000L);
      gossip.tick(second * 1_000L);
    }
    assertEquals(sentMessages.size(), 2);
  }

  /** Guards against sending tasks to an upstream that has announced that it leaves. */
  @Test
  public void relaysLeavingUpstreamsImmediately() {
    gossip.upstreamAnnounced(announcement(), 0);
    gossip.tick(0);
    gossip.upstreamAnnounced(announcement(2, true), 1_000);
    gossip.tick(1_000);
    PeerMessage.UpstreamNews last = (PeerMessage.UpstreamNews) sentMessages.getLast();
    assertTrue(last.announced().getFirst().announcement().leaving());
  }

  /** Guards against losing news that was in flight when a connection broke. */
  @Test
  public void resendsNewsThatMayHaveBeenMissed() {
    gossip.upstreamAnnounced(announcement(), 0);
    gossip.tick(0);
    gossip.upstreamAnnounced(announcement(2, true), 1_000);
    gossip.tick(1_000);
    assertEquals(gossip.newsSince(500, 2_000).orElseThrow(), aged(sentMessages.getLast(), 1_000));
    assertTrue(gossip.newsSince(1_500, 2_000).isEmpty());
    long late = 1_000 + 2 * UpstreamGossip.NEWS_RETENTION_MILLIS;
    assertEquals(gossip.newsSince(500, late), gossip.fullNews(late));
  }

  private static PeerMessage aged(PeerMessage message, long millis) {
    PeerMessage.UpstreamNews news = (PeerMessage.UpstreamNews) message;
    return new PeerMessage.UpstreamNews(
        news.announced().stream()
            .map(
                announced ->
                    new PeerMessage.UpstreamNews.Announced(
                        announced.announcement(), announced.ageMillis() + millis))
            .toList(),
        news.departed());
  }

  private static UpstreamAnnouncement announcement() {
    return announcement(1, false);
  }

  private static UpstreamAnnouncement announcement(String id, long sequence) {
    boolean leaving = (sequence & 1) == 0;
    return new UpstreamAnnouncement(
        id, 1, sequence, "desk", "u1:1", "north", leaving, TaskSize.ZERO, Set.of());
  }

  private static UpstreamAnnouncement announcement(long sequence, boolean leaving) {
    return new UpstreamAnnouncement(
        "u1",
        1,
        sequence,
        "desk",
        "u1:1",
        "north",
        leaving,
        new TaskSize(32_000, 64_000, 0),
        Set.of());
  }
}
