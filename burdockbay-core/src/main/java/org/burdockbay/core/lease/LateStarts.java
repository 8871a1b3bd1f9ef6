package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;

/**
 * Keeps the starts that may still be carried out although their runs are over.
 *
 * <p>The instance that ended such a run refuses a late copy of its start. A later instance of the
 * upstream begins the run, unless it has been told to stop it before the start arrives. A task
 * whose earlier start may be late should therefore start again on the same upstream.
 */
final class LateStarts {

  /**
   * How long a start without an answer may be late, in milliseconds; orders arrive seconds late.
   */
  private static final long RETENTION_MILLIS = 15_000;

  /** Maximum number of tasks whose starts are kept; the oldest ones are dropped. */
  private static final int MAX_TASKS = 10_000;

  private final Map<TaskId, List<LateStart>> starts = new LinkedHashMap<>();
  private final long maxLeaseMillis;

  LateStarts(LeaseTiming timing) {
    this.maxLeaseMillis = timing.maxLeaseAtOtherInstanceMillis();
  }

  /** Records the copies of the start of a run that is over. */
  void add(LeasedRun run) {
    starts.computeIfAbsent(run.id.task(), task -> new ArrayList<>()).add(new LateStart(run));
    if (starts.size() > MAX_TASKS) {
      starts.remove(starts.keySet().iterator().next());
    }
  }

  /** Records that one copy of a start has been carried out or refused. */
  void copyArrived(RunId run) {
    starts.computeIfPresent(
        run.task(),
        (task, late) -> {
          late.removeIf(start -> start.run.equals(run) && --start.copies == 0);
          return late.isEmpty() ? null : late;
        });
  }

  /**
   * Returns whether a run of a task on the given upstream may overlap one that begins late at
   * another upstream.
   */
  boolean mayOverlap(TaskId task, UpstreamAnnouncement upstream, long now) {
    return starts.getOrDefault(task, List.of()).stream()
        .anyMatch(start -> !start.mayReach(upstream) && now - start.sentAt <= maxLeaseMillis);
  }

  /** Returns the runs whose starts may be carried out by a new instance. */
  List<RunId> runsAt(UpstreamAnnouncement instance) {
    return starts.values().stream()
        .flatMap(List::stream)
        .filter(start -> start.mayReach(instance))
        .map(start -> start.run)
        .toList();
  }

  /** Drops the starts that are too old to be carried out. */
  void tick(long now) {
    // The tasks are in the order of the ends of their runs, which is nearly that of the starts.
    Iterator<List<LateStart>> oldest = starts.values().iterator();
    while (oldest.hasNext() && now - oldest.next().getLast().sentAt > RETENTION_MILLIS) {
      oldest.remove();
    }
  }

  void clear() {
    starts.clear();
  }

  /** A start whose run is over. */
  private static final class LateStart {

    private final RunId run;
    private final UpstreamAnnouncement addressed;

    /** When the last copy was sent, in milliseconds. */
    private final long sentAt;

    /** Number of copies that may be late. */
    private int copies;

    LateStart(LeasedRun run) {
      this.run = run.id;
      this.addressed = run.upstream.announcement;
      this.sentAt = run.lastStartSentAt;
      this.copies = run.lateStarts;
    }

    boolean mayReach(UpstreamAnnouncement instance) {
      return addressed.id().equals(instance.id()) && addressed.address().equals(instance.address());
    }
  }
}
