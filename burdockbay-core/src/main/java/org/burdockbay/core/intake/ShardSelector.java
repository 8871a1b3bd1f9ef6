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
 * Chooses the shard that is to serve a piece of work.
 *
 * <p>The better one of a few that a hash of the work names: what hosts tell of their room is old by
 * a heartbeat, and if all entry hosts took the emptiest shard they would fill it at once.
 */
final class ShardSelector {

  /** So many shards are compared for one piece of work. */
  private static final int MAX_CANDIDATES = 2;

  private static final int MILLICORES_PER_CORE = 1_000;

  private final String ownDomain;
  private final Map<String, DomainLoad> loads = new HashMap<>();
  private Map<ShardId, IntakeEvent.Dispatcher> dispatchers = Map.of();
  private ShardMap shards = ShardMap.of(Set.of());

  /**
   * Creates a choice among no shards.
   *
   * @param ownDomain the failure domain whose shards go first while they have room
   */
  ShardSelector(String ownDomain) {
    this.ownDomain = ownDomain;
  }

  /** Takes note of who dispatches; what others told of their room is forgotten. */
  void updateDispatchers(Map<ShardId, IntakeEvent.Dispatcher> changed) {
    dispatchers = changed;
    shards = ShardMap.of(changed.keySet());
    loads.keySet().retainAll(changed.values().stream().map(IntakeEvent.Dispatcher::host).toList());
  }

  /** Takes note of how much room a host's shard has. */
  void updateLoad(String host, DomainLoad load) {
    if (dispatchers.values().stream().anyMatch(dispatcher -> dispatcher.host().equals(host))) {
      loads.put(host, load);
    }
  }

  /** Returns the shard for new work; empty while there is no dispatcher. */
  Optional<ShardId> select(WorkRequest request) {
    return selectBest(request, shards.preferenceOrder(request.id()));
  }

  /**
   * Returns a shard for work that others have refused; empty unless one has told of room.
   *
   * @param refusedBy the hosts that were asked already
   */
  Optional<ShardId> selectAlternative(WorkRequest request, Set<String> refusedBy) {
    List<ShardId> roomy =
        shards.preferenceOrder(request.id()).stream()
            .filter(shard -> !refusedBy.contains(dispatchers.get(shard).host()))
            .filter(shard -> freeCores(shard) >= requiredCores(request))
            .toList();
    return selectBest(request, roomy);
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
    boolean bothHaveRoom = freeCores(shard) >= cores && freeCores(best) >= cores;
    if (bothHaveRoom && isInOwnDomain(shard) != isInOwnDomain(best)) {
      return isInOwnDomain(shard);
    }
    return freeCores(shard) > freeCores(best);
  }

  private boolean isInOwnDomain(ShardId shard) {
    return shard.domain().equals(ownDomain);
  }

  /** Returns the free cores of a shard as last told; 0 if its dispatcher has told nothing yet. */
  private int freeCores(ShardId shard) {
    DomainLoad load = loads.get(dispatchers.get(shard).host());
    return load == null ? 0 : load.freeSlots();
  }

  /** Returns the cores that the tasks take which can start at once; at least 1. */
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
