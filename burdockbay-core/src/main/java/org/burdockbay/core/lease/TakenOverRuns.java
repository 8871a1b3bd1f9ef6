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
 * nobody claims by {@link #CLAIM_MILLIS} belong to callers that are gone.
 */
final class TakenOverRuns {

  /**
   * Time for entry hosts to claim runs, in milliseconds: they submit their work again as soon as
   * they hear of the new dispatcher. Meanwhile the upstream's lease isn't renewed, and it may have
   * 200 ms left.
   */
  static final long CLAIM_MILLIS = 150;

  /** Results are kept longer, since they cost nothing, in milliseconds. */
  private static final long KEPT_MILLIS = 3_000;

  private final Map<TaskId, Found> running = new HashMap<>();
  private final Map<TaskId, Long> finished = new HashMap<>();

  void foundRunning(RunId run, UpstreamLease upstream, long now) {
    Found known = running.get(run.task());
    if (known == null || known.run.run() < run.run()) {
      running.put(run.task(), new Found(run, upstream, now));
    }
  }

  void foundFinished(TaskId task, long now) {
    finished.put(task, now);
  }

  Optional<Found> takeRunning(TaskId task) {
    return Optional.ofNullable(running.remove(task));
  }

  boolean takeFinished(TaskId task) {
    return finished.remove(task) != null;
  }

  void forget(UpstreamLease upstream) {
    running.values().removeIf(found -> found.upstream == upstream);
  }

  boolean anyOn(UpstreamLease upstream) {
    return running.values().stream().anyMatch(found -> found.upstream == upstream);
  }

  void clear() {
    running.clear();
    finished.clear();
  }

  /** Returns the runs that nobody has claimed in time, and forgets them. */
  List<Found> expire(long now) {
    List<Found> unclaimed = new ArrayList<>();
    running
        .values()
        .removeIf(
            found -> {
              boolean late = now - found.at > CLAIM_MILLIS;
              if (late) {
                unclaimed.add(found);
              }
              return late;
            });
    finished.values().removeIf(at -> now - at > KEPT_MILLIS);
    return unclaimed;
  }

  /** A run that was found at an upstream. */
  record Found(RunId run, UpstreamLease upstream, long at) {}
}
