package org.burdockbay.core.dispatch;

import org.burdockbay.core.runner.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the runners on which a kind of job succeeded recently.
 *
 * <p>If a kind of job succeeds on no runner, its failure doesn't indicate a faulty runner, and
 * ejecting runners for it would empty the pool. Two runners are tracked, so that for each runner
 * there is another one to compare with.
 */
final class RecentSuccesses {

  private static final long SUCCESS_RETENTION_MILLIS = 60_000;

  private @Nullable RunnerId latestRunner;
  private long latestSuccessAt;
  private @Nullable RunnerId previousRunner;
  private long previousSuccessAt;

  void recordSuccess(RunnerId runner, long now) {
    if (!runner.equals(latestRunner)) {
      previousRunner = latestRunner;
      previousSuccessAt = latestSuccessAt;
      latestRunner = runner;
    }
    latestSuccessAt = now;
  }

  boolean hasSucceededElsewhere(RunnerId runner, long now) {
    boolean latestMatches =
        latestRunner != null
            && !runner.equals(latestRunner)
            && now - latestSuccessAt <= SUCCESS_RETENTION_MILLIS;
    boolean previousMatches =
        previousRunner != null
            && !runner.equals(previousRunner)
            && now - previousSuccessAt <= SUCCESS_RETENTION_MILLIS;
    return latestMatches || previousMatches;
  }
}
