package org.burdockbay.core.entry;

import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;

/** An action that the {@link EntryGateway} requests. */
public sealed interface EntryEffect {

  /** Sends a job to a dispatcher. */
  record SendJob(String host, JobRequest request, Arrival arrival) implements EntryEffect {}

  /** Asks a dispatcher for the outcome of a submission. */
  record SendFollow(String host, SubmissionKey key) implements EntryEffect {}

  /** Asks a dispatcher to cancel a submission. */
  record SendCancel(String host, SubmissionKey key) implements EntryEffect {}

  /** Answers a waiting request; each ticket is answered once. */
  record Answer(long ticket, SubmissionKey key, JobOutcome outcome) implements EntryEffect {}
}
