package org.burdockbay.core.intake;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.routing.Demand;
import org.burdockbay.core.routing.OpenShards;
import org.burdockbay.core.routing.WorkRouter;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/**
 * Selects the shard that serves a piece of work.
 *
 * <p>Compares only a few candidates, which are chosen by a hash of the work's id. Reported loads
 * are up to one heartbeat old; if all entry hosts selected the least loaded shard, they would
 * overload it together.
 */
final class ShardSelector implements WorkRouter {

  /** The number of shards that are compared for one piece of work. */
  private static final int MAX_CANDIDATES = 2;

  private final String ownDomain;
  private final Map<String, DomainLoad> loads = new HashMap<>();
  private final OpenShards openShards = new OpenShards();

  /**
   * Creates a selector without shards.
   *
   * @param ownDomain the failure domain whose shards are preferred while they have free capacity
   */
  ShardSelector(String ownDomain) {
    this.ownDomain = ownDomain;
  }

  @Override
  public void updateDispatchers(Map<ShardId, String> hosts) {
    openShards.updateDispatchers(hosts);
    loads.keySet().retainAll(openShards.dispatcherHosts());
  }

  @Override
  public void updateEvacuations(Set<String> domains) {
    openShards.updateEvacuations(domains);
  }

  @Override
  public void updateUnreachableHosts(Set<String> hosts) {
    openShards.updateUnreachableHosts(hosts);
  }

  @Override
  public void updateLoad(String host, DomainLoad load, long now) {
    if (openShards.isDispatcher(host)) {
      loads.put(host, load);
    }
  }

  @Override
  public boolean isEvacuated(ShardId shard) {
    return openShards.isEvacuated(shard);
  }

  @Override
  public boolean isEmpty() {
    return openShards.isEmpty();
  }

  @Override
  public Optional<ShardId> select(WorkRequest request, long now) {
    return selectBest(request, openShards.preferenceOrder(request.id()));
  }

  @Override
  public Optional<ShardId> selectAlternative(WorkRequest request, Set<String> refusedBy, long now) {
    int cores = Demand.of(request).cores();
    List<ShardId> withCapacity =
        openShards.preferenceOrder(request.id()).stream()
            .filter(shard -> !refusedBy.contains(openShards.host(shard)))
            .filter(shard -> freeCores(shard) >= cores)
            .toList();
    return selectBest(request, withCapacity);
  }

  @Override
  public WorkOutcome withRetryInterval(WorkRequest request, WorkOutcome outcome, long now) {
    return outcome;
  }

  private Optional<ShardId> selectBest(WorkRequest request, List<ShardId> preferred) {
    ShardId best = null;
    for (ShardId shard : preferred.subList(0, Math.min(MAX_CANDIDATES, preferred.size()))) {
      if (best == null || isBetter(shard, best, Demand.of(request).cores())) {
        best = shard;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isBetter(ShardId shard, ShardId best, int cores) {
    boolean bothHaveCapacity = freeCores(shard) >= cores && freeCores(best) >= cores;
    if (bothHaveCapacity && isInOwnDomain(shard) != isInOwnDomain(best)) {
      return isInOwnDomain(shard);
    }
    return freeCores(shard) > freeCores(best);
  }

  private boolean isInOwnDomain(ShardId shard) {
    return shard.domain().equals(ownDomain);
  }

  /** Returns the last reported number of free cores of a shard; 0 if none was reported yet. */
  private int freeCores(ShardId shard) {
    DomainLoad load = loads.get(openShards.host(shard));
    return load == null ? 0 : load.freeSlots();
  }
}
