package org.burdockbay.core.dispatch;

import org.burdockbay.core.runner.RunnerId;
import org.jspecify.annotations.Nullable;

/**
 * Where a kind of job succeeded lately.
 *
 * <p>A kind of job that succeeds nowhere says nothing about a runner on which it fails; blaming
 * runners for it would empty the pool. Two runners are kept, so that one is always another one.
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
    boolean byLast =
        latestRunner != null
            && !runner.equals(latestRunner)
            && now - latestSuccessAt <= SUCCESS_RETENTION_MILLIS;
    boolean byOther =
        previousRunner != null
            && !runner.equals(previousRunner)
            && now - previousSuccessAt <= SUCCESS_RETENTION_MILLIS;
    return byLast || byOther;
  }
}
