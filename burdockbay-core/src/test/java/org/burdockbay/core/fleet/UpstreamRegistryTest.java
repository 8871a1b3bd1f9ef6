package org.burdockbay.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.burdockbay.core.work.TaskSize;
import org.testng.annotations.Test;

/** Tests announcements that arrive late, out of order or from an earlier instance. */
public class UpstreamRegistryTest {

  private final UpstreamRegistry registry = new UpstreamRegistry(6_000);

  /** Guards against an announcement that arrives out of order and restores an older state. */
  @Test
  public void ignoresOutdatedAnnouncements() {
    assertTrue(registry.recordAnnouncement(announcement(1, 5, true), 0, 0));
    assertFalse(registry.recordAnnouncement(announcement(1, 4, false), 0, 10));
    assertTrue(registry.announcements().iterator().next().leaving());
  }

  /**
   * Guards against announcements of an earlier instance: a restarted upstream numbers its
   * announcements anew.
   */
  @Test
  public void prefersLaterInstance() {
    UpstreamRegistry fresh = new UpstreamRegistry(6_000);
    assertTrue(fresh.recordAnnouncement(announcement(1, 90, false), 0, 0));
    assertTrue(fresh.recordAnnouncement(announcement(2, 1, false), 0, 10));
    assertFalse(fresh.recordAnnouncement(announcement(1, 91, false), 0, 20));
  }

  /**
   * Guards against an announcement that was delayed by a partition and arrives after the upstream
   * has left. Work sent to that upstream would hang.
   */
  @Test
  public void ignoresAnnouncementsAfterDeparture() {
    UpstreamRegistry fresh = new UpstreamRegistry(6_000);
    fresh.recordAnnouncement(announcement(1, 1, false), 0, 0);
    assertTrue(fresh.recordDeparture("u", 10).isPresent());
    assertFalse(fresh.recordAnnouncement(announcement(1, 2, false), 0, 20));
    assertTrue(fresh.recordAnnouncement(announcement(2, 1, false), 0, 30));
  }

  /**
   * Guards against keeping silent upstreams, and against reporting them twice. Silence counts from
   * the time of the announcement, not of its arrival.
   */
  @Test
  public void dropsSilentUpstreams() {
    UpstreamRegistry fresh = new UpstreamRegistry(6_000);
    fresh.recordAnnouncement(announcement(1, 1, false), 4_000, 10_000);
    assertTrue(fresh.expireSilentUpstreams(12_000).isEmpty());
    assertEquals(fresh.expireSilentUpstreams(12_001).size(), 1);
    assertTrue(fresh.expireSilentUpstreams(12_002).isEmpty());
  }

  private static UpstreamAnnouncement announcement(long startedAt, long sequence, boolean leaving) {
    return new UpstreamAnnouncement(
        "u", startedAt, sequence, "desk", "10.0.0.1:80", "north", leaving, TaskSize.ZERO, Set.of());
  }
}
