package org.burdockbay.server.node;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.work.TaskSize;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** What a {@link UpstreamGossip} passes on to the dispatcher. */
public class UpstreamGossipTest {

  private static final long MINUTE_MILLIS = 60_000;

  private List<LeaseEvent> events;
  private List<PeerMessage> sentMessages;
  private UpstreamGossip gossip;

  /** Makes a fleet that knows no upstream. */
  @BeforeMethod
  public void createGossip() {
    events = new ArrayList<>();
    sentMessages = new ArrayList<>();
    gossip = new UpstreamGossip(events::add, sentMessages::add);
  }

  /**
   * All hosts with a disk lose power, and with them everybody whom upstreams announce themselves
   * to. The upstreams still run tasks. Were they dropped for their silence, callers would be turned
   * away until the hosts with a disk are back.
   */
  @Test
  public void keepsUpstreamsWhileHostsWithDisksAreDown() {
    gossip.upstreamAnnounced(announcement(), 0);
    for (long now = 0; now < 5 * MINUTE_MILLIS; now += 100) {
      gossip.tick(now);
    }
    assertEquals(events, List.of(new LeaseEvent.Announced(announcement())));
  }

  /** An upstream that is gone for good without a word is forgotten at last. */
  @Test
  public void expiresUpstreamsAfterTheSilenceTimeout() {
    gossip.upstreamAnnounced(announcement(), 0);
    gossip.tick(UpstreamGossip.SILENCE_TIMEOUT_MILLIS + MINUTE_MILLIS);
    assertTrue(events.getLast() instanceof LeaseEvent.Departed);
  }

  /** Guards against bytes and processor time that grow with hosts times upstreams. */
  @Test
  public void relaysRepeatedAnnouncementsAtLongIntervals() {
    for (int second = 0; second <= 60; second++) {
      gossip.upstreamAnnounced(announcement(1 + second, false), second * 1_000L);
      gossip.tick(second * 1_000L);
    }
    assertEquals(sentMessages.size(), 2);
  }

  /** Guards against tasks that go to an upstream which has said that it leaves. */
  @Test
  public void relaysLeavingUpstreamsImmediately() {
    gossip.upstreamAnnounced(announcement(), 0);
    gossip.tick(0);
    gossip.upstreamAnnounced(announcement(2, true), 1_000);
    gossip.tick(1_000);
    PeerMessage.UpstreamNews last = (PeerMessage.UpstreamNews) sentMessages.getLast();
    assertTrue(last.announced().getFirst().notice().leaving());
  }

  /** Guards against the loss of news that was in flight when a connection broke. */
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
                announcement ->
                    new PeerMessage.UpstreamNews.Announced(
                        announcement.notice(), announcement.ageMillis() + millis))
            .toList(),
        news.departed());
  }

  private static UpstreamAnnouncement announcement() {
    return announcement(1, false);
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
