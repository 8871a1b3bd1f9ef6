package org.burdockbay.core.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.burdockbay.core.shard.ShardId;
import org.jspecify.annotations.Nullable;

/**
 * View of one host on the dispatchers of all reachable domains and shards.
 *
 * <p>A domain is here a group of hosts that elect dispatchers among themselves. It is a failure
 * domain if the hosts are a fixed list, and may contain several failure domains otherwise.
 *
 * @param domain domain of this host
 * @param dispatchers dispatchers by domain
 * @param openDomains domains with a live host that isn't stopping; each has a dispatcher or is
 *     about to elect one
 * @param settled whether every domain has been contacted or the silence timeout has passed since
 *     the start; before that, a host may know too few domains to determine the home domain of a key
 * @param shards dispatchers by shard, without the vacant shards
 * @param liveShards shards that own upstreams: those with a dispatcher, and those that are about to
 *     have one
 */
public record RouteView(
    String domain,
    Map<String, ActiveDispatcher> dispatchers,
    Set<String> openDomains,
    boolean settled,
    Map<ShardId, ActiveDispatcher> shards,
    Set<ShardId> liveShards) {

  /** Copies the collections to make the view immutable. */
  public RouteView {
    dispatchers = Map.copyOf(dispatchers);
    openDomains = Set.copyOf(openDomains);
    shards = Map.copyOf(shards);
    liveShards = Set.copyOf(liveShards);
  }

  /** Creates the view of a fleet that isn't divided into shards. */
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

  /** Returns the domains whose dispatcher accepts new submissions. */
  public Set<String> acceptingDomains() {
    return dispatchers.entrySet().stream()
        .filter(entry -> !entry.getValue().draining())
        .map(Map.Entry::getKey)
        .collect(Collectors.toUnmodifiableSet());
  }

  /**
   * Returns the view in which the given failure domains accept no new submissions; this view if no
   * other domain is open.
   */
  public RouteView withoutDomains(Set<String> domains) {
    Set<String> open =
        openDomains.stream()
            .filter(name -> !domains.contains(name))
            .collect(Collectors.toUnmodifiableSet());
    if (open.isEmpty()) {
      return this;
    }
    Map<String, ActiveDispatcher> changed = new HashMap<>(dispatchers);
    domains.forEach(
        name ->
            changed.computeIfPresent(
                name, (key, found) -> new ActiveDispatcher(found.host(), found.epoch(), true)));
    return new RouteView(domain, changed, open, settled, shards, liveShards);
  }

  /** Returns the view of a host that hasn't contacted any other host. */
  public static RouteView empty(String domain) {
    return new RouteView(domain, Map.of(), Set.of(), false);
  }

  private static Map<ShardId, ActiveDispatcher> undividedShards(
      @Nullable ActiveDispatcher dispatcher) {
    return dispatcher == null ? Map.of() : Map.of(ShardId.WHOLE_FLEET, dispatcher);
  }

  /** Returns the dispatcher of a domain, if one is known. */
  public Optional<ActiveDispatcher> dispatcher(String domainName) {
    return Optional.ofNullable(dispatchers.get(domainName));
  }

  /**
   * Dispatcher with the epoch of its claim.
   *
   * @param draining whether it accepts no new submissions, because the host is stopping or the
   *     domain is evacuated
   */
  public record ActiveDispatcher(String host, long epoch, boolean draining) {}
}
