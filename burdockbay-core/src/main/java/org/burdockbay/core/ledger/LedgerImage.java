package org.burdockbay.core.ledger;

import java.util.List;
import java.util.Optional;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * A copy of the complete state of a {@link Ledger}, as stored in snapshots.
 *
 * @param domains failure domains that have sent commands, sorted by name
 * @param records open submissions in the order of opening, then closed ones in that of closing
 */
public record LedgerImage(List<DomainRecord> domains, List<SubmissionRecord> records) {

  /** Copies the lists. */
  public LedgerImage {
    domains = List.copyOf(domains);
    records = List.copyOf(records);
  }

  /**
   * The record of a failure domain.
   *
   * @param domain name of the failure domain
   * @param epoch registered epoch of its dispatcher
   * @param roster runners that may hold attempts
   */
  public record DomainRecord(String domain, long epoch, List<RunnerId> roster) {

    /** Copies the list. */
    public DomainRecord {
      roster = List.copyOf(roster);
    }
  }

  /**
   * The record of a submission.
   *
   * @param key key of the submission
   * @param digest digest of its content
   * @param tasks number of its tasks
   * @param domain failure domain that opened it
   * @param closedAt time at which it was closed, in milliseconds; 0 while it is open
   * @param outcome its outcome; empty while it is open
   */
  public record SubmissionRecord(
      SubmissionKey key,
      String digest,
      int tasks,
      String domain,
      long closedAt,
      Optional<JobOutcome> outcome) {}
}
