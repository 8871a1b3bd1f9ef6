package org.burdockbay.core.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Set;
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

/** An event that the {@link Dispatcher} handles. */
public sealed interface DispatchEvent {

  /** A newer configuration took effect. */
  record ConfigurationChanged(DispatchConfiguration configuration) implements DispatchEvent {}

  /** This host became the dispatcher of its failure domain under the given epoch. */
  record EpochGranted(long epoch) implements DispatchEvent {}

  /** Another host is the dispatcher, or this host is stopping. */
  record EpochLost() implements DispatchEvent {}

  /**
   * An entry host forwarded a job and waits for its outcome.
   *
   * @param origin the waiting host
   * @param arrival whether the job may have reached a dispatcher before
   */
  record JobSubmitted(JobRequest request, String origin, Arrival arrival)
      implements DispatchEvent {}

  /** An entry host asked for the outcome of a submission without sending its content. */
  record JobFollowed(SubmissionKey key, String origin) implements DispatchEvent {}

  /** A caller cancelled a submission. */
  record JobCancelled(SubmissionKey key, String origin) implements DispatchEvent {}

  /** A runner announced itself or renewed its lease. */
  record RunnerAnnounced(RunnerAnnouncement announcement) implements DispatchEvent {}

  /** A runner accepted the epoch and listed its attempts. */
  record RunnerFenced(RunnerId runner, long epoch, List<AttemptReport> attempts)
      implements DispatchEvent {}

  /** A call that starts an attempt ended. */
  record AttemptEnded(AttemptId attempt, RunnerId runner, AttemptOutcome outcome)
      implements DispatchEvent {}

  /** A status query about an attempt ended. */
  record AttemptQueried(AttemptId attempt, RunnerId runner, AttemptStatus status)
      implements DispatchEvent {}

  /** The ledger answered a proposal of this dispatcher. */
  record LedgerAnswered(LedgerRequest request, LedgerReply reply) implements DispatchEvent {}

  /**
   * The dispatchers of other failure domains reported their loads.
   *
   * @param loads the last reported load of each domain
   */
  record DomainLoadsReported(Map<String, DomainLoad> loads) implements DispatchEvent {}

  /**
   * The set of evacuated failure domains changed.
   *
   * @param domains the domains on whose runners no task may start
   */
  record EvacuationsChanged(Set<String> domains) implements DispatchEvent {

    /** Copies the set. */
    public EvacuationsChanged {
      domains = Set.copyOf(domains);
    }
  }

  /** Time passed. */
  record Tick() implements DispatchEvent {}
}
