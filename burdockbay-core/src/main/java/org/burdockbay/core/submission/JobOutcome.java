package org.burdockbay.core.submission;

import java.util.List;
import org.burdockbay.core.error.ErrorKind;

/** The final outcome of a job: complete or failed, never partial. */
public sealed interface JobOutcome {

  /**
   * The answers of all tasks, in the order of the tasks.
   *
   * @param answers JSON text of each task's answer
   */
  record Completed(List<String> answers) implements JobOutcome {

    /** Copies the answers. */
    public Completed {
      answers = List.copyOf(answers);
    }
  }

  /**
   * The job failed as a whole.
   *
   * @param kind kind of the failure
   * @param detail description for the caller
   * @param retryAfterMillis delay before a retry, in milliseconds; 0 if a retry isn't useful
   */
  record Failed(ErrorKind kind, String detail, long retryAfterMillis) implements JobOutcome {}

  /** Returns the code for logs: {@code completed} or the code of the error kind. */
  default String code() {
    return switch (this) {
      case Completed completed -> "completed";
      case Failed failed -> failed.kind().code();
    };
  }
}
