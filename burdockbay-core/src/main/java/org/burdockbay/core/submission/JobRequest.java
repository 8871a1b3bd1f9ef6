package org.burdockbay.core.submission;

import java.util.List;

/**
 * A job as sent by the entry host to the dispatcher of a failure domain.
 *
 * @param key the submission that it belongs to
 * @param digest digest of the content; the same key with another digest is rejected
 * @param job name of the kind of job
 * @param tasks the payload of each task, JSON text
 * @param remainingMillis time left until the deadline, in milliseconds; a duration, since hosts
 *     share no clock
 * @param keyed whether the caller chose the submission id and may therefore submit it again
 */
public record JobRequest(
    SubmissionKey key,
    String digest,
    String job,
    List<String> tasks,
    long remainingMillis,
    boolean keyed) {

  /** Copies the payloads. */
  public JobRequest {
    tasks = List.copyOf(tasks);
  }
}
