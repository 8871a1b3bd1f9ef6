package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Decides which work goes first, and which can no longer be served. */
final class AdmissionRule {

  /** When a refused caller may come back, in milliseconds: a few times the usual run time. */
  static final long RETRY_AFTER_MILLIS = 1_000;

  /**
   * The share of all room that one piece of work can count on beside the others: what a prompt
   * answer is for wider work is agreed with callers by this share.
   */
  private static final double CAPACITY_SHARE_PER_WORK = 0.25;

  /** The share of the time for a prompt answer in which work counts as just arrived. */
  private static final double NEW_WORK_SHARE = 0.25;

  /**
   * By how much the wait of work that has just arrived is taken longer than predicted.
   *
   * <p>Work of higher priority that comes later goes first, and estimates are rough. Without a
   * margin, callers wait for the most part of their time and are refused then.
   */
  private static final double NEW_WORK_WAIT_FACTOR = 2.5;

  /** The share of its slack that work may wait to be handled by this host. */
  private static final double MAX_WAIT_SLACK_SHARE = 0.5;

  /** Waits up to this occur on hosts that aren't overloaded, in milliseconds. */
  private static final long MIN_WAIT_LIMIT_MILLIS = 50;

  /**
   * Work that waited longer isn't taken up, in milliseconds: its entry host may have turned to
   * another dispatcher meanwhile, or may be gone.
   */
  static final long MAX_WAIT_MILLIS = 250;

  /**
   * Returns the work in the order in which its tasks are placed.
   *
   * <p>What can still be answered promptly goes first, then the queue's priority counts, then the
   * latest start. Under more load than fits, kinds with little slack would otherwise wait behind
   * those with much.
   */
  List<WorkState> order(Collection<WorkState> works, long now) {
    List<WorkState> ordered = new ArrayList<>(works);
    ordered.sort(
        Comparator.comparing((WorkState work) -> now > work.latestStartAt() && !work.mayHaveStarted)
            .thenComparingInt((WorkState work) -> work.request.priority())
            .thenComparingLong(WorkState::latestStartAt));
    return ordered;
  }

  /**
   * Returns whether work that hasn't started can't be answered promptly any more, unless all of it
   * finds room now.
   *
   * <p>Work that is wide against the room can't start as a whole even on idle upstreams. It is
   * given the time that its tasks take in waves on a part of the room.
   *
   * @param ahead the work that goes first
   */
  boolean missesTarget(WorkState work, long now, Backlog ahead) {
    double own = ahead.processingMillis(work);
    double waves = Math.max(0, own / CAPACITY_SHARE_PER_WORK - work.criticalPathMillis());
    double latestStart = work.latestStartAt() + work.request.stretch() * waves;
    double wait = ahead.waitMillis() + own;
    boolean early =
        now - work.arrivedAt <= NEW_WORK_SHARE * (work.promptAnswerDeadline() - work.arrivedAt);
    return now + (early ? NEW_WORK_WAIT_FACTOR * wait : wait) > latestStart;
  }

  /**
   * Returns whether work waited too long to be handled here.
   *
   * <p>A host that gets more than its processor takes serves nobody in time if it takes up
   * everything. What is refused at once costs little, so the rest doesn't wait long.
   */
  boolean waitedTooLong(WorkState work, long waitedMillis) {
    double share = MAX_WAIT_SLACK_SHARE * (work.latestStartAt() - work.arrivedAt);
    return waitedMillis > Math.clamp(share, MIN_WAIT_LIMIT_MILLIS, MAX_WAIT_MILLIS);
  }

  /** Returns whether waiting work can't be answered before its caller leaves. */
  boolean exceedsTimeout(WorkState work, long now) {
    return now + work.criticalPathMillis() > work.expiresAt();
  }
}
