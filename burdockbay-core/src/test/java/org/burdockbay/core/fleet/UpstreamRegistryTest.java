package org.burdockbay.core.fleet;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.Set;
import org.burdockbay.core.work.TaskSize;
import org.testng.annotations.Test;

/** Announcements that arrive late, crossed or from an earlier life. */
public class UpstreamRegistryTest {

  private final UpstreamRegistry registry = new UpstreamRegistry(6_000);

  /** An announcement that was overtaken must not bring an older state back. */
  @Test
  public void ignoresOutdatedAnnouncements() {
    assertTrue(registry.recordAnnouncement(announcement(1, 5, true), 0, 0));
    assertFalse(registry.recordAnnouncement(announcement(1, 4, false), 0, 10));
    assertTrue(registry.announcements().iterator().next().leaving());
  }

  /** A restarted upstream begins its counts anew; what its earlier life said is out of date. */
  @Test
  public void prefersLaterInstance() {
    UpstreamRegistry fresh = new UpstreamRegistry(6_000);
    assertTrue(fresh.recordAnnouncement(announcement(1, 90, false), 0, 0));
    assertTrue(fresh.recordAnnouncement(announcement(2, 1, false), 0, 10));
    assertFalse(fresh.recordAnnouncement(announcement(1, 91, false), 0, 20));
  }

  /**
   * An upstream leaves, and an announcement that a partition held up arrives after that. Work sent
   * to it would hang.
   */
  @Test
  public void ignoresAnnouncementsAfterDeparture() {
    UpstreamRegistry fresh = new UpstreamRegistry(6_000);
    fresh.recordAnnouncement(announcement(1, 1, false), 0, 0);
    assertTrue(fresh.recordDeparture("u", 10).isPresent());
    assertFalse(fresh.recordAnnouncement(announcement(1, 2, false), 0, 20));
    assertTrue(fresh.recordAnnouncement(announcement(2, 1, false), 0, 30));
  }

  /** Silence drops an upstream once, counted from when it spoke and not from when it was heard. */
  @Test
  public void dropsSilentUpstreams() {
    UpstreamRegistry fresh = new UpstreamRegistry(6_000);
    fresh.recordAnnouncement(announcement(1, 1, false), 4_000, 10_000);
    assertTrue(fresh.expireSilentUpstreams(12_000).isEmpty());
    assertEquals(fresh.expireSilentUpstreams(12_001).size(), 1);
    assertTrue(fresh.expireSilentUpstreams(12_002).isEmpty());
  }

  private static UpstreamAnnouncement announcement(long born, long sequence, boolean leaving) {
    return new UpstreamAnnouncement(
        "u", born, sequence, "desk", "10.0.0.1:80", "north", leaving, TaskSize.ZERO, Set.of());
  }
}
