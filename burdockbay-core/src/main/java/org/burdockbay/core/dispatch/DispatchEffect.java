package org.burdockbay.core.dispatch;

import java.util.List;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** What the {@link Dispatcher} wants done. */
public sealed interface DispatchEffect {

  /** Starts an attempt; ends in {@link DispatchEvent.AttemptEnded}. */
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
   * Asks about an attempt over a new connection; ends in {@link DispatchEvent.AttemptQueried}.
   *
   * @param waitMillis how long the runner may hold the answer while the attempt is running
   */
  record QueryAttempt(
      RunnerId runner, String address, long epoch, AttemptId attempt, long waitMillis)
      implements DispatchEffect {}

  /** Stops attempts that no one waits for; needs no answer. */
  record CancelAttempts(RunnerId runner, String address, long epoch, List<AttemptId> attempts)
      implements DispatchEffect {}

  /** Makes a runner obey the epoch; ends in {@link DispatchEvent.RunnerFenced}. */
  record FenceRunner(RunnerId runner, String address, long epoch) implements DispatchEffect {}

  /**
   * Tells the outcome of a job to a host that waits for it.
   *
   * @param digest digest of the content that the outcome is for; empty where only the key was asked
   */
  record ReportJob(String host, SubmissionKey key, String digest, JobOutcome outcome)
      implements DispatchEffect {}

  /** Tells a waiting host that another failure domain has the submission. */
  record RedirectJob(String host, SubmissionKey key, String domain) implements DispatchEffect {}

  /** Gives an unfinished job back to a waiting host, which sends it to the next dispatcher. */
  record ReturnJob(String host, SubmissionKey key) implements DispatchEffect {}

  /** Proposes to the ledger; ends in {@link DispatchEvent.LedgerAnswered}. */
  record ProposeLedger(LedgerRequest request) implements DispatchEffect {}

  /** This dispatcher was refused as outdated; its host must stop claiming the role. */
  record StepDown(long higherEpoch) implements DispatchEffect {}

  /** A line for the log. */
  record LogEvent(String event, String fields) implements DispatchEffect {}
}
