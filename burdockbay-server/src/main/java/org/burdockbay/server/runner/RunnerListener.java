package org.burdockbay.server.runner;

import java.util.List;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;

/** Receives the results of calls to runners, on the threads of the HTTP client. */
public interface RunnerListener {

  /** Called when a start call has ended. */
  void attemptEnded(AttemptId attempt, RunnerId runner, AttemptOutcome outcome);

  /** Called when a query about an attempt has ended, also if the runner didn't answer. */
  void attemptQueried(AttemptId attempt, RunnerId runner, AttemptStatus status);

  /** Called when a runner has accepted the epoch and reported its attempts. */
  void runnerFenced(RunnerId runner, long epoch, List<AttemptReport> attempts);

  /** Called when a runner has accepted a higher epoch than this dispatcher's. */
  void epochSuperseded(long epoch);
}
