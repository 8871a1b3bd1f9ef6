package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.jspecify.annotations.Nullable;

/** Holds the runners of the failure domain and selects among them. */
final class RunnerPool {

  /** Lease of an announcement, in milliseconds: three renewals at intervals of one second. */
  static final long LEASE_MILLIS = 3_000;

  private final Map<String, RunnerEntry> byName = new LinkedHashMap<>();
  private boolean evacuated;

  /**
   * Records an announcement.
   *
   * @return the entry that the announcement replaced because its process restarted
   */
  Optional<RunnerEntry> announce(RunnerAnnouncement announcement, long now) {
    RunnerEntry known = byName.get(announcement.id().name());
    if (known != null && known.id.incarnation() > announcement.id().incarnation()) {
      // A delayed renewal of an earlier instance would otherwise restore the terminated process.
      return Optional.empty();
    }
    if (known != null && known.id.equals(announcement.id())) {
      known.announcement = announcement;
      known.lastAnnouncedAt = now;
      return Optional.empty();
    }
    byName.put(announcement.id().name(), new RunnerEntry(announcement, now));
    return Optional.ofNullable(known);
  }

  Optional<RunnerEntry> find(RunnerId id) {
    RunnerEntry entry = byName.get(id.name());
    return entry != null && entry.id.equals(id) ? Optional.of(entry) : Optional.empty();
  }

  Collection<RunnerEntry> runners() {
    return byName.values();
  }

  /** Sets whether the failure domain is evacuated, so that no task may start on its runners. */
  void setEvacuated(boolean changed) {
    evacuated = changed;
  }

  /** Removes and returns the runners whose lease has expired. */
  List<RunnerEntry> expire(long now) {
    List<RunnerEntry> expired = new ArrayList<>();
    byName.values().removeIf(entry -> hasExpired(entry, now) && expired.add(entry));
    return expired;
  }

  boolean hasExpired(RunnerEntry entry, long now) {
    return now - entry.lastAnnouncedAt > LEASE_MILLIS;
  }

  /**
   * Returns the runner for a task, or null if none has a free slot for it.
   *
   * <p>A task starts immediately on any free slot, so the runner with the lowest load is selected,
   * which also limits the number of tasks that are lost with one runner. A runner on which the task
   * failed before is selected only if no other available runner serves the task.
   */
  @Nullable RunnerEntry select(TaskEntry task, @Nullable RunnerEntry avoided, long now) {
    if (evacuated) {
      return null;
    }
    RunnerEntry best = null;
    boolean untriedExists = false;
    RunnerEntry bestRetried = null;
    for (RunnerEntry entry : byName.values()) {
      if (!canServe(entry, task.job.rule) || !entry.isAvailable(now) || entry.equals(avoided)) {
        continue;
      }
      boolean tried = task.failedOn.contains(entry.id);
      untriedExists |= !tried;
      if (!mayStart(entry, task)) {
        continue;
      }
      if (tried) {
        bestRetried = lessLoaded(bestRetried, entry);
      } else {
        best = lessLoaded(best, entry);
      }
    }
    return best != null || untriedExists ? best : bestRetried;
  }

  /** Returns whether any runner, busy or idle, serves the kind of job; none does if evacuated. */
  boolean isServable(JobRule rule) {
    return !evacuated && byName.values().stream().anyMatch(entry -> canServe(entry, rule));
  }

  /** Returns the number of slots of the available runners that serve the kind of job. */
  int availableSlots(JobRule rule, long now) {
    int slots = 0;
    for (RunnerEntry entry : byName.values()) {
      if (canServe(entry, rule) && isAvailable(entry, now)) {
        slots += entry.concurrencyLimit();
      }
    }
    return slots;
  }

  int freeSlots(long now) {
    int free = 0;
    for (RunnerEntry entry : byName.values()) {
      if (isAvailable(entry, now)) {
        free += entry.freeSlots();
      }
    }
    return free;
  }

  int totalSlots(long now) {
    int total = 0;
    for (RunnerEntry entry : byName.values()) {
      if (isAvailable(entry, now)) {
        total += entry.concurrencyLimit();
      }
    }
    return total;
  }

  /** Returns whether one more ejection keeps the ejected share within the limit. */
  boolean mayEject(double share, long now) {
    long ejected = byName.values().stream().filter(entry -> entry.isEjected(now)).count();
    return ejected + 1 <= share * byName.size();
  }

  private boolean isAvailable(RunnerEntry entry, long now) {
    return !evacuated && entry.isAvailable(now);
  }

  private static boolean canServe(RunnerEntry entry, JobRule rule) {
    return entry.announcement.services().contains(rule.service())
        && entry.announcement.labels().containsAll(rule.labels());
  }

  private static boolean mayStart(RunnerEntry entry, TaskEntry task) {
    // A runner on probation may fail its tasks, so it gets only tasks that may run again.
    boolean eligible = task.job.isAtMostOnce() ? entry.inRoster && !entry.probing : true;
    return eligible && entry.freeSlots() > 0;
  }

  private static RunnerEntry lessLoaded(@Nullable RunnerEntry current, RunnerEntry candidate) {
    if (current == null) {
      return candidate;
    }
    double currentLoad = (double) current.attempts.size() / current.concurrencyLimit();
    double candidateLoad = (double) candidate.attempts.size() / candidate.concurrencyLimit();
    return candidateLoad < currentLoad ? candidate : current;
  }
}
