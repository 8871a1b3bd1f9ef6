package org.burdockbay.core.profile;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.fleet.UpstreamAnnouncement;

/**
 * Learns the speeds of upstreams, and how far the estimates of each queue are off, from the runs
 * that have ended.
 *
 * <p>A speed or a ratio that is unknown is 1. A wrong one costs time, but no decision about the
 * safety of a start depends on it. Not thread-safe.
 */
public final class UpstreamProfiles {

  /** Time without a run after which the speed of an upstream is forgotten, in milliseconds. */
  static final long SPEED_RETENTION_MILLIS = 60_000;

  /**
   * Time for which speeds that another dispatcher has reported may be taken over, in milliseconds.
   */
  static final long REPORT_RETENTION_MILLIS = 30_000;

  private static final long PRUNE_INTERVAL_MILLIS = 5_000;
  private static final int MAX_QUEUES = 64;

  private final boolean enabled;
  private boolean fleetDivided;
  private final Map<String, SpeedProfile> speeds = new HashMap<>();
  private final Map<String, ReportedSpeed> reportedSpeeds = new HashMap<>();
  private final Map<String, QueueProfile> queues = new LinkedHashMap<>();
  private long now;
  private long pruneAt;

  /**
   * Creates empty profiles.
   *
   * @param enabled whether the scheduling option is on
   */
  public UpstreamProfiles(boolean enabled) {
    this.enabled = enabled;
  }

  /** Sets whether the fleet is divided into shards; otherwise nothing is learned or used. */
  public void setFleetDivided(boolean divided) {
    fleetDivided = divided;
  }

  /** Returns whether profiles are learned and used. */
  public boolean isInForce() {
    return enabled && fleetDivided;
  }

  /** Advances the time, in milliseconds, and discards speeds that are out of date. */
  public void advanceTo(long time) {
    now = time;
    if (now >= pruneAt) {
      pruneAt = now + PRUNE_INTERVAL_MILLIS;
      speeds.values().removeIf(this::isOutdated);
      reportedSpeeds.values().removeIf(this::isOutdated);
    }
  }

  private boolean isOutdated(SpeedProfile profile) {
    return now - profile.lastRunAt() > SPEED_RETENTION_MILLIS;
  }

  private boolean isOutdated(ReportedSpeed reported) {
    return now - reported.receivedAt > REPORT_RETENTION_MILLIS;
  }

  /**
   * Records a run that has finished.
   *
   * @param estimateMillis the caller's estimate of the run time, in milliseconds
   * @param runMillis the run time, in milliseconds
   */
  public void recordRun(
      UpstreamAnnouncement upstream, String queue, long estimateMillis, long runMillis) {
    if (!isInForce() || estimateMillis <= 0) {
      return;
    }
    double runTime = Math.max(1, runMillis);
    RecentRatios ratios = queue(queue).estimateRatios;
    double expected = estimateMillis * ratios.quantiles(now).median();
    ratios.record(runTime * speed(upstream) / estimateMillis, now);
    profileOf(upstream).orElseGet(() -> addProfile(upstream)).record(expected / runTime, now);
  }

  /** Returns the speed of an upstream; 1 is usual. */
  public double speed(UpstreamAnnouncement upstream) {
    if (!isInForce()) {
      return 1;
    }
    return profileOf(upstream).map(SpeedProfile::speed).orElse(1.0);
  }

  /** Returns the profile of an instance, which begins with its reported speed if there is one. */
  private Optional<SpeedProfile> profileOf(UpstreamAnnouncement upstream) {
    SpeedProfile known = speeds.get(upstream.id());
    if (known != null && known.startedAt == upstream.startedAt() && !isOutdated(known)) {
      return Optional.of(known);
    }
    ReportedSpeed reported = reportedSpeeds.remove(upstream.id());
    if (reported == null || reported.startedAt != upstream.startedAt() || isOutdated(reported)) {
      return Optional.empty();
    }
    SpeedProfile profile = addProfile(upstream);
    for (int run = 0; run < SpeedProfile.MIN_REPORTED_RUNS; run++) {
      profile.record(reported.speed, reported.receivedAt);
    }
    return Optional.of(profile);
  }

  private SpeedProfile addProfile(UpstreamAnnouncement upstream) {
    SpeedProfile profile = new SpeedProfile(upstream.startedAt());
    speeds.put(upstream.id(), profile);
    return profile;
  }

  /**
   * Records a speed that another dispatcher has learned. It is used after a takeover, and counts as
   * few runs.
   */
  public void recordReport(UpstreamAnnouncement upstream, double speed) {
    if (enabled) {
      reportedSpeeds.put(upstream.id(), new ReportedSpeed(upstream.startedAt(), speed, now));
    }
  }

  /** Returns the speeds to report to other hosts, by id of the upstream. */
  public Map<String, Double> speedsToReport() {
    Map<String, Double> report = new HashMap<>();
    if (isInForce()) {
      speeds.forEach(
          (id, profile) -> {
            if (profile.runs() >= SpeedProfile.MIN_REPORTED_RUNS && !isOutdated(profile)) {
              report.put(id, profile.speed());
            }
          });
    }
    return report;
  }

  /** Returns the expected run time of a task on an upstream of usual speed, in milliseconds. */
  public double expectedMillis(String queue, long estimateMillis) {
    return estimateMillis * estimateQuantiles(queue).median();
  }

  /**
   * Returns the run time that nine tenths of the tasks don't exceed on an upstream of usual speed,
   * in milliseconds.
   */
  public double upperTenthMillis(String queue, long estimateMillis) {
    return estimateMillis * estimateQuantiles(queue).upperTenth();
  }

  private RecentRatios.Quantiles estimateQuantiles(String queue) {
    return isInForce()
        ? queue(queue).estimateRatios.quantiles(now)
        : RecentRatios.Quantiles.UNKNOWN;
  }

  private QueueProfile queue(String queue) {
    QueueProfile known = queues.get(queue);
    if (known != null) {
      return known;
    }
    if (queues.size() >= MAX_QUEUES) {
      queues.remove(queues.keySet().iterator().next());
    }
    QueueProfile added = new QueueProfile();
    queues.put(queue, added);
    return added;
  }

  /** The speed of an instance of an upstream, as reported by a dispatcher. */
  private record ReportedSpeed(long startedAt, double speed, long receivedAt) {}

  /** The run times of the tasks of a queue. */
  private static final class QueueProfile {

    /** Run times on an upstream of usual speed, divided by the callers' estimates. */
    private final RecentRatios estimateRatios = new RecentRatios();
  }
}
