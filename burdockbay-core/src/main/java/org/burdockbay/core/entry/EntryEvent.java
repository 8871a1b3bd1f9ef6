package org.burdockbay.core.entry;

import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;

/** What the {@link EntryGateway} is told; a ticket stands for one waiting request of a caller. */
public sealed interface EntryEvent {

  /**
   * A caller submits a job.
   *
   * @param atMostOnce whether the ledger guards the job, so that any domain may take it
   */
  record Submitted(long ticket, JobRequest request, boolean atMostOnce) implements EntryEvent {}

  /** A caller asks for the outcome of a submission. */
  record Followed(long ticket, SubmissionKey key, long waitMillis) implements EntryEvent {}

  /** A caller cancels a submission. */
  record Cancelled(long ticket, SubmissionKey key, long waitMillis) implements EntryEvent {}

  /** A caller no longer waits. */
  record Abandoned(long ticket) implements EntryEvent {}

  /**
   * A dispatcher reports the outcome of a job.
   *
   * @param digest digest of the content that the outcome is for; empty where only the key was asked
   */
  record Reported(SubmissionKey key, String digest, JobOutcome outcome) implements EntryEvent {}

  /** A dispatcher names the failure domain that has the submission. */
  record Redirected(SubmissionKey key, String domain) implements EntryEvent {}

  /** A host gave the job back because it no longer dispatches. */
  record Returned(SubmissionKey key, String host) implements EntryEvent {}

  /** The connection to a host was lost, so messages to and from it may be lost. */
  record PeerReset(String host) implements EntryEvent {}

  /** Who dispatches where has changed. */
  record RoutesChanged(RouteView routes) implements EntryEvent {}

  /** Time passed. */
  record Tick() implements EntryEvent {}
}
