package org.burdockbay.core.submission;

import java.util.List;
import org.burdockbay.core.error.ErrorKind;

/** The final answer of a job: whole or failed, never a part. */
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
   * @param kind what happened
   * @param detail a sentence for the caller
   * @param retryAfterMillis when to come back, in milliseconds; 0 where it makes no sense
   */
  record Failed(ErrorKind kind, String detail, long retryAfterMillis) implements JobOutcome {}

  /** Returns the word for logs: {@code completed} or the code of the error kind. */
  default String code() {
    return switch (this) {
      case Completed completed -> "completed";
      case Failed failed -> failed.kind().code();
    };
  }
}
