package org.burdockbay.core.dispatch;

import java.util.List;
import java.util.Map;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;

/** What the {@link Dispatcher} is told. */
public sealed interface DispatchEvent {

  /** A newer configuration is in force. */
  record ConfigurationChanged(DispatchConfiguration configuration) implements DispatchEvent {}

  /** This host became the dispatcher of its failure domain under the given epoch. */
  record EpochGranted(long epoch) implements DispatchEvent {}

  /** Another host is the dispatcher, or this host is stopping. */
  record EpochLost() implements DispatchEvent {}

  /**
   * An entry host forwards a job, and waits for its outcome.
   *
   * @param origin the host that waits
   * @param arrival whether the job may have reached a dispatcher before
   */
  record JobSubmitted(JobRequest request, String origin, Arrival arrival)
      implements DispatchEvent {}

  /** An entry host asks for the outcome of a submission without its content. */
  record JobFollowed(SubmissionKey key, String origin) implements DispatchEvent {}

  /** A caller cancels a submission. */
  record JobCancelled(SubmissionKey key, String origin) implements DispatchEvent {}

  /** A runner announced itself or renewed its lease. */
  record RunnerAnnounced(RunnerAnnouncement announcement) implements DispatchEvent {}

  /** A runner accepted the epoch and listed its attempts. */
  record RunnerFenced(RunnerId runner, long epoch, List<AttemptReport> attempts)
      implements DispatchEvent {}

  /** A start call ended. */
  record AttemptEnded(AttemptId attempt, RunnerId runner, AttemptOutcome outcome)
      implements DispatchEvent {}

  /** A runner was asked about an attempt. */
  record AttemptQueried(AttemptId attempt, RunnerId runner, AttemptStatus status)
      implements DispatchEvent {}

  /** The ledger answered a proposal of this dispatcher. */
  record LedgerAnswered(LedgerRequest request, LedgerReply reply) implements DispatchEvent {}

  /** What the dispatchers of other failure domains last told of their load, by domain. */
  record DomainLoadsReported(Map<String, DomainLoad> loads) implements DispatchEvent {}

  /** Time passed. */
  record Tick() implements DispatchEvent {}
}
