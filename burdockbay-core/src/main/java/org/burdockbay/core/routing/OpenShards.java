package org.burdockbay.core.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardMap;

/** The shards that can be selected: with a dispatcher, in domains that aren't evacuated. */
public final class OpenShards {

  private Map<ShardId, String> hosts = Map.of();
  private Set<String> evacuatedDomains = Set.of();
  private Set<String> unreachableHosts = Set.of();
  private ShardMap shards = ShardMap.of(Set.of());

  /** Replaces the hosts of the dispatchers. */
  public void updateDispatchers(Map<ShardId, String> changed) {
    hosts = Map.copyOf(changed);
    updateShards();
  }

  /** Excludes the shards of the given failure domains. */
  public void updateEvacuations(Set<String> domains) {
    evacuatedDomains = domains;
    updateShards();
  }

  /** Excludes the shards whose dispatchers are on the given hosts, unless there are no others. */
  public void updateUnreachableHosts(Set<String> changed) {
    unreachableHosts = Set.copyOf(changed);
    updateShards();
  }

  private void updateShards() {
    List<ShardId> open = hosts.keySet().stream().filter(shard -> !isEvacuated(shard)).toList();
    List<ShardId> reachable =
        open.stream().filter(shard -> !unreachableHosts.contains(host(shard))).toList();
    shards = ShardMap.of(reachable.isEmpty() ? open : reachable);
  }

  /** Returns whether the failure domain of a shard is evacuated. */
  public boolean isEvacuated(ShardId shard) {
    return evacuatedDomains.contains(shard.domain());
  }

  /** Returns whether no shard can be selected. */
  public boolean isEmpty() {
    return shards.shards().isEmpty();
  }

  /** Returns whether a host has a dispatcher. */
  public boolean isDispatcher(String host) {
    return hosts.containsValue(host);
  }

  /** Returns the ids of the hosts that have a dispatcher, also of shards that aren't open. */
  public Set<String> dispatcherHosts() {
    return Set.copyOf(hosts.values());
  }

  /** Returns the id of the host that dispatches a shard. */
  public String host(ShardId shard) {
    return hosts.get(shard);
  }

  /** Returns the open shards in an order that depends on the key only, by rendezvous hashing. */
  public List<ShardId> preferenceOrder(String key) {
    return shards.preferenceOrder(key);
  }
}
