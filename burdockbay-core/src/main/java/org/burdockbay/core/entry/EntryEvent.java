package org.burdockbay.core.entry;

import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * An event that the {@link EntryGateway} handles; a ticket identifies one waiting request of a
 * caller.
 */
public sealed interface EntryEvent {

  /**
   * A caller submitted a job.
   *
   * @param atMostOnce whether the job must run at most once; the ledger then deduplicates it, so
   *     that any domain may run it
   */
  record Submitted(long ticket, JobRequest request, boolean atMostOnce) implements EntryEvent {}

  /** A caller asked for the outcome of a submission. */
  record Followed(long ticket, SubmissionKey key, long waitMillis) implements EntryEvent {}

  /** A caller cancelled a submission. */
  record Cancelled(long ticket, SubmissionKey key, long waitMillis) implements EntryEvent {}

  /** A caller stopped waiting. */
  record Abandoned(long ticket) implements EntryEvent {}

  /**
   * A dispatcher reported the outcome of a job.
   *
   * @param digest digest of the content that the outcome belongs to; empty if only the key was
   *     queried
   */
  record Reported(SubmissionKey key, String digest, JobOutcome outcome) implements EntryEvent {}

  /** A dispatcher redirected the submission to another failure domain. */
  record Redirected(SubmissionKey key, String domain) implements EntryEvent {}

  /** A host returned the job because it no longer dispatches. */
  record Returned(SubmissionKey key, String host) implements EntryEvent {}

  /** The connection to a host was lost, possibly with messages in both directions. */
  record PeerReset(String host) implements EntryEvent {}

  /** The dispatchers of the failure domains changed. */
  record RoutesChanged(RouteView routes) implements EntryEvent {}

  /** Time passed. */
  record Tick() implements EntryEvent {}
}
