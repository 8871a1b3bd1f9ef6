package org.burdockbay.core.dispatch;

import java.util.Map;
import java.util.Optional;

/**
 * Decides whether a job goes to another failure domain because its answer comes sooner from there.
 *
 * <p>Keyed idempotent jobs stay: the memory of their home domain's dispatcher is what deduplicates
 * them. For guarded jobs the ledger does, and jobs without an id can't come again.
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
    long waitHere = admission.predictedWaitMillis(job.request, job.rule, 1);
    boolean servable = state.pool.isServable(job.rule);
    return state.otherDomainLoads.entrySet().stream()
        .filter(other -> other.getValue().freeSlots() > job.tasks.size())
        .filter(
            other ->
                !servable || waitHere > other.getValue().waitMillis() + MIN_WAIT_ADVANTAGE_MILLIS)
        .map(Map.Entry::getKey)
        .findFirst();
  }
}
