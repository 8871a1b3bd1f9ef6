package org.burdockbay.core.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * Recovers the attempts that earlier dispatchers started.
 *
 * <p>A new dispatcher first fences every runner: the runner accepts the new epoch, rejects starts
 * under earlier epochs from then on, and lists its attempts. Once all runners that may hold
 * attempts are fenced or written off, an attempt that is on no list either never started and never
 * will, or ran on a runner that was written off; {@link #isComplete()} and {@link #isLossless()}
 * distinguish the two cases.
 */
final class DispatchRecovery {

  private static final long FENCE_RETRY_INTERVAL_MILLIS = 300;
  private static final long ROSTER_FENCE_TIMEOUT_MILLIS = 4_000;
  private static final long RUNNER_DISCOVERY_MILLIS = 1_500;

  private final DispatchState state;
  private final Map<SubmissionKey, Map<AttemptId, RecoveredAttempt>> attemptsByKey =
      new HashMap<>();
  private final Map<SubmissionKey, LedgerReply.OpenSubmission> openSubmissions =
      new LinkedHashMap<>();
  private final Set<RunnerId> unfencedRoster = new HashSet<>();
  private long startedAt;
  private boolean rebuilding;
  private boolean registered;
  private boolean rosterComplete;
  private boolean lossless = true;

  DispatchRecovery(DispatchState state) {
    this.state = state;
  }

  /** Discards the state of the previous epoch and fences all known runners under the new one. */
  void startEpoch() {
    attemptsByKey.clear();
    openSubmissions.clear();
    unfencedRoster.clear();
    startedAt = state.now;
    rebuilding = true;
    registered = false;
    rosterComplete = false;
    lossless = true;
    for (RunnerEntry runner : state.pool.runners()) {
      runner.fenced = false;
      runner.inRoster = false;
      runner.rosterAdditionPending = false;
      fence(runner);
    }
  }

  /** Records the roster and the open submissions of earlier epochs, as the ledger returned them. */
  void ledgerRegistered(LedgerReply.Registered reply) {
    registered = true;
    // Runners may have been fenced before the ledger answered.
    reply.roster().stream().filter(id -> !isFenced(id)).forEach(unfencedRoster::add);
    reply.open().forEach(submission -> openSubmissions.put(submission.key(), submission));
  }

  boolean isRegistered() {
    return registered;
  }

  void fence(RunnerEntry runner) {
    runner.nextFenceAt = state.now + FENCE_RETRY_INTERVAL_MILLIS;
    state.emit(new DispatchEffect.FenceRunner(runner.id, runner.address(), state.epoch));
  }

  /** Records the attempts of a runner that accepted the epoch. */
  void runnerFenced(RunnerEntry runner, List<AttemptReport> attempts) {
    runner.fenced = true;
    unfencedRoster.remove(runner.id);
    for (AttemptReport report : attempts) {
      attemptsByKey
          .computeIfAbsent(report.id().key(), key -> new HashMap<>())
          .put(report.id(), new RecoveredAttempt(runner, report.status(), report.id()));
      if (report.status() instanceof AttemptStatus.Running) {
        AttemptEntry attempt = new AttemptEntry(report.id(), runner, null, state.now);
        attempt.nextQueryAt = state.now;
        runner.attempts.put(report.id(), attempt);
      }
    }
  }

  /** Repeats unanswered fence requests, and ends the rebuild when none is outstanding. */
  void tick() {
    boolean outstanding = false;
    for (RunnerEntry runner : state.pool.runners()) {
      if (!runner.fenced) {
        outstanding = true;
        if (state.now >= runner.nextFenceAt) {
          fence(runner);
        }
      }
    }
    // A process that has just started may not have received the announcements of all runners yet,
    // and an unknown runner may hold attempts. Each runner announces itself within a second.
    boolean discoveryEnded = state.now - state.startedAt >= RUNNER_DISCOVERY_MILLIS;
    if (rebuilding && !outstanding && discoveryEnded) {
      rebuilding = false;
      state.logEvent("rebuild-complete", "epoch=" + state.epoch + " found=" + attemptsByKey.size());
    }
    if (registered && !rosterComplete) {
      writeOffRunners();
    }
    if (state.now - startedAt >= state.configuration.policy().retentionMillis()) {
      attemptsByKey.keySet().retainAll(openSubmissions.keySet());
    }
  }

  /** Returns whether resent jobs must wait because the running attempts aren't all known yet. */
  boolean isRebuilding() {
    return rebuilding;
  }

  /**
   * Returns whether every runner that may hold an attempt of an at-most-once job is fenced or
   * written off.
   */
  boolean isComplete() {
    return registered && rosterComplete && !rebuilding;
  }

  /** Returns whether no runner had to be written off. */
  boolean isLossless() {
    return lossless;
  }

  /** Returns the submissions of earlier epochs that the ledger holds open. */
  Map<SubmissionKey, LedgerReply.OpenSubmission> openSubmissions() {
    return openSubmissions;
  }

  /** Returns whether an earlier epoch opened the submission and didn't close it. */
  boolean wasOpenedEarlier(SubmissionKey key) {
    return openSubmissions.containsKey(key);
  }

  /**
   * Returns the recovered attempt of a task; a successful attempt takes precedence over a running
   * one.
   */
  Optional<RecoveredAttempt> find(SubmissionKey key, String digest, int task) {
    String contentTag = AttemptId.contentTagOf(digest);
    RecoveredAttempt best = null;
    for (RecoveredAttempt candidate : attemptsByKey.getOrDefault(key, Map.of()).values()) {
      boolean matches =
          candidate.id().task() == task && candidate.id().contentTag().equals(contentTag);
      if (matches && (best == null || candidate.takesPrecedenceOver(best))) {
        best = candidate;
      }
    }
    return Optional.ofNullable(best);
  }

  /** Returns whether runners reported attempts of the key with other content. */
  boolean hasOtherContent(SubmissionKey key, String digest) {
    String contentTag = AttemptId.contentTagOf(digest);
    return attemptsByKey.getOrDefault(key, Map.of()).keySet().stream()
        .anyMatch(id -> !id.contentTag().equals(contentTag));
  }

  /**
   * Records the outcome of an attempt that no job has taken over yet.
   *
   * <p>The job may arrive after its attempt ended. Without the recorded outcome, the runner would
   * appear to be lost and the task would start again.
   */
  void attemptEnded(AttemptId attempt, AttemptOutcome outcome) {
    boolean ran =
        outcome instanceof AttemptOutcome.Succeeded || outcome instanceof AttemptOutcome.Failed;
    Map<AttemptId, RecoveredAttempt> attempts = attemptsByKey.get(attempt.key());
    if (ran && attempts != null) {
      attempts.computeIfPresent(
          attempt,
          (id, previous) ->
              new RecoveredAttempt(
                  previous.runner(), new AttemptStatus.Finished(outcome), previous.id()));
    }
  }

  /** Discards the state of a settled submission. */
  void removeSettled(SubmissionKey key) {
    attemptsByKey.remove(key);
    openSubmissions.remove(key);
  }

  private boolean isFenced(RunnerId id) {
    return state.pool.find(id).map(runner -> runner.fenced).orElse(false);
  }

  private void writeOffRunners() {
    boolean timedOut = state.now - startedAt >= ROSTER_FENCE_TIMEOUT_MILLIS;
    if (timedOut && !unfencedRoster.isEmpty()) {
      lossless = false;
      state.logEvent(
          "runners-written-off", "count=" + unfencedRoster.size() + " runners=" + unfencedRoster);
      unfencedRoster.clear();
    }
    if (unfencedRoster.isEmpty() && !rebuilding) {
      rosterComplete = true;
    }
  }

  /** An attempt of an earlier epoch with the status that its runner reported. */
  record RecoveredAttempt(RunnerEntry runner, AttemptStatus status, AttemptId id) {

    boolean takesPrecedenceOver(RecoveredAttempt other) {
      return precedence() > other.precedence();
    }

    private int precedence() {
      return switch (status) {
        case AttemptStatus.Finished finished ->
            finished.outcome() instanceof AttemptOutcome.Succeeded ? 2 : 0;
        case AttemptStatus.Running running -> 1;
        case AttemptStatus.NeverBegan never -> -1;
        case AttemptStatus.Unreachable unreachable -> -1;
      };
    }
  }
}
