package org.burdockbay.core.intake;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardMap;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;

/**
 * Selects the shard that serves a piece of work.
 *
 * <p>Compares only a few candidates, which are chosen by a hash of the work's id. Reported loads
 * are up to one heartbeat old; if all entry hosts selected the least loaded shard, they would
 * overload it together.
 */
final class ShardSelector {

  /** The number of shards that are compared for one piece of work. */
  private static final int MAX_CANDIDATES = 2;

  private static final int MILLICORES_PER_CORE = 1_000;

  private final String ownDomain;
  private final Map<String, DomainLoad> loads = new HashMap<>();
  private Map<ShardId, IntakeEvent.Dispatcher> dispatchers = Map.of();
  private Set<String> evacuatedDomains = Set.of();
  private Set<String> unreachableHosts = Set.of();

  /** The shards that can be selected: with a dispatcher, in domains that aren't evacuated. */
  private ShardMap shards = ShardMap.of(Set.of());

  /**
   * Creates a selector without shards.
   *
   * @param ownDomain the failure domain whose shards are preferred while they have free capacity
   */
  ShardSelector(String ownDomain) {
    this.ownDomain = ownDomain;
  }

  /** Replaces the dispatchers, and discards the loads of hosts that aren't among them. */
  void updateDispatchers(Map<ShardId, IntakeEvent.Dispatcher> changed) {
    dispatchers = changed;
    updateShards();
    loads.keySet().retainAll(changed.values().stream().map(IntakeEvent.Dispatcher::host).toList());
  }

  /** Excludes the shards of the given failure domains from selection. */
  void updateEvacuations(Set<String> domains) {
    evacuatedDomains = domains;
    updateShards();
  }

  /**
   * Excludes the shards whose dispatchers are on the given hosts from selection, unless there are
   * no others: a host that is late in handling messages reports an old contact as well.
   */
  void updateUnreachableHosts(Set<String> hosts) {
    unreachableHosts = Set.copyOf(hosts);
    updateShards();
  }

  private void updateShards() {
    List<ShardId> open =
        dispatchers.keySet().stream().filter(shard -> !isEvacuated(shard)).toList();
    List<ShardId> reachable = open.stream().filter(this::isReachable).toList();
    shards = ShardMap.of(reachable.isEmpty() ? open : reachable);
  }

  private boolean isReachable(ShardId shard) {
    return !unreachableHosts.contains(dispatchers.get(shard).host());
  }

  /** Returns whether the failure domain of a shard is evacuated. */
  boolean isEvacuated(ShardId shard) {
    return evacuatedDomains.contains(shard.domain());
  }

  /** Returns whether no shard can be selected. */
  boolean isEmpty() {
    return shards.shards().isEmpty();
  }

  /** Records the load of a host's shard; ignored if the host isn't a dispatcher. */
  void updateLoad(String host, DomainLoad load) {
    if (dispatchers.values().stream().anyMatch(dispatcher -> dispatcher.host().equals(host))) {
      loads.put(host, load);
    }
  }

  /** Returns the shard for new work; empty if no shard with a dispatcher can start tasks. */
  Optional<ShardId> select(WorkRequest request) {
    return selectBest(request, shards.preferenceOrder(request.id()));
  }

  /**
   * Returns a shard for work that other shards have refused; empty if no other shard has reported
   * enough free capacity.
   *
   * @param refusedBy the ids of the hosts that have refused the work
   */
  Optional<ShardId> selectAlternative(WorkRequest request, Set<String> refusedBy) {
    List<ShardId> withCapacity =
        shards.preferenceOrder(request.id()).stream()
            .filter(shard -> !refusedBy.contains(dispatchers.get(shard).host()))
            .filter(shard -> freeCores(shard) >= requiredCores(request))
            .toList();
    return selectBest(request, withCapacity);
  }

  private Optional<ShardId> selectBest(WorkRequest request, List<ShardId> preferred) {
    ShardId best = null;
    for (ShardId shard : preferred.subList(0, Math.min(MAX_CANDIDATES, preferred.size()))) {
      if (best == null || isBetter(shard, best, requiredCores(request))) {
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
    DomainLoad load = loads.get(dispatchers.get(shard).host());
    return load == null ? 0 : load.freeSlots();
  }

  /** Returns the cores that the tasks of all steps without predecessors require; at least 1. */
  private static int requiredCores(WorkRequest request) {
    long millicores = 0;
    for (WorkStep step : request.steps()) {
      if (step.predecessors().isEmpty()) {
        millicores += (long) step.taskCount() * step.size().cpuMillicores();
      }
    }
    return Math.clamp(Math.ceilDiv(millicores, MILLICORES_PER_CORE), 1, Integer.MAX_VALUE);
  }
}
