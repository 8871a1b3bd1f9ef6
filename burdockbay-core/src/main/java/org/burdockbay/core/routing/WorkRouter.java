package org.burdockbay.core.routing;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/**
 * Selects the shard that serves a piece of work.
 *
 * <p>Times are in milliseconds of one clock. Not thread-safe.
 */
public interface WorkRouter {

  /**
   * Replaces the dispatchers, and discards the loads of hosts that aren't among them.
   *
   * @param hosts the id of the dispatcher's host for each shard that has one
   */
  void updateDispatchers(Map<ShardId, String> hosts);

  /** Excludes the shards of the given failure domains from selection. */
  void updateEvacuations(Set<String> domains);

  /**
   * Excludes the shards whose dispatchers are on the given hosts from selection, unless there are
   * no others: a host that is late in handling messages reports an old contact as well.
   */
  void updateUnreachableHosts(Set<String> hosts);

  /** Records the load of a host's shard; ignored if the host isn't a dispatcher. */
  void updateLoad(String host, DomainLoad load, long now);

  /** Returns whether the failure domain of a shard is evacuated. */
  boolean isEvacuated(ShardId shard);

  /** Returns whether no shard can be selected. */
  boolean isEmpty();

  /** Returns the shard for new work; empty if no shard with a dispatcher can start tasks. */
  Optional<ShardId> select(WorkRequest request, long now);

  /**
   * Returns a shard for work that other shards have refused; empty if no other shard has reported
   * enough free capacity.
   *
   * @param refusedBy the ids of the hosts that have refused the work
   */
  Optional<ShardId> selectAlternative(WorkRequest request, Set<String> refusedBy, long now);

  /** Returns an outcome of work, with the time to wait before a retry if the work was refused. */
  WorkOutcome withRetryInterval(WorkRequest request, WorkOutcome outcome, long now);
}
