package org.burdockbay.core.routing;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/**
 * Routes by one rule while the fleet is divided into shards of at least two failure domains, and by
 * another one otherwise.
 *
 * <p>Both know all reports, so that the rule may change with the division at any time. While there
 * are no dispatchers at all, the last rule stays in force.
 */
public final class LayoutAwareRouter implements WorkRouter {

  private static final int MIN_DOMAINS = 2;

  private final WorkRouter usual;
  private final WorkRouter divided;
  private WorkRouter current;

  /**
   * Returns the router for the given options.
   *
   * @param ownDomain the failure domain of this host
   * @param usual the router where no option calls for another one
   * @param decisionLog see {@link ShardRouter}
   */
  public static WorkRouter create(
      SchedulingOptions options, String ownDomain, WorkRouter usual, Consumer<String> decisionLog) {
    return options.predictiveRouting()
        ? new LayoutAwareRouter(usual, new ShardRouter(ownDomain, decisionLog))
        : usual;
  }

  /**
   * Creates a router for a fleet that isn't known yet.
   *
   * @param usual the rule for undivided fleets and for a single failure domain
   * @param divided the rule for divided fleets of several failure domains
   */
  LayoutAwareRouter(WorkRouter usual, WorkRouter divided) {
    this.usual = usual;
    this.divided = divided;
    this.current = usual;
  }

  @Override
  public void updateDispatchers(Map<ShardId, String> hosts) {
    usual.updateDispatchers(hosts);
    divided.updateDispatchers(hosts);
    if (!hosts.isEmpty()) {
      current = isDivided(hosts.keySet()) ? divided : usual;
    }
  }

  private static boolean isDivided(Set<ShardId> shards) {
    return !shards.contains(ShardId.WHOLE_FLEET)
        && shards.stream().map(ShardId::domain).distinct().count() >= MIN_DOMAINS;
  }

  @Override
  public void updateEvacuations(Set<String> domains) {
    usual.updateEvacuations(domains);
    divided.updateEvacuations(domains);
  }

  @Override
  public void updateUnreachableHosts(Set<String> hosts) {
    usual.updateUnreachableHosts(hosts);
    divided.updateUnreachableHosts(hosts);
  }

  @Override
  public void updateLoad(String host, DomainLoad load, long now) {
    usual.updateLoad(host, load, now);
    divided.updateLoad(host, load, now);
  }

  @Override
  public boolean isEvacuated(ShardId shard) {
    return current.isEvacuated(shard);
  }

  @Override
  public boolean isEmpty() {
    return current.isEmpty();
  }

  @Override
  public Optional<ShardId> select(WorkRequest request, long now) {
    return current.select(request, now);
  }

  @Override
  public Optional<ShardId> selectAlternative(WorkRequest request, Set<String> refusedBy, long now) {
    return current.selectAlternative(request, refusedBy, now);
  }

  @Override
  public WorkOutcome withRetryInterval(WorkRequest request, WorkOutcome outcome, long now) {
    return current.withRetryInterval(request, outcome, now);
  }
}
