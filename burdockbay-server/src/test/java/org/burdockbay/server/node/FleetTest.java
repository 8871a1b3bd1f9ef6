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

/** What a {@link Fleet} passes on to the dispatcher. */
public class FleetTest {

  private static final long MINUTE = 60_000;

  private List<LeaseEvent> events;
  private List<PeerMessage> told;
  private Fleet fleet;

  /** Makes a fleet that knows no upstream. */
  @BeforeMethod
  public void makeFleet() {
    events = new ArrayList<>();
    told = new ArrayList<>();
    fleet = new Fleet(events::add, told::add);
  }

  /**
   * All hosts with a disk lose power, and with them everybody whom upstreams announce themselves
   * to. The upstreams still run tasks. Were they dropped for their silence, callers would be turned
   * away until the hosts with a disk are back.
   */
  @Test
  public void keepsUpstreamsWhileNobodyHearsTheirAnnouncements() {
    fleet.announcedHere(notice(), 0);
    for (long now = 0; now < 5 * MINUTE; now += 100) {
      fleet.tick(now);
    }
    assertEquals(events, List.of(new LeaseEvent.Announced(notice())));
  }

  /** An upstream that is gone for good without a word is forgotten at last. */
  @Test
  public void forgetsUpstreamsThatAreSilentForLong() {
    fleet.announcedHere(notice(), 0);
    fleet.tick(Fleet.SILENCE_MILLIS + MINUTE);
    assertTrue(events.getLast() instanceof LeaseEvent.Departed);
  }

  /** Guards against bytes and processor time that grow with hosts times upstreams. */
  @Test
  public void passesOnRepeatedAnnouncementsRarely() {
    for (int second = 0; second <= 60; second++) {
      fleet.announcedHere(notice(1 + second, false), second * 1_000L);
      fleet.tick(second * 1_000L);
    }
    assertEquals(told.size(), 2);
  }

  /** Guards against tasks that go to an upstream which has said that it leaves. */
  @Test
  public void passesOnAtOnceThatAnUpstreamLeaves() {
    fleet.announcedHere(notice(), 0);
    fleet.tick(0);
    fleet.announcedHere(notice(2, true), 1_000);
    fleet.tick(1_000);
    PeerMessage.UpstreamNews last = (PeerMessage.UpstreamNews) told.getLast();
    assertTrue(last.announced().getFirst().notice().leaving());
  }

  /** Guards against the loss of news that was in flight when a connection broke. */
  @Test
  public void resendsNewsThatMayHaveBeenMissed() {
    fleet.announcedHere(notice(), 0);
    fleet.tick(0);
    fleet.announcedHere(notice(2, true), 1_000);
    fleet.tick(1_000);
    assertEquals(fleet.tellSince(500, 2_000).orElseThrow(), aged(told.getLast(), 1_000));
    assertTrue(fleet.tellSince(1_500, 2_000).isEmpty());
    long late = 1_000 + 2 * Fleet.NEWS_RETENTION_MILLIS;
    assertEquals(fleet.tellSince(500, late), fleet.tellAll(late));
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

  private static UpstreamAnnouncement notice() {
    return notice(1, false);
  }

  private static UpstreamAnnouncement notice(long sequence, boolean leaving) {
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
