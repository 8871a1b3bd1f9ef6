package org.burdockbay.core.submission;

import java.util.Objects;

/**
 * Identifies a submission by its caller and the id that the caller chose.
 *
 * <p>Submissions with the same key are the same work, regardless of the host that receives them.
 */
public record SubmissionKey(String caller, String submission) {

  /** Checks that both parts are present. */
  public SubmissionKey {
    Objects.requireNonNull(caller, "caller");
    Objects.requireNonNull(submission, "submission");
  }

  @Override
  public String toString() {
    return caller + "/" + submission;
  }
}
