package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.submission.JobOutcome;

/**
 * Closes submissions that earlier epochs left open in the ledger and that were not submitted again.
 *
 * <p>The ledger holds no payloads, so a task that never started can't be started without its
 * caller.
 */
final class AbandonedSubmissions {

  private static final long RESUBMISSION_GRACE_MILLIS = 10_000;
  private static final long CLOSE_RETRY_INTERVAL_MILLIS = 1_000;

  private final DispatchState state;
  private final DispatchRecovery recovery;
  private final JobTable jobs;
  private long nextCheckAt;

  AbandonedSubmissions(DispatchState state, DispatchRecovery recovery, JobTable table) {
    this.state = state;
    this.recovery = recovery;
    this.jobs = table;
  }

  void epochGranted() {
    nextCheckAt = state.now + RESUBMISSION_GRACE_MILLIS;
  }

  void tick() {
    if (!recovery.isComplete() || state.now < nextCheckAt) {
      return;
    }
    nextCheckAt = state.now + CLOSE_RETRY_INTERVAL_MILLIS;
    for (LedgerReply.OpenSubmission submission : List.copyOf(recovery.openSubmissions().values())) {
      if (jobs.find(submission.key()) == null) {
        JobOutcome outcome = deriveOutcome(submission);
        state.logEvent("job-abandoned", "job=" + submission.key() + " outcome=" + outcome.code());
        state.propose(new LedgerRequest.Close(state.epoch, submission.key(), outcome));
      }
    }
  }

  private JobOutcome deriveOutcome(LedgerReply.OpenSubmission submission) {
    List<String> answers = new ArrayList<>();
    boolean anyFound = false;
    for (int task = 0; task < submission.tasks(); task++) {
      Optional<DispatchRecovery.RecoveredAttempt> found =
          recovery.find(submission.key(), submission.digest(), task);
      anyFound |= found.isPresent();
      if (found.isPresent()
          && found.get().status() instanceof AttemptStatus.Finished finished
          && finished.outcome() instanceof AttemptOutcome.Succeeded succeeded) {
        answers.add(succeeded.answer());
      }
    }
    if (answers.size() == submission.tasks()) {
      return new JobOutcome.Completed(answers);
    }
    if (!anyFound && recovery.isLossless()) {
      return failed(ErrorKind.NOT_RUN, "its dispatcher was lost before it began");
    }
    return failed(ErrorKind.OUTCOME_UNKNOWN, "its dispatcher was lost while it ran");
  }

  private static JobOutcome failed(ErrorKind kind, String detail) {
    return new JobOutcome.Failed(kind, detail, 0);
  }
}
