package org.burdockbay.core.dispatch;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.SubmissionKey;

/** An instance of a runner at the dispatcher, with its lease, its slots and its health. */
final class RunnerEntry {

  private static final int FAILURES_TO_EJECT = 3;
  private static final long INITIAL_EJECTION_MILLIS = 5_000;
  private static final long MAX_EJECTION_MILLIS = 60_000;
  private static final int SUCCESSES_PER_LIMIT_INCREASE = 8;

  final RunnerId id;
  final Map<AttemptId, AttemptEntry> attempts = new LinkedHashMap<>();
  RunnerAnnouncement announcement;
  long lastAnnouncedAt;

  /** Set once the runner has accepted the epoch and listed its attempts. */
  boolean fenced;

  /** Set once the ledger lists the runner, so that at-most-once tasks may start on it. */
  boolean inRoster;

  boolean rosterAdditionPending;
  long nextFenceAt;
  long pausedUntil;
  long ejectedUntil;
  boolean probing;
  private final Set<SubmissionKey> failedJobs = new LinkedHashSet<>();
  private int ejections;
  private int concurrencyLimit;
  private int successesAtLimit;

  RunnerEntry(RunnerAnnouncement announcement, long now) {
    this.id = announcement.id();
    this.announcement = announcement;
    this.lastAnnouncedAt = now;
    this.concurrencyLimit = announcement.slots();
  }

  String address() {
    return announcement.address();
  }

  int concurrencyLimit() {
    return probing ? 1 : Math.min(concurrencyLimit, announcement.slots());
  }

  int freeSlots() {
    return Math.max(0, concurrencyLimit() - attempts.size());
  }

  boolean isAvailable(long now) {
    return fenced && !announcement.leaving() && now >= pausedUntil && now >= ejectedUntil;
  }

  boolean isEjected(long now) {
    return now < ejectedUntil;
  }

  /**
   * Records a success: the runner is healthy, and its concurrency limit rises by one slot after
   * several successes.
   */
  void recordSuccess() {
    failedJobs.clear();
    probing = false;
    ejections = 0;
    successesAtLimit++;
    if (successesAtLimit >= SUCCESSES_PER_LIMIT_INCREASE
        && concurrencyLimit < announcement.slots()) {
      concurrencyLimit++;
      successesAtLimit = 0;
    }
  }

  /**
   * Records a failure and returns whether the runner should be ejected.
   *
   * <p>A runner that fails every task immediately appears idle and attracts all work. It is
   * detected by failures of several submissions in a row without a success. A faulty job that fails
   * on every runner counts once for each runner and so ejects none.
   */
  boolean recordFailure(SubmissionKey key) {
    failedJobs.add(key);
    return probing || failedJobs.size() >= FAILURES_TO_EJECT;
  }

  /** Retracts a failure that was caused by the job itself. */
  void retractFailure(SubmissionKey key) {
    failedJobs.remove(key);
  }

  void eject(long now) {
    long pause = Math.min(MAX_EJECTION_MILLIS, INITIAL_EJECTION_MILLIS << Math.min(ejections, 4));
    ejections++;
    ejectedUntil = now + pause;
    probing = true;
    failedJobs.clear();
  }

  /**
   * Records a rejection: the concurrency limit drops to the number of running attempts, and the
   * runner gets no tasks during the pause.
   */
  void recordRejection(long now, long pauseMillis) {
    concurrencyLimit = Math.max(1, Math.min(concurrencyLimit, attempts.size()));
    successesAtLimit = 0;
    pausedUntil = now + pauseMillis;
  }
}
