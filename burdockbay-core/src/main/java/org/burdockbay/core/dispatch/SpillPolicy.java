package org.burdockbay.core.dispatch;

import java.util.Map;
import java.util.Optional;

/**
 * Decides whether a job is redirected to another failure domain because an answer is expected
 * sooner from there.
 *
 * <p>Keyed idempotent jobs stay, because the state of the dispatcher in their home domain
 * deduplicates them. At-most-once jobs are deduplicated by the ledger, and jobs without an id can't
 * be resubmitted, so both may run in any domain.
 */
final class SpillPolicy {

  private static final long MIN_WAIT_ADVANTAGE_MILLIS = 10;

  private final DispatchState state;
  private final AdmissionPolicy admission;

  SpillPolicy(DispatchState state, AdmissionPolicy admission) {
    this.state = state;
    this.admission = admission;
  }

  Optional<String> betterDomain(JobEntry job) {
    if (!job.isAtMostOnce() && job.request.keyed()) {
      return Optional.empty();
    }
    long localWaitMillis = admission.predictedWaitMillis(job.request, job.rule, 1);
    boolean servable = state.pool.isServable(job.rule);
    return state.otherDomainLoads.entrySet().stream()
        .filter(other -> other.getValue().freeSlots() > job.tasks.size())
        .filter(
            other ->
                !servable
                    || localWaitMillis > other.getValue().waitMillis() + MIN_WAIT_ADVANTAGE_MILLIS)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
