package org.burdockbay.core.lease;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;

/**
 * Keeps the starts that may still be carried out although their runs are over.
 *
 * <p>The process that ended such a run refuses a late copy of its start. A later process of the
 * upstream doesn't know the run and would begin it, so it has to be told to stop it first.
 */
final class LateStarts {

  /**
   * How long a start without an answer may be late, in milliseconds; orders arrive seconds late.
   */
  private static final long RETENTION_MILLIS = 15_000;

  /** Maximum number of runs that are kept; the oldest ones are dropped. */
  private static final int MAX_RUNS = 10_000;

  private final Map<RunId, LateStart> starts = new LinkedHashMap<>();

  /** Records copies of the start of a run that is over. */
  void add(LeasedRun run) {
    starts.put(
        run.id,
        new LateStart(run.upstream.announcement, run.unattributedStarts, run.lastStartSentAt));
    if (starts.size() > MAX_RUNS) {
      starts.remove(starts.keySet().iterator().next());
    }
  }

  /** Records that one copy of a start has been carried out or refused. */
  void copyArrived(RunId run) {
    starts.computeIfPresent(
        run,
        (id, start) ->
            start.copies > 1
                ? new LateStart(start.addressed, start.copies - 1, start.sentAt)
                : null);
  }

  /** Returns the runs whose starts may be carried out by a new process. */
  List<RunId> runsAt(UpstreamAnnouncement process) {
    return starts.entrySet().stream()
        .filter(entry -> entry.getValue().mayReach(process))
        .map(Map.Entry::getKey)
        .toList();
  }

  /** Drops the starts that are too old to be carried out. */
  void tick(long now) {
    // The runs are in the order of their ends, which is nearly that of their starts.
    Iterator<LateStart> oldest = starts.values().iterator();
    while (oldest.hasNext() && now - oldest.next().sentAt > RETENTION_MILLIS) {
      oldest.remove();
    }
  }

  void clear() {
    starts.clear();
  }

  /**
   * A start whose run is over.
   *
   * @param addressed the process to which it was sent
   * @param copies the number of copies that may be late
   * @param sentAt when the last copy was sent, in milliseconds
   */
  private record LateStart(UpstreamAnnouncement addressed, int copies, long sentAt) {

    boolean mayReach(UpstreamAnnouncement process) {
      return addressed.id().equals(process.id()) && addressed.address().equals(process.address());
    }
  }
}
