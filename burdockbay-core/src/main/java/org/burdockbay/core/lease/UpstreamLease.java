package org.burdockbay.core.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;

/** What the dispatcher knows of one life of an upstream, and the lease that it keeps there. */
final class UpstreamLease {

  /** Starts on an upstream without room or out of order pause for this long, in milliseconds. */
  static final long PAUSE_MILLIS = 200;

  /** A run of failures doubles the pause up to this, in milliseconds. */
  static final long LONGEST_PAUSE_MILLIS = 3_000;

  private static final int MOST_DOUBLINGS = 3;

  final Map<RunId, LeasedRun> runs = new HashMap<>();
  UpstreamNotice notice;

  /** Whether it belongs to this host's shard. */
  boolean inScope;

  /** Whether a renewal under the present token was answered. */
  boolean owned;

  TaskSize used = TaskSize.ZERO;

  /** Until when runs may go on there, whatever happens to this host; milliseconds. */
  long coveredUntil;

  long renewal;
  boolean renewalOpen;

  /** Where the last renewal stands in the order of {@link DispatchContext#nextOrder}. */
  long renewalSent;

  long renewAt;

  /** When it last answered a renewal under the present token, in milliseconds. */
  long listedAt;

  long acknowledged;
  int unanswered;

  /** How often in a row it has refused this host's token. */
  int fencedTimes;

  /** How often in a row it failed a task, was too slow or took none; 0 once a task went well. */
  int failureStreak;

  /** The work whose task failed or was too slow there last; empty if none. */
  String blamedWork = "";

  long pausedUntil;

  /** When the last renewal was sent, in milliseconds. */
  long renewalSentAt;

  /** By how much its clock is ahead of this host's at most, as of {@link #aheadReadAt}. */
  private OptionalLong aheadAtMost = OptionalLong.empty();

  private long aheadReadAt;
  private boolean clockKnown;
  private long clockThere;
  private long clockHere;

  UpstreamLease(UpstreamNotice notice, boolean inScope) {
    this.notice = notice;
    this.inScope = inScope;
  }

  /** Returns whether it takes new tasks now. */
  boolean usable(long now) {
    return inScope
        && owned
        && clockKnown
        && unanswered == 0
        && !notice.leaving()
        && now >= pausedUntil;
  }

  /** Returns whether it has answered a renewal under the present token. */
  boolean hasObeyed() {
    return listedAt != 0;
  }

  TaskSize free() {
    return notice.capacity().minus(used);
  }

  /** Notes the upstream's clock as it was read at some time before {@code now}. */
  void clockRead(OptionalLong clock, long now) {
    if (clock.isPresent()) {
      clockKnown = true;
      clockThere = clock.getAsLong();
      clockHere = now;
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
  long clockJump(long clock, long now) {
    return aheadAtMost.isEmpty() ? 0 : clock - now - aheadAtMostAt(now);
  }

  /**
   * Sets the upper bound on how far the upstream's clock is ahead, or lowers it if the answer to a
   * renewal gives a tighter one: the upstream read its clock after the renewal was sent.
   */
  void updateAheadAtMost(long clock, long now) {
    long upper = clock - renewalSentAt;
    if (aheadAtMost.isEmpty() || upper < aheadAtMostAt(now)) {
      aheadAtMost = OptionalLong.of(upper);
      aheadReadAt = now;
    }
  }

  private long aheadAtMostAt(long now) {
    double drift = (now - aheadReadAt) * (1 - LeaseTerms.SLOWEST_CLOCK);
    return aheadAtMost.orElseThrow() + (long) Math.ceil(drift);
  }

  /**
   * Returns the end of a lease that begins now, on the upstream's clock; 0 while that is unknown.
   *
   * <p>The estimate of the upstream's time is never ahead of it: the reading is older than its
   * answer, and the upstream's clock runs at the slowest rate allowed. So no lease lasts longer
   * than {@link LeaseTerms#longestMillis}. An order that is held up on the network comes with a
   * lease that has run out.
   */
  long deadline(LeaseTerms terms, long now) {
    if (!clockKnown) {
      return 0;
    }
    long passed = (long) ((now - clockHere) * LeaseTerms.SLOWEST_CLOCK);
    return clockThere + passed + terms.leaseMillis();
  }

  void covered(LeaseTerms terms, long now) {
    coveredUntil = Math.max(coveredUntil, now + terms.longestMillis());
  }

  void add(LeasedRun run) {
    runs.put(run.id, run);
    used = used.plus(run.size);
  }

  void remove(LeasedRun run) {
    if (runs.remove(run.id) != null) {
      used = used.minus(run.size);
    }
  }

  /**
   * Returns the pause before the next renewal after one that wasn't answered, in milliseconds.
   *
   * <p>The first repetitions follow at once, as single answers may be lost. Each later pause is
   * twice as long, so that a dead upstream costs a call every 1.6 s for as long as it is
   * remembered.
   */
  long silencePause() {
    int lost = unanswered - LeaseBook.SOON_REPEATED;
    return lost <= 0 ? 0 : PAUSE_MILLIS << Math.min(lost - 1, MOST_DOUBLINGS);
  }

  /**
   * Returns whether it may get one more task beside what it runs.
   *
   * <p>One that has failed or been too slow last gets a single task on trial: one that fails fast
   * looks idle and would draw all tasks of the next jobs.
   */
  boolean takesMore() {
    return failureStreak == 0 || runs.isEmpty();
  }

  /**
   * Takes note that a task failed or took too long there.
   *
   * <p>The first time may be the job's fault, so starts pause only from the second job in a row on;
   * else a job that fails everywhere would close every upstream that it meets.
   */
  void disappointed(String work, long now) {
    if (failureStreak == 0) {
      failureStreak = 1;
    } else if (!blamedWork.equals(work)) {
      pause(now);
    }
    blamedWork = work;
  }

  /** Keeps starts away for a while that doubles with each failure in a row. */
  void pause(long now) {
    failureStreak++;
    long pause = PAUSE_MILLIS << Math.min(Math.max(0, failureStreak - 2), 8);
    pausedUntil = now + Math.min(pause, LONGEST_PAUSE_MILLIS);
  }
}
