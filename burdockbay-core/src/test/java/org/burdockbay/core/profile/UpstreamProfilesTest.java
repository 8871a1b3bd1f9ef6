package org.burdockbay.core.profile;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.TaskSize;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link UpstreamProfiles}. */
public class UpstreamProfilesTest {

  private static final String QUEUE = "q";
  private static final long ESTIMATE_MILLIS = 1_000;
  private static final double TOLERANCE = 0.02;

  private UpstreamProfiles profiles;
  private long now;

  /** Creates empty profiles of a divided fleet. */
  @BeforeMethod
  public void setUp() {
    now = 100_000;
    profiles = newProfiles();
  }

  /**
   * Guards against a wrong speed after few runs: with n of them, the median counts n times and the
   * usual speed 4 times.
   */
  @Test
  public void shrinksSpeedsOfFewRuns() {
    UpstreamAnnouncement upstream = upstream("u", 1);
    assertEquals(profiles.speed(upstream), 1.0);
    recordRuns(upstream, 4, 500);
    assertEquals(profiles.speed(upstream), (4 * 2.0 + 4) / 8, 1e-9);
    recordRuns(upstream, 12, 500);
    assertEquals(profiles.speed(upstream), (16 * 2.0 + 4) / 20, 0.1);
  }

  /** Guards against one very slow task in ten making its upstream look slow. */
  @Test
  public void ignoresRareSlowTasks() {
    UpstreamAnnouncement upstream = upstream("u", 1);
    for (int i = 0; i < 30; i++) {
      recordRuns(upstream, 9, 1_000);
      recordRuns(upstream, 1, 7_000);
    }
    assertEquals(profiles.speed(upstream), 1, TOLERANCE);
  }

  /**
   * Guards against a speed that is learned too slowly when an upstream becomes 8 times slower, or
   * recovers: it follows within 15 runs.
   */
  @Test
  public void followsChangesWithinFifteenRuns() {
    UpstreamAnnouncement upstream = upstream("u", 1);
    learnUsualRatios();
    recordRuns(upstream, 100, 1_000);
    recordRuns(upstream, 15, 8_000);
    assertTrue(profiles.speed(upstream) <= 0.25, "speed " + profiles.speed(upstream));
    recordRuns(upstream, 15, 1_000);
    assertTrue(profiles.speed(upstream) > 0.9, "speed " + profiles.speed(upstream));
  }

  /** Guards against the speed of an upstream that was replaced at the same address. */
  @Test
  public void forgetsSpeedWithInstance() {
    recordRuns(upstream("u", 1), 15, 4_000);
    assertEquals(profiles.speed(upstream("u", 2)), 1.0);
    recordRuns(upstream("u", 2), 1, 1_000);
    assertTrue(profiles.speed(upstream("u", 2)) > 0.9);
    assertEquals(profiles.speed(upstream("u", 1)), 1.0);
  }

  /** Guards against an old speed of an upstream that has had no run for 60 s. */
  @Test
  public void forgetsSpeedAfterSilence() {
    UpstreamAnnouncement upstream = upstream("u", 1);
    recordRuns(upstream, 15, 4_000);
    now += UpstreamProfiles.SPEED_RETENTION_MILLIS;
    profiles.advanceTo(now);
    assertTrue(profiles.speed(upstream) < 0.5);
    now++;
    profiles.advanceTo(now);
    assertEquals(profiles.speed(upstream), 1.0);
  }

  /**
   * Guards against wrong speeds of upstreams of 0.6, 1 and 1.6 when estimates are off by up to 0.4,
   * and 3% of the runs take 7 times as long. The mean error of a speed is 0.14, and 0.35 if all
   * speeds are taken as 1.
   */
  @Test
  public void learnsSpeedsFromRoughEstimates() {
    double[] speeds = {0.6, 1.0, 1.6};
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < 6_000; i++) {
      now += 5;
      profiles.advanceTo(now);
      int number = random.nextInt(60);
      double runMillis = 170 / speeds[number % 3] * (random.nextInt(100) < 3 ? 7 : 1);
      double estimateMillis = 170 * (0.6 + 0.8 * random.nextDouble());
      profiles.recordRun(
          upstream("u" + number, 1), QUEUE, Math.round(estimateMillis), Math.round(runMillis));
    }
    double error = 0;
    for (int number = 0; number < 60; number++) {
      double speed = profiles.speed(upstream("u" + number, 1));
      error += Math.abs(speed / speeds[number % 3] - 1) / 60;
    }
    assertTrue(error < 0.2, "mean error " + error);
  }

  /** Guards against estimates that are taken as they are although all of a queue are too low. */
  @Test
  public void correctsEstimatesOfQueue() {
    for (int i = 0; i < 100; i++) {
      recordRuns(upstream("u" + i, 1), 1, 1_500);
    }
    now += 200;
    profiles.advanceTo(now);
    assertEquals(profiles.expectedMillis(QUEUE, ESTIMATE_MILLIS), 1_500, 30);
    assertEquals(profiles.expectedMillis("other", ESTIMATE_MILLIS), 1_000, 0.0);
  }

  /** Guards against ratios of long ago: after 20 s, only later runs count. */
  @Test
  public void forgetsRatiosAfterTwentySeconds() {
    for (int i = 0; i < 100; i++) {
      recordRuns(upstream("u" + i, 1), 1, 3_000);
    }
    for (int second = 0; second < 21; second++) {
      now += 1_000;
      profiles.advanceTo(now);
      for (int i = 0; i < 10; i++) {
        recordRuns(upstream("v" + second + "-" + i, 1), 1, 1_000);
      }
    }
    assertEquals(profiles.expectedMillis(QUEUE, ESTIMATE_MILLIS), 1_000, 20);
  }

  /**
   * Guards against a successor that learns all speeds anew: those that its predecessor reported up
   * to 30 s ago count as 4 runs.
   */
  @Test
  public void takesOverReportedSpeeds() {
    UpstreamAnnouncement upstream = upstream("u", 1);
    recordRuns(upstream, 40, 500);
    recordRuns(upstream("v", 1), 3, 500);
    Map<String, Double> report = profiles.speedsToReport();
    assertEquals(report.keySet(), Set.of("u"), "only upstreams with 4 runs are reported");
    UpstreamProfiles successor = newProfiles();
    successor.recordReport(upstream, report.get("u"));
    assertEquals(successor.speed(upstream), (4 * report.get("u") + 4) / 8, 1e-9);
    assertEquals(successor.speed(upstream("u", 2)), 1.0, "another instance");
  }

  /** Guards against speeds of a report that is over 30 s old. */
  @Test
  public void ignoresOldReports() {
    UpstreamAnnouncement upstream = upstream("u", 1);
    profiles.recordReport(upstream, 2);
    now += UpstreamProfiles.REPORT_RETENTION_MILLIS + 1;
    profiles.advanceTo(now);
    assertEquals(profiles.speed(upstream), 1.0);
  }

  /** Guards against any effect in a fleet that isn't divided, or with the option off. */
  @Test
  public void learnsNothingUnlessInForce() {
    profiles.setFleetDivided(false);
    recordRuns(upstream("u", 1), 15, 500);
    assertEquals(profiles.speed(upstream("u", 1)), 1.0);
    assertTrue(profiles.speedsToReport().isEmpty());
    UpstreamProfiles off = new UpstreamProfiles(false);
    off.setFleetDivided(true);
    off.recordRun(upstream("u", 1), QUEUE, 1_000, 500);
    assertEquals(off.speed(upstream("u", 1)), 1.0);
  }

  /** Guards against unbounded state when callers invent queues. */
  @Test
  public void boundsNumberOfQueues() {
    for (int i = 0; i < 100; i++) {
      recordRuns(upstream("u" + i, 1), 1, 1_500);
    }
    for (int i = 0; i < 1_000; i++) {
      profiles.recordRun(upstream("u", 1), "q" + i, ESTIMATE_MILLIS, ESTIMATE_MILLIS);
    }
    now += 200;
    profiles.advanceTo(now);
    assertEquals(profiles.expectedMillis(QUEUE, ESTIMATE_MILLIS), 1_000, 0.0);
  }

  private UpstreamProfiles newProfiles() {
    UpstreamProfiles created = new UpstreamProfiles(true);
    created.setFleetDivided(true);
    created.advanceTo(now);
    return created;
  }

  /** Records usual runs on other upstreams, so that the queue's ratio stays 1. */
  private void learnUsualRatios() {
    for (int i = 0; i < 1_000; i++) {
      recordRuns(upstream("other" + i % 20, 1), 1, 1_000);
    }
  }

  private void recordRuns(UpstreamAnnouncement upstream, int count, long runMillis) {
    for (int i = 0; i < count; i++) {
      profiles.recordRun(upstream, QUEUE, ESTIMATE_MILLIS, runMillis);
    }
  }

  private static UpstreamAnnouncement upstream(String id, long startedAt) {
    return new UpstreamAnnouncement(
        id, startedAt, 1, "desk", id + ":1", "north", false, new TaskSize(16_000, 64, 0), Set.of());
  }
}
