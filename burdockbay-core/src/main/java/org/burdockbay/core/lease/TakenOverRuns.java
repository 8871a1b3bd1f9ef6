package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;

/**
 * Keeps runs and results of an earlier dispatcher that upstreams have listed.
 *
 * <p>Entry hosts submit their work again as soon as they discover a new dispatcher. Runs that are
 * unclaimed after {@link #CLAIM_TIMEOUT_MILLIS} belong to callers that are gone.
 */
final class TakenOverRuns {

  /**
   * Time for entry hosts to claim runs, in milliseconds: they submit their work again as soon as
   * they discover the new dispatcher. Until then the upstream's lease isn't extended, and it may
   * have only 200 ms left.
   */
  static final long CLAIM_TIMEOUT_MILLIS = 150;

  /**
   * How long results are retained, in milliseconds; longer than runs, since results cost nothing.
   */
  private static final long RESULT_RETENTION_MILLIS = 3_000;

  /** Maximum number of runs, and of results, that are retained. */
  private static final int MAX_RETAINED = 20_000;

  private final Map<TaskId, FoundRun> running = new HashMap<>();
  private final Map<TaskId, Long> finished = new HashMap<>();

  /** Returns whether a number of further runs can be retained. */
  boolean hasRoom(int runs) {
    return running.size() + runs <= MAX_RETAINED;
  }

  void addRun(RunId run, UpstreamLease upstream, long now) {
    FoundRun known = running.get(run.task());
    if (known == null || known.run.number() < run.number()) {
      running.put(run.task(), new FoundRun(run, upstream, now));
    }
  }

  /** Retains a result; without room it is dropped, and its task runs again. */
  void addResult(TaskId task, long now) {
    if (finished.size() < MAX_RETAINED) {
      finished.put(task, now);
    }
  }

  Optional<FoundRun> claimRun(TaskId task) {
    return Optional.ofNullable(running.remove(task));
  }

  boolean claimResult(TaskId task) {
    return finished.remove(task) != null;
  }

  void forgetUpstream(UpstreamLease upstream) {
    running.values().removeIf(found -> found.upstream == upstream);
  }

  boolean hasRunsOn(UpstreamLease upstream) {
    return running.values().stream().anyMatch(found -> found.upstream == upstream);
  }

  void clear() {
    running.clear();
    finished.clear();
  }

  /** Removes and returns the runs that weren't claimed in time. */
  List<FoundRun> removeUnclaimed(long now) {
    List<FoundRun> unclaimed = new ArrayList<>();
    running
        .values()
        .removeIf(
            found -> {
              boolean expired = now - found.foundAt > CLAIM_TIMEOUT_MILLIS;
              if (expired) {
                unclaimed.add(found);
              }
              return expired;
            });
    finished.values().removeIf(at -> now - at > RESULT_RETENTION_MILLIS);
    return unclaimed;
  }

  /**
   * A run that an upstream has listed.
   *
   * @param foundAt when it was first listed, in milliseconds
   */
  record FoundRun(RunId run, UpstreamLease upstream, long foundAt) {}
}
