package org.burdockbay.server.node;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.testng.annotations.Test;

/** Tests {@link HeartbeatSchedule}. */
public class HeartbeatScheduleTest {

  private static final long START = 1_000;
  private static final long PERIOD = HeartbeatSchedule.PERIOD_MILLIS;

  private final HeartbeatSchedule schedule = new HeartbeatSchedule("b");

  /**
   * Guards against a host going silent, and being taken for lost, when the reference host fails.
   */
  @Test
  public void sendsWithoutTheReferenceHost() {
    schedule.sent(List.of("a", "c"), START);
    assertTrue(schedule.due(START + PERIOD + HeartbeatSchedule.GRACE_MILLIS));
    schedule.sent(List.of("c"), START);
    assertFalse(schedule.due(START + PERIOD - 1));
    assertTrue(schedule.due(START + PERIOD));
  }

  /** Guards against heartbeats spread over the period, which take a wake-up each. */
  @Test
  public void followsTheLowestLiveHostOnly() {
    schedule.sent(List.of("a", "c"), START);
    assertFalse(schedule.triggersHeartbeat("c", START + PERIOD));
    assertTrue(schedule.triggersHeartbeat("a", START + PERIOD));
  }

  /** Guards against floods from hosts that trigger each other or bursts of late heartbeats. */
  @Test
  public void sendsAtMostTwicePerPeriod() {
    schedule.sent(List.of("a", "c"), START);
    assertFalse(schedule.triggersHeartbeat("a", START + PERIOD / 2 - 1));
    schedule.sent(List.of("c"), START);
    assertFalse(schedule.triggersHeartbeat("a", START + PERIOD));
    assertFalse(schedule.triggersHeartbeat("c", START + PERIOD));
  }
}
