package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;

/**
 * Runs and results of an earlier dispatcher that upstreams have listed.
 *
 * <p>The entry hosts submit their work again as soon as they hear of a new dispatcher. Runs that
 * nobody claims by {@link #CLAIM_TIMEOUT_MILLIS} belong to callers that are gone.
 */
final class TakenOverRuns {

  /**
   * Time for entry hosts to claim runs, in milliseconds: they submit their work again as soon as
   * they hear of the new dispatcher. Meanwhile the upstream's lease isn't renewed, and it may have
   * 200 ms left.
   */
  static final long CLAIM_TIMEOUT_MILLIS = 150;

  /** Results are kept longer, since they cost nothing, in milliseconds. */
  private static final long RESULT_RETENTION_MILLIS = 3_000;

  private final Map<TaskId, FoundRun> running = new HashMap<>();
  private final Map<TaskId, Long> finished = new HashMap<>();

  void addRun(RunId run, UpstreamLease upstream, long now) {
    FoundRun known = running.get(run.task());
    if (known == null || known.run.number() < run.number()) {
      running.put(run.task(), new FoundRun(run, upstream, now));
    }
  }

  void addResult(TaskId task, long now) {
    finished.put(task, now);
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

  /** Returns the runs that nobody has claimed in time, and forgets them. */
  List<FoundRun> removeUnclaimed(long now) {
    List<FoundRun> unclaimed = new ArrayList<>();
    running
        .values()
        .removeIf(
            found -> {
              boolean late = now - found.foundAt > CLAIM_TIMEOUT_MILLIS;
              if (late) {
                unclaimed.add(found);
              }
              return late;
            });
    finished.values().removeIf(at -> now - at > RESULT_RETENTION_MILLIS);
    return unclaimed;
  }

  /** A run that was found at an upstream. */
  record FoundRun(RunId run, UpstreamLease upstream, long foundAt) {}
}
