package org.burdockbay.core.submission;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Identifies one attempt of one task; answers are matched by this id alone.
 *
 * <p>It contains a tag of the content because runners retain attempts beyond the lifetime of a
 * dispatcher: a new dispatcher that finds an attempt of the same key must not accept the answer to
 * other content.
 *
 * @param key the submission
 * @param contentTag first characters of the digest of the content
 * @param task index of the task in its job, from 0
 * @param attempt number of the attempt, from 1
 */
public record AttemptId(SubmissionKey key, String contentTag, int task, int attempt) {

  private static final int CONTENT_TAG_LENGTH = 16;
  private static final Pattern ID_PATTERN = Pattern.compile("([^/]+)/(.+)/([^/]+)/(\\d+)/(\\d+)");

  /** Returns the id of an attempt of a job's task. */
  public static AttemptId of(JobRequest request, int task, int attempt) {
    return new AttemptId(request.key(), contentTagOf(request.digest()), task, attempt);
  }

  /** Returns the content tag of a digest. */
  public static String contentTagOf(String digest) {
    return digest.substring(0, Math.min(CONTENT_TAG_LENGTH, digest.length()));
  }

  /** Returns the id in the form of {@link #toString()}, or empty if the text has another form. */
  public static Optional<AttemptId> parse(String text) {
    Matcher matcher = ID_PATTERN.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    try {
      return Optional.of(
          new AttemptId(
              new SubmissionKey(matcher.group(1), matcher.group(2)),
              matcher.group(3),
              Integer.parseInt(matcher.group(4)),
              Integer.parseInt(matcher.group(5))));
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  @Override
  public String toString() {
    return key + "/" + contentTag + "/" + task + "/" + attempt;
  }
}
