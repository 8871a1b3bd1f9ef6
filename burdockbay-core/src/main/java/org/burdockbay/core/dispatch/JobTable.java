package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.jspecify.annotations.Nullable;

/**
 * Holds the jobs of the dispatcher by submission: unfinished ones, and finished ones while they are
 * retained for resubmissions.
 *
 * <p>Retained jobs are bounded by time and by the total size of their tasks and answers. Above the
 * size limit the oldest are evicted first, so a caller with very large answers shortens the
 * retention and can't exhaust the memory.
 */
final class JobTable {

  private static final long MAX_RETAINED_CHARACTERS = 16_000_000;

  /** Maximum number of characters of the tasks of unfinished jobs: a part of the heap. */
  private static final long MAX_UNFINISHED_CHARACTERS = Runtime.getRuntime().maxMemory() / 16;

  private final Map<SubmissionKey, JobEntry> jobs = new HashMap<>();
  private final PriorityQueue<JobEntry> byDeadline =
      new PriorityQueue<>(Comparator.comparingLong((JobEntry job) -> job.deadlineAt));
  private final PriorityQueue<JobEntry> byFinishTime =
      new PriorityQueue<>(Comparator.comparingLong((JobEntry job) -> job.finishedAt));
  private long retainedCharacters;
  private long unfinishedCharacters;

  /** Returns whether there is memory for the tasks of another job. */
  boolean hasRoomFor(JobRequest request) {
    return characters(request) <= MAX_UNFINISHED_CHARACTERS - unfinishedCharacters;
  }

  @Nullable JobEntry find(SubmissionKey key) {
    return jobs.get(key);
  }

  void add(JobEntry job) {
    jobs.put(job.request.key(), job);
    byDeadline.add(job);
    unfinishedCharacters += characters(job.request);
  }

  void retain(JobEntry job) {
    byFinishTime.add(job);
    retainedCharacters += answerCharacters(job) + characters(job.request);
    unfinishedCharacters -= characters(job.request);
    job.isRetained = true;
  }

  void remove(JobEntry job) {
    if (jobs.remove(job.request.key(), job) && !job.isRetained) {
      unfinishedCharacters -= characters(job.request);
    }
  }

  Collection<JobEntry> jobs() {
    return jobs.values();
  }

  /** Returns the unfinished jobs whose deadline has passed, each of them once. */
  List<JobEntry> pollOverdue(long now) {
    List<JobEntry> overdue = new ArrayList<>();
    while (!byDeadline.isEmpty() && byDeadline.peek().deadlineAt <= now) {
      JobEntry job = byDeadline.poll();
      if (jobs.get(job.request.key()) == job && job.outcome == null) {
        overdue.add(job);
      }
    }
    return overdue;
  }

  /** Removes finished jobs whose retention has ended or that exceed the size limit. */
  void expire(long now, long retentionMillis) {
    while (!byFinishTime.isEmpty()
        && (byFinishTime.peek().finishedAt + retentionMillis <= now
            || retainedCharacters > MAX_RETAINED_CHARACTERS)) {
      JobEntry job = byFinishTime.poll();
      retainedCharacters -= answerCharacters(job) + characters(job.request);
      remove(job);
    }
  }

  void clear() {
    jobs.clear();
    byDeadline.clear();
    byFinishTime.clear();
    retainedCharacters = 0;
    unfinishedCharacters = 0;
  }

  private static long characters(JobRequest request) {
    return request.tasks().stream().mapToLong(String::length).sum();
  }

  private static long answerCharacters(JobEntry job) {
    return switch (job.outcome) {
      case JobOutcome.Completed completed ->
          completed.answers().stream().mapToLong(String::length).sum();
      case JobOutcome.Failed failed -> failed.detail().length();
      case null -> 0;
    };
  }
}
