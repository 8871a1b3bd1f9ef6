package org.burdockbay.core.membership;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.burdockbay.core.shard.ShardId;
import org.jspecify.annotations.Nullable;

/**
 * Who dispatches in each failure domain that can be reached, and which shard.
 *
 * @param domain the failure domain of this host
 * @param dispatchers the dispatcher by domain
 * @param openDomains domains with a live host that isn't stopping; such a domain has a dispatcher,
 *     or will have one within moments
 * @param settled whether every domain was heard of, or would have been by now; a host that has just
 *     started knows too few domains to tell the home of a key
 * @param shards the dispatcher by shard, of the shards that have one
 * @param liveShards the shards that own upstreams: those with a dispatcher, and those that will
 *     have one within moments
 */
public record RouteView(
    String domain,
    Map<String, ActiveDispatcher> dispatchers,
    Set<String> openDomains,
    boolean settled,
    Map<ShardId, ActiveDispatcher> shards,
    Set<ShardId> liveShards) {

  /** Copies the collections. */
  public RouteView {
    dispatchers = Map.copyOf(dispatchers);
    openDomains = Set.copyOf(openDomains);
    shards = Map.copyOf(shards);
    liveShards = Set.copyOf(liveShards);
  }

  /** Creates the view of a fleet that isn't divided. */
  public RouteView(
      String domain,
      Map<String, ActiveDispatcher> dispatchers,
      Set<String> openDomains,
      boolean settled) {
    this(
        domain,
        dispatchers,
        openDomains,
        settled,
        undividedShards(dispatchers.get(domain)),
        Set.of(ShardId.WHOLE_FLEET));
  }

  /** Returns the domains whose dispatcher takes new submissions. */
  public Set<String> acceptingDomains() {
    return dispatchers.entrySet().stream()
        .filter(entry -> !entry.getValue().draining())
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /** Returns the view of a host that has heard of nobody. */
  public static RouteView empty(String domain) {
    return new RouteView(domain, Map.of(), Set.of(), false);
  }

  private static Map<ShardId, ActiveDispatcher> undividedShards(
      @Nullable ActiveDispatcher dispatcher) {
    return dispatcher == null ? Map.of() : Map.of(ShardId.WHOLE_FLEET, dispatcher);
  }

  /** Returns the dispatcher of a domain, if one is known. */
  public Optional<ActiveDispatcher> dispatcher(String name) {
    return Optional.ofNullable(dispatchers.get(name));
  }

  /**
   * A host with the epoch under which it dispatches.
   *
   * @param draining whether it only finishes what it has
   */
  public record ActiveDispatcher(String host, long epoch, boolean draining) {}
}
