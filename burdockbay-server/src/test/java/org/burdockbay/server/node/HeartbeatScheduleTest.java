package org.burdockbay.server.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link HeartbeatSchedule}. */
public class HeartbeatScheduleTest {

  private static final long START = 1_000;
  private static final long INTERVAL = HeartbeatSchedule.INTERVAL_MILLIS;

  private final HeartbeatSchedule schedule = new HeartbeatSchedule("b");

  /**
   * Guards against a host sending no heartbeats, and being considered lost, when the reference host
   * fails.
   */
  @Test
  public void sendsWithoutTheReferenceHost() {
    schedule.recordSent(List.of("a", "c"), START);
    assertTrue(schedule.isDue(START + INTERVAL + HeartbeatSchedule.GRACE_MILLIS));
    schedule.recordSent(List.of("c"), START);
    assertFalse(schedule.isDue(START + INTERVAL - 1));
    assertTrue(schedule.isDue(START + INTERVAL));
  }

  /** Guards against heartbeats spread over the interval, each of which takes a wake-up. */
  @Test
  public void followsTheLowestLiveHostOnly() {
    schedule.recordSent(List.of("a", "c"), START);
    assertFalse(schedule.triggersHeartbeat("c", START + INTERVAL));
    assertTrue(schedule.triggersHeartbeat("a", START + INTERVAL));
  }

  /**
   * Guards against floods of heartbeats when hosts trigger each other, or when late heartbeats
   * arrive in a burst.
   */
  @Test
  public void sendsAtMostTwicePerInterval() {
    schedule.recordSent(List.of("a", "c"), START);
    assertFalse(schedule.triggersHeartbeat("a", START + INTERVAL / 2 - 1));
    schedule.recordSent(List.of("c"), START);
    assertFalse(schedule.triggersHeartbeat("a", START + INTERVAL));
    assertFalse(schedule.triggersHeartbeat("c", START + INTERVAL));
  }
}
