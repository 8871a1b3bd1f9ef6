package org.burdockbay.core.dispatch;

import java.util.List;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** An action that the {@link Dispatcher} requests. */
public sealed interface DispatchEffect {

  /**
   * Starts an attempt; answered by {@link DispatchEvent.AttemptEnded}.
   *
   * @param timeoutMillis time left until the deadline of the job, in milliseconds
   */
  record StartAttempt(
      RunnerId runner,
      String address,
      long epoch,
      AttemptId attempt,
      String job,
      String payload,
      long timeoutMillis)
      implements DispatchEffect {}

  /**
   * Queries the status of an attempt over a new connection; answered by {@link
   * DispatchEvent.AttemptQueried}.
   *
   * @param waitMillis how long the runner may delay the answer while the attempt is running, in
   *     milliseconds
   */
  record QueryAttempt(
      RunnerId runner, String address, long epoch, AttemptId attempt, long waitMillis)
      implements DispatchEffect {}

  /** Cancels attempts whose results are no longer needed; no answer is expected. */
  record CancelAttempts(RunnerId runner, String address, long epoch, List<AttemptId> attempts)
      implements DispatchEffect {}

  /**
   * Makes a runner accept the epoch and reject lower ones; answered by {@link
   * DispatchEvent.RunnerFenced}.
   */
  record FenceRunner(RunnerId runner, String address, long epoch) implements DispatchEffect {}

  /**
   * Reports the outcome of a job to a host that waits for it.
   *
   * @param digest digest of the content that the outcome belongs to; empty if only the key was
   *     queried
   */
  record ReportJob(String host, SubmissionKey key, String digest, JobOutcome outcome)
      implements DispatchEffect {}

  /**
   * Redirects a waiting host to another failure domain.
   *
   * @param domain the domain that holds the submission or is to run it
   */
  record RedirectJob(String host, SubmissionKey key, String domain) implements DispatchEffect {}

  /** Returns an unfinished job to a waiting host, which sends it to the next dispatcher. */
  record ReturnJob(String host, SubmissionKey key) implements DispatchEffect {}

  /** Proposes a request to the ledger; answered by {@link DispatchEvent.LedgerAnswered}. */
  record ProposeLedger(LedgerRequest request) implements DispatchEffect {}

  /**
   * Makes the host give up the dispatcher role, because the epoch was rejected as outdated.
   *
   * @param higherEpoch the epoch that has superseded it
   */
  record StepDown(long higherEpoch) implements DispatchEffect {}

  /**
   * Writes a line to the log.
   *
   * @param event name of the event
   * @param fields its {@code key=value} pairs
   */
  record LogEvent(String event, String fields) implements DispatchEffect {}
}
