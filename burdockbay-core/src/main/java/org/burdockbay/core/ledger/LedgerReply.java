package org.burdockbay.core.ledger;

import java.util.List;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** The reply of the ledger to a {@link LedgerCommand}. */
public sealed interface LedgerReply {

  /** The command took effect now or earlier. */
  record Granted() implements LedgerReply {}

  /**
   * The dispatcher took over its failure domain.
   *
   * @param roster runners that may hold attempts of earlier epochs
   * @param open submissions that earlier epochs opened but did not close
   */
  record Registered(List<RunnerId> roster, List<OpenSubmission> open) implements LedgerReply {

    /** Copies the lists. */
    public Registered {
      roster = List.copyOf(roster);
      open = List.copyOf(open);
    }
  }

  /** The ledger has no record of the submission. */
  record Unknown() implements LedgerReply {}

  /** The submission is open in the given failure domain. */
  record OpenElsewhere(String domain) implements LedgerReply {}

  /** The submission is closed with the given outcome. */
  record Closed(JobOutcome outcome) implements LedgerReply {}

  /** The key belongs to a submission with different content. */
  record ContentMismatch() implements LedgerReply {}

  /**
   * The epoch of the command is not the registered one.
   *
   * @param epoch the registered epoch
   */
  record Fenced(long epoch) implements LedgerReply {}

  /** The ledger has reached its limit of records or of retained characters. */
  record Full() implements LedgerReply {}

  /** No quorum replied before the timeout; the command may or may not take effect. */
  record Unavailable() implements LedgerReply {}

  /**
   * A submission that was opened but not closed.
   *
   * @param key key of the submission
   * @param digest digest of its content
   * @param tasks number of its tasks
   */
  record OpenSubmission(SubmissionKey key, String digest, int tasks) {}
}
