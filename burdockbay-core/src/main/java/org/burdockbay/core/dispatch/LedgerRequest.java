package org.burdockbay.core.dispatch;

import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** A request of the {@link Dispatcher} to the ledger. */
public sealed interface LedgerRequest {

  /** The digest of a lookup that matches any content. */
  String ANY_DIGEST = "";

  /** Takes over the failure domain under an epoch; earlier epochs are rejected from then on. */
  record Register(long epoch) implements LedgerRequest {}

  /** Adds a runner to the roster of those that may hold attempts of at-most-once tasks. */
  record AddRunner(long epoch, RunnerId runner) implements LedgerRequest {}

  /** Removes a lost runner from the roster, once no open at-most-once job may have run on it. */
  record RemoveRunner(long epoch, RunnerId runner) implements LedgerRequest {}

  /** Records the intent to run a submission, before its first task starts. */
  record Open(long epoch, SubmissionKey key, String digest, int tasks) implements LedgerRequest {}

  /** Queries whether a submission is known, without opening it. */
  record Lookup(SubmissionKey key, String digest) implements LedgerRequest {}

  /** Records the outcome of a submission. */
  record Close(long epoch, SubmissionKey key, JobOutcome outcome) implements LedgerRequest {}
}
