package org.burdockbay.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;

/** What the dispatcher knows of one life of an upstream, and the lease that it keeps there. */
final class UpstreamLease {

  /** Starts on an upstream without room or out of order pause for this long, in milliseconds. */
  static final long BASE_PAUSE_MILLIS = 200;

  /** A run of failures doubles the pause up to this, in milliseconds. */
  static final long MAX_PAUSE_MILLIS = 3_000;

  private static final int MAX_DOUBLINGS = 3;

  final Map<RunId, LeasedRun> runs = new HashMap<>();
  UpstreamAnnouncement announcement;

  /** Whether it belongs to this host's shard. */
  boolean inOwnShard;

  /** Whether a renewal under the present token was answered. */
  boolean tokenAccepted;

  TaskSize usedCapacity = TaskSize.ZERO;

  /** Until when runs may go on there, whatever happens to this host; milliseconds. */
  long coveredUntil;

  long renewalNumber;
  boolean renewalInFlight;

  /** Where the last renewal stands in the order of {@link DispatchContext#nextSequence}. */
  long renewalSequence;

  long nextRenewalAt;

  /** When it last answered a renewal under the present token, in milliseconds. */
  long lastRenewedAt;

  long acknowledgedEnd;
  int unansweredRenewals;

  /** How often in a row it has refused this host's token. */
  int consecutiveRefusals;

  /** How often in a row it failed a task, was too slow or took none; 0 once a task went well. */
  int consecutiveFailures;

  /** The work whose task failed or was too slow there last; empty if none. */
  String lastFailedWork = "";

  long pausedUntil;

  /** When the last renewal was sent, in milliseconds. */
  long renewalSentAt;

  /**
   * By how much its clock is ahead of this host's at most, as of {@link #maxClockLeadMeasuredAt}.
   */
  private OptionalLong maxClockLead = OptionalLong.empty();

  private long maxClockLeadMeasuredAt;
  private boolean hasClockReading;
  private long upstreamClockMillis;
  private long clockReadAt;

  UpstreamLease(UpstreamAnnouncement notice, boolean inScope) {
    this.announcement = notice;
    this.inOwnShard = inScope;
  }

  /** Returns whether it takes new tasks now. */
  boolean isUsable(long now) {
    return inOwnShard
        && tokenAccepted
        && hasClockReading
        && unansweredRenewals == 0
        && !announcement.leaving()
        && now >= pausedUntil;
  }

  /** Returns whether it has answered a renewal under the present token. */
  boolean hasEverAcceptedToken() {
    return lastRenewedAt != 0;
  }

  TaskSize freeCapacity() {
    return announcement.capacity().minus(usedCapacity);
  }

  /** Notes the upstream's clock as it was read at some time before {@code now}. */
  void recordClock(OptionalLong clock, long now) {
    if (clock.isPresent()) {
      hasClockReading = true;
      upstreamClockMillis = clock.getAsLong();
      clockReadAt = now;
    }
  }

  /**
   * Returns for how much longer than this host's clock the upstream's has gone on, in milliseconds,
   * according to an answer; at most 0 unless this host's clock has stood still.
   *
   * <p>The upstream read its clock before {@code now}, so an answer gives a lower bound on how far
   * that clock is ahead. Apart from clock drift, the lower bound cannot exceed the upper bounds
   * from earlier renewals unless this host's clock has stood still.
   */
  long localPauseMillis(long clock, long now) {
    return maxClockLead.isEmpty() ? 0 : clock - now - maxClockLeadAt(now);
  }

  /**
   * Sets the upper bound on how far the upstream's clock is ahead, or lowers it if the answer to a
   * renewal gives a tighter one: the upstream read its clock after the renewal was sent.
   */
  void updateMaxClockLead(long clock, long now) {
    long upper = clock - renewalSentAt;
    if (maxClockLead.isEmpty() || upper < maxClockLeadAt(now)) {
      maxClockLead = OptionalLong.of(upper);
      maxClockLeadMeasuredAt = now;
    }
  }

  private long maxClockLeadAt(long now) {
    double drift = (now - maxClockLeadMeasuredAt) * (1 - LeaseTiming.MIN_CLOCK_RATE);
    return maxClockLead.orElseThrow() + (long) Math.ceil(drift);
  }

  /**
   * Returns the end of a lease that begins now, on the upstream's clock; 0 while that is unknown.
   *
   * <p>The estimate of the upstream's time is never ahead of it: the reading is older than its
   * answer, and the upstream's clock runs at the slowest rate allowed. So no lease lasts longer
   * than {@link LeaseTiming#maxLeaseMillis}. An order that is held up on the network comes with a
   * lease that has run out.
   */
  long leaseDeadline(LeaseTiming terms, long now) {
    if (!hasClockReading) {
      return 0;
    }
    long passed = (long) ((now - clockReadAt) * LeaseTiming.MIN_CLOCK_RATE);
    return upstreamClockMillis + passed + terms.leaseMillis();
  }

  void extendCoverage(LeaseTiming terms, long now) {
    coveredUntil = Math.max(coveredUntil, now + terms.maxLeaseMillis());
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
   * Returns the pause before the next renewal after one that wasn't answered, in milliseconds.
   *
   * <p>The first repetitions follow at once, as single answers may be lost. Each later pause is
   * twice as long, so that a dead upstream costs a call every 1.6 s for as long as it is
   * remembered.
   */
  long renewalBackoffMillis() {
    int lost = unansweredRenewals - LeaseTable.MAX_SHORT_TIMEOUT_RENEWALS;
    return lost <= 0 ? 0 : BASE_PAUSE_MILLIS << Math.min(lost - 1, MAX_DOUBLINGS);
  }

  /**
   * Returns whether it may get one more task beside what it runs.
   *
   * <p>One that has failed or been too slow last gets a single task on trial: one that fails fast
   * looks idle and would draw all tasks of the next jobs.
   */
  boolean acceptsAnotherTask() {
    return consecutiveFailures == 0 || runs.isEmpty();
  }

  /**
   * Takes note that a task failed or took too long there.
   *
   * <p>The first time may be the job's fault, so starts pause only from the second job in a row on;
   * else a job that fails everywhere would close every upstream that it meets.
   */
  void recordFailure(String work, long now) {
    if (consecutiveFailures == 0) {
      consecutiveFailures = 1;
    } else if (!lastFailedWork.equals(work)) {
      pauseStarts(now);
    }
    lastFailedWork = work;
  }

  /** Keeps starts away for a while that doubles with each failure in a row. */
  void pauseStarts(long now) {
    consecutiveFailures++;
    long pause = BASE_PAUSE_MILLIS << Math.min(Math.max(0, consecutiveFailures - 2), 8);
    pausedUntil = now + Math.min(pause, MAX_PAUSE_MILLIS);
  }
}
