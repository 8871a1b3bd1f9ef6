package org.burdockbay.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;

/** The state of one instance of an upstream, and of the lease that this dispatcher keeps there. */
final class UpstreamLease {

  /**
   * Shortest pause of starts on an upstream that refuses tasks or keeps failing them, in
   * milliseconds.
   */
  static final long BASE_PAUSE_MILLIS = 200;

  /** Longest pause, in milliseconds; consecutive failures double the pause up to this. */
  static final long MAX_PAUSE_MILLIS = 3_000;

  /**
   * Maximum number of concurrent runs, also of tasks that need no resources; the upstream lists
   * them in each answer to a renewal.
   */
  private static final int MAX_RUNS = 1_024;

  /**
   * Number of tasks that have to succeed after an evacuation before the number of concurrent runs
   * is no longer limited; two or three tasks fill an upstream.
   */
  private static final int RAMP_UP_TASKS = 4;

  /** Maximum number of times that the pause before a renewal doubles. */
  private static final int MAX_BACKOFF_DOUBLINGS = 3;

  final Map<RunId, LeasedRun> runs = new HashMap<>();
  UpstreamAnnouncement announcement;

  /**
   * Whether the instance has announced itself; otherwise {@link #announcement} describes the
   * earlier instance of the upstream, and no task may start.
   */
  boolean announced = true;

  /** Whether the upstream belongs to this host's shard. */
  boolean inOwnShard;

  /** Whether the upstream's failure domain is evacuated, so that no task may start there. */
  boolean evacuated;

  /** Present limit on the number of concurrent runs. */
  private int maxRuns = MAX_RUNS;

  /** Whether a renewal under the current token was answered. */
  boolean tokenAccepted;

  TaskSize usedCapacity = TaskSize.ZERO;

  /** Until when runs may go on there, even if this host fails, in milliseconds. */
  long coveredUntil;

  /**
   * Until when runs may go on at a later instance of the upstream that got orders for this one, in
   * milliseconds.
   */
  long coveredAtLaterInstanceUntil;

  long renewalNumber;
  boolean renewalInFlight;

  /** Sequence number ({@link DispatchContext#nextSequence}) of the last renewal. */
  long renewalSequence;

  long nextRenewalAt;

  /**
   * When the upstream last answered a renewal under the current token, in milliseconds; 0 if it
   * never did.
   */
  long lastRenewedAt;

  long acknowledgedEnd;
  int unansweredRenewals;

  /** Number of consecutive refusals of this host's token. */
  int consecutiveRefusals;

  /**
   * Number of consecutive times that it failed a task, was too slow or refused a task; 0 once a
   * task succeeds.
   */
  int consecutiveFailures;

  /** The id of the work whose task last failed or was too slow there; empty if there is none. */
  String lastFailedWork = "";

  long pausedUntil;

  /** When the last renewal was sent, in milliseconds. */
  long renewalSentAt;

  /**
   * Upper bound on how far the upstream's clock is ahead of this host's, in milliseconds, as of
   * {@link #maxClockLeadMeasuredAt}.
   */
  private OptionalLong maxClockLeadMillis = OptionalLong.empty();

  private long maxClockLeadMeasuredAt;
  private boolean hasClockReading;
  private long upstreamClockMillis;
  private long clockReadAt;

  UpstreamLease(UpstreamAnnouncement announcement, boolean inOwnShard) {
    this.announcement = announcement;
    this.inOwnShard = inOwnShard;
  }

  /** Returns whether new tasks may start on the upstream now. */
  boolean isUsable(long now) {
    return inOwnShard
        && announced
        && !evacuated
        && tokenAccepted
        && hasClockReading
        && unansweredRenewals == 0
        && !announcement.leaving()
        && now >= pausedUntil;
  }

  /** Returns whether the upstream has ever answered a renewal under the current token. */
  boolean hasEverAcceptedToken() {
    return lastRenewedAt != 0;
  }

  TaskSize freeCapacity() {
    return announcement.capacity().minus(usedCapacity);
  }

  /** Records a reading of the upstream's clock that was taken at some time before {@code now}. */
  void recordClock(OptionalLong clock, long now) {
    if (clock.isPresent()) {
      hasClockReading = true;
      upstreamClockMillis = clock.getAsLong();
      clockReadAt = now;
    }
  }

  /**
   * Returns how much further the upstream's clock has advanced than this host's, in milliseconds,
   * according to an answer; at most 0 unless this host's clock was paused.
   *
   * <p>The upstream read its clock before {@code now}, so an answer gives a lower bound on how far
   * that clock is ahead. Apart from clock drift, the lower bound cannot exceed the upper bounds
   * from earlier renewals unless this host's clock was paused.
   */
  long localPauseMillis(long clock, long now) {
    return maxClockLeadMillis.isEmpty() ? 0 : clock - now - maxClockLeadAt(now);
  }

  /**
   * Sets the upper bound on how far the upstream's clock is ahead, or lowers it if the answer to a
   * renewal gives a tighter one: the upstream read its clock after the renewal was sent.
   */
  void updateMaxClockLead(long clock, long now) {
    long lead = clock - renewalSentAt;
    if (maxClockLeadMillis.isEmpty() || lead < maxClockLeadAt(now)) {
      maxClockLeadMillis = OptionalLong.of(lead);
      maxClockLeadMeasuredAt = now;
    }
  }

  private long maxClockLeadAt(long now) {
    double drift = (now - maxClockLeadMeasuredAt) * (1 - LeaseTiming.MIN_CLOCK_RATE);
    return maxClockLeadMillis.orElseThrow() + (long) Math.ceil(drift);
  }

  /**
   * Returns the end of a lease that begins now, on the upstream's clock, in milliseconds; 0 while
   * that clock is unknown.
   *
   * <p>The estimate of the upstream's time is never ahead of the actual time: the reading is older
   * than its answer, and the upstream's clock is taken to run at the slowest rate allowed. So no
   * lease lasts longer than {@link LeaseTiming#maxLeaseMillis}. An order that is delayed on the
   * network arrives with an expired lease.
   */
  long leaseDeadline(LeaseTiming timing, long now) {
    if (!hasClockReading) {
      return 0;
    }
    long elapsedMillis = (long) ((now - clockReadAt) * LeaseTiming.MIN_CLOCK_RATE);
    return upstreamClockMillis + elapsedMillis + timing.leaseMillis();
  }

  void extendCoverage(LeaseTiming timing, long now) {
    coveredUntil = Math.max(coveredUntil, now + timing.maxLeaseMillis());
    coveredAtLaterInstanceUntil =
        Math.max(coveredAtLaterInstanceUntil, now + timing.maxLeaseAtOtherInstanceMillis());
  }

  /** Takes over the time for which orders to the earlier instance of the upstream are in force. */
  void continueCoverage(UpstreamLease earlier) {
    coveredUntil = earlier.coveredAtLaterInstanceUntil;
    coveredAtLaterInstanceUntil = earlier.coveredAtLaterInstanceUntil;
  }

  /** Returns until when a run may go on without any further order, in milliseconds. */
  long coveredUntil(LeasedRun run) {
    return run.unattributedStarts > 0 ? coveredAtLaterInstanceUntil : coveredUntil;
  }

  void addRun(LeasedRun run) {
    runs.put(run.id, run);
    usedCapacity = usedCapacity.plus(run.size);
  }

  void removeRun(LeasedRun run) {
    if (runs.remove(run.id) != null) {
      usedCapacity = usedCapacity.minus(run.size);
    }
  }

  /**
   * Returns the pause before the next renewal after an unanswered one, in milliseconds.
   *
   * <p>The first repetitions follow immediately, as single answers may be lost. Each later pause is
   * twice as long as the one before, up to 1.6 s, so that a dead upstream costs one call in that
   * time for as long as it is remembered.
   */
  long renewalBackoffMillis() {
    int retries = unansweredRenewals - LeaseTable.MAX_SHORT_TIMEOUT_RENEWALS;
    return retries <= 0 ? 0 : BASE_PAUSE_MILLIS << Math.min(retries - 1, MAX_BACKOFF_DOUBLINGS);
  }

  /**
   * Returns whether the upstream may get another task in addition to its present runs.
   *
   * <p>An upstream whose last task failed or was too slow gets only a single trial task: an
   * upstream that fails fast looks idle and would attract all tasks of the next jobs.
   */
  boolean acceptsAnotherTask() {
    return runs.size() < maxRuns && (consecutiveFailures == 0 || runs.isEmpty());
  }

  /**
   * Limits the number of concurrent runs until tasks have succeeded.
   *
   * <p>An upstream that was evacuated may have become slow. The limit rises by one with each task
   * that succeeds, so an upstream that is slow gets its load back slowly.
   */
  void beginRampUp() {
    maxRuns = 1;
  }

  /** Records that a task succeeded there. */
  void recordSuccess() {
    maxRuns = maxRuns >= RAMP_UP_TASKS ? MAX_RUNS : maxRuns + 1;
  }

  /**
   * Records that a task failed or took too long there.
   *
   * <p>The first failure may be the job's fault, so starts pause only from the second job in a row
   * on; otherwise a job that fails everywhere would close every upstream on which it runs.
   */
  void recordFailure(String workId, long now) {
    if (consecutiveFailures == 0) {
      consecutiveFailures = 1;
    } else if (!lastFailedWork.equals(workId)) {
      pauseStarts(now);
    }
    lastFailedWork = workId;
  }

  /** Pauses starts on the upstream for a time that doubles with each consecutive failure. */
  void pauseStarts(long now) {
    consecutiveFailures++;
    long pauseMillis = BASE_PAUSE_MILLIS << Math.min(Math.max(0, consecutiveFailures - 2), 8);
    pausedUntil = now + Math.min(pauseMillis, MAX_PAUSE_MILLIS);
  }
}
