package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Orders waiting work and decides which work is refused because it can't be served in time. */
final class AdmissionRule {

  /**
   * Interval after which a refused caller may retry, in milliseconds: a few times the usual run
   * time.
   */
  static final long RETRY_AFTER_MILLIS = 1_000;

  /**
   * The share of the total capacity that one piece of work can rely on beside other work. For work
   * that needs more, the time for a prompt answer is agreed with callers on this basis.
   */
  private static final double CAPACITY_SHARE_PER_WORK = 0.25;

  /** Work counts as newly arrived during this share of the time for a prompt answer. */
  private static final double NEW_WORK_SHARE = 0.25;

  /**
   * Factor on the predicted wait of newly arrived work.
   *
   * <p>Work of higher priority that arrives later is placed first, and estimates are rough. Without
   * a margin, callers wait for most of their time and are then refused.
   */
  private static final double NEW_WORK_WAIT_FACTOR = 2.5;

  /** The share of the predicted processing time that work takes at least; estimates are rough. */
  private static final double MIN_RUN_TIME_SHARE = 0.35;

  /** The share of its slack that work may wait until this host handles its submission. */
  private static final double MAX_WAIT_SLACK_SHARE = 0.5;

  /**
   * Lower bound of the limit on this wait, in milliseconds: such waits also occur on hosts that
   * aren't overloaded.
   */
  private static final long MIN_WAIT_LIMIT_MILLIS = 50;

  /**
   * Upper bound of the limit on this wait, in milliseconds: work that waited longer isn't accepted,
   * since its entry host may have switched to another dispatcher or may be gone.
   */
  static final long MAX_WAIT_MILLIS = 250;

  /**
   * Returns the work in the order in which its tasks are placed.
   *
   * <p>Work that can still be answered promptly comes first, then the queue's priority counts, then
   * the latest start. When the load exceeds the capacity, kinds with little slack would otherwise
   * wait behind those with much. Work of flows over their share counts as if it could start later.
   */
  List<WorkState> order(Collection<WorkState> works, long now, ShareRule shares) {
    List<WorkState> ordered = new ArrayList<>(works);
    ordered.sort(
        Comparator.comparing((WorkState work) -> now > work.latestStartAt() && !work.mayHaveStarted)
            .thenComparingInt((WorkState work) -> work.request.priority())
            .thenComparingDouble(
                (WorkState work) -> work.latestStartAt() + shares.delayMillis(work)));
    return ordered;
  }

  /**
   * Returns whether work that hasn't started can no longer be answered promptly, unless all of it
   * can start now.
   *
   * <p>Work that is wide relative to the capacity can't start as a whole even on idle upstreams.
   * Its latest start is extended by the time that its tasks take in waves on a part of the
   * capacity.
   *
   * @param ahead the backlog of the work that is placed before this work
   */
  boolean missesTarget(WorkState work, long now, Backlog ahead) {
    double ownMillis = ahead.processingMillis(work);
    double wavesMillis =
        Math.max(0, ownMillis / CAPACITY_SHARE_PER_WORK - work.criticalPathMillis());
    double latestStartAt = work.latestStartAt() + work.request.stretch() * wavesMillis;
    double waitMillis = ahead.waitMillis() + ownMillis;
    boolean newlyArrived =
        now - work.arrivedAt <= NEW_WORK_SHARE * (work.promptAnswerDeadline() - work.arrivedAt);
    return now + (newlyArrived ? NEW_WORK_WAIT_FACTOR * waitMillis : waitMillis) > latestStartAt;
  }

  /**
   * Returns whether work waited too long for this host to handle its submission.
   *
   * <p>An overloaded host that accepts all work answers none of it in time. An immediate refusal
   * costs little and keeps the wait of the remaining work short.
   */
  boolean waitedTooLong(WorkState work, long waitedMillis) {
    double limitMillis = MAX_WAIT_SLACK_SHARE * (work.latestStartAt() - work.arrivedAt);
    return waitedMillis > Math.clamp(limitMillis, MIN_WAIT_LIMIT_MILLIS, MAX_WAIT_MILLIS);
  }

  /**
   * Returns whether work can't complete before its caller's timeout, even if all usable upstreams
   * ran nothing else and its tasks took only {@link #MIN_RUN_TIME_SHARE} of the predicted time.
   */
  boolean exceedsCapacity(WorkState work, long now, Backlog backlog) {
    double shortestMillis = MIN_RUN_TIME_SHARE * backlog.processingMillis(work);
    return now + shortestMillis > work.expiresAt();
  }

  /** Returns whether waiting work can't complete before its caller's timeout. */
  boolean exceedsTimeout(WorkState work, long now) {
    return now + work.criticalPathMillis() > work.expiresAt();
  }
}
