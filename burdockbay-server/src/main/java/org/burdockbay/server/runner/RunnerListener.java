package org.burdockbay.server.runner;

import java.util.List;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;

/** Told how calls to runners end, on the traffic threads. */
public interface RunnerListener {

  /** A start call ended. */
  void attemptEnded(AttemptId attempt, RunnerId runner, AttemptOutcome outcome);

  /** A question about an attempt was answered. */
  void attemptQueried(AttemptId attempt, RunnerId runner, AttemptStatus status);

  /** A runner accepted the epoch and listed its attempts. */
  void runnerFenced(RunnerId runner, long epoch, List<AttemptReport> attempts);

  /** A runner obeys a higher epoch. */
  void epochSuperseded(long epoch);
}
