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

/** The upstreams of the failure domain and the choice among them. */
final class RunnerPool {

  /** Lease of an announcement, in milliseconds: three renewals at one a second. */
  static final long LEASE_MILLIS = 3_000;

  private final Map<String, RunnerEntry> byName = new LinkedHashMap<>();

  /**
   * Takes an announcement.
   *
   * @return the entry that the announcement replaced, because its process restarted
   */
  Optional<RunnerEntry> announce(RunnerAnnouncement announcement, long now) {
    RunnerEntry known = byName.get(announcement.id().name());
    if (known != null && known.id.incarnation() > announcement.id().incarnation()) {
      // A late renewal of an earlier run would otherwise bring the dead process back.
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

  /** Removes and returns the runners whose lease has run out. */
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
   * <p>Every free slot starts the task at once, so the choice is the runner with the fewest tasks;
   * that also spreads the loss when one dies. A runner on which the task failed before is taken
   * only where no other could ever serve the task.
   */
  @Nullable RunnerEntry select(TaskEntry task, @Nullable RunnerEntry avoided, long now) {
    RunnerEntry best = null;
    boolean untriedExists = false;
    RunnerEntry bestTried = null;
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
        bestTried = lessLoaded(bestTried, entry);
      } else {
        best = lessLoaded(best, entry);
      }
    }
    return best != null || untriedExists ? best : bestTried;
  }

  /** Returns whether any runner, busy or not, could serve the kind of job. */
  boolean isServable(JobRule rule) {
    return byName.values().stream().anyMatch(entry -> canServe(entry, rule));
  }

  /** Returns the slots of the runners that serve the kind of job and take work. */
  int availableSlots(JobRule rule, long now) {
    int slots = 0;
    for (RunnerEntry entry : byName.values()) {
      if (canServe(entry, rule) && entry.isAvailable(now)) {
        slots += entry.concurrencyLimit();
      }
    }
    return slots;
  }

  int freeSlots(long now) {
    int free = 0;
    for (RunnerEntry entry : byName.values()) {
      if (entry.isAvailable(now)) {
        free += entry.freeSlots();
      }
    }
    return free;
  }

  int totalSlots(long now) {
    int total = 0;
    for (RunnerEntry entry : byName.values()) {
      if (entry.isAvailable(now)) {
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

  private static boolean canServe(RunnerEntry entry, JobRule rule) {
    return entry.announcement.services().contains(rule.service())
        && entry.announcement.labels().containsAll(rule.labels());
  }

  private static boolean mayStart(RunnerEntry entry, TaskEntry task) {
    // A runner on probation may fail what it gets, so it gets only what may run again.
    boolean fit = task.job.isAtMostOnce() ? entry.inRoster && !entry.probing : true;
    return fit && entry.freeSlots() > 0;
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
