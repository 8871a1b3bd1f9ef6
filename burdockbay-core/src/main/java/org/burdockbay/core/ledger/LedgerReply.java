package org.burdockbay.core.ledger;

import java.util.List;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** How the ledger answers a command. */
public sealed interface LedgerReply {

  /** The command took effect, or had taken effect before. */
  record Granted() implements LedgerReply {}

  /**
   * The dispatcher took over its failure domain.
   *
   * @param roster runners that may hold attempts of earlier epochs
   * @param open submissions that earlier epochs opened and did not close
   */
  record Registered(List<RunnerId> roster, List<OpenSubmission> open) implements LedgerReply {

    /** Copies the lists. */
    public Registered {
      roster = List.copyOf(roster);
      open = List.copyOf(open);
    }
  }

  /** The submission is unknown. */
  record Unknown() implements LedgerReply {}

  /** The submission was opened in another failure domain and isn't closed. */
  record OpenElsewhere(String domain) implements LedgerReply {}

  /** The submission is closed. */
  record Closed(JobOutcome outcome) implements LedgerReply {}

  /** The key was used with other content. */
  record ContentMismatch() implements LedgerReply {}

  /** The epoch of the command is not the registered one. */
  record Fenced(long epoch) implements LedgerReply {}

  /** The ledger holds as many records as it may. */
  record Full() implements LedgerReply {}

  /** No quorum answered in time; the command may or may not take effect. */
  record Unavailable() implements LedgerReply {}

  /**
   * A submission that was opened and not closed.
   *
   * @param key the submission
   * @param digest digest of its content
   * @param tasks number of its tasks
   */
  record OpenSubmission(SubmissionKey key, String digest, int tasks) {}
}
