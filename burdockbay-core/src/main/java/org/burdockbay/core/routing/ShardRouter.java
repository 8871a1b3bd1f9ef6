package org.burdockbay.core.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.jspecify.annotations.Nullable;

/**
 * Selects the shard on which work is predicted to complete first.
 *
 * <p>The cost of a shard is the predicted time until it has started all first tasks of the work, by
 * its last report and by what this host has sent since. Shards of other failure domains cost more,
 * so that work crosses domains only where that pays.
 */
public final class ShardRouter implements WorkRouter {

  /**
   * Number of shards of other failure domains that are compared for one piece of work. All entry
   * hosts have the same reports; comparing all shards, they would overload the best one together.
   */
  private static final int MAX_FOREIGN_CANDIDATES = 2;

  /**
   * Number of shards with enough free cores that are compared for refused work. Under load few
   * shards have free cores, and comparing all of them sends the work of all hosts to the same one.
   */
  private static final int MAX_ALTERNATIVES = 2;

  /**
   * Cost of a shard in another failure domain, in milliseconds. It exceeds the round trip between
   * domains, so that small differences don't make work cross them.
   */
  private static final double HOP_COST_MILLIS = 10;

  /** Difference up to which costs count as equal, in milliseconds. */
  private static final double TIE_MILLIS = 1;

  private final String ownDomain;
  private final Consumer<String> decisionLog;
  private final OpenShards openShards = new OpenShards();
  private final Map<String, ShardReport> reports = new HashMap<>();

  /**
   * Creates a router without shards.
   *
   * @param ownDomain the failure domain of this host
   * @param decisionLog receives the inputs and the outcome of each decision that sends work to
   *     another failure domain or where it has to wait, as {@code key=value} pairs
   */
  public ShardRouter(String ownDomain, Consumer<String> decisionLog) {
    this.ownDomain = ownDomain;
    this.decisionLog = decisionLog;
  }

  @Override
  public void updateDispatchers(Map<ShardId, String> hosts) {
    openShards.updateDispatchers(hosts);
    reports.keySet().retainAll(openShards.dispatcherHosts());
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
      reports.put(host, new ShardReport(load, now));
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
    List<ShardId> candidates = new ArrayList<>();
    int foreign = 0;
    for (ShardId shard : openShards.preferenceOrder(request.id())) {
      if (isInOwnDomain(shard) || foreign < MAX_FOREIGN_CANDIDATES) {
        candidates.add(shard);
        foreign += isInOwnDomain(shard) ? 0 : 1;
      }
    }
    return selectCheapest(request, candidates, now);
  }

  @Override
  public Optional<ShardId> selectAlternative(WorkRequest request, Set<String> refusedBy, long now) {
    int cores = Demand.of(request).cores();
    List<ShardId> withCapacity =
        openShards.preferenceOrder(request.id()).stream()
            .filter(shard -> !refusedBy.contains(openShards.host(shard)))
            .filter(shard -> report(shard, now).filter(it -> it.freeCores() >= cores).isPresent())
            .limit(MAX_ALTERNATIVES)
            .toList();
    return selectCheapest(request, withCapacity, now);
  }

  @Override
  public WorkOutcome withRetryInterval(WorkRequest request, WorkOutcome outcome, long now) {
    return outcome instanceof WorkOutcome.NotRun notRun
        ? new WorkOutcome.NotRun(notRun.reason(), retryAfterMillis(request, notRun, now))
        : outcome;
  }

  /** Returns the interval by the shortest predicted wait; by the usual one if none is known. */
  private long retryAfterMillis(WorkRequest request, WorkOutcome.NotRun notRun, long now) {
    OptionalDouble shortestWait =
        openShards.preferenceOrder(request.id()).stream()
            .flatMap(shard -> report(shard, now).stream())
            .mapToDouble(report -> report.remainingWaitMillis(now) + report.sentMillis())
            .min();
    return RetryInterval.millis(
        request.id(), shortestWait.orElse((double) notRun.retryAfterMillis()));
  }

  /**
   * Returns the candidate of the lowest cost; the first of those with about the same cost.
   *
   * @param candidates shards in the order of a hash of the work's id, so that hosts with the same
   *     reports don't all select the same one
   */
  private Optional<ShardId> selectCheapest(
      WorkRequest request, List<ShardId> candidates, long now) {
    Demand demand = Demand.of(request);
    List<Candidate> rated = rate(candidates, demand, now);
    double lowest = rated.stream().mapToDouble(Candidate::cost).min().orElse(0);
    Optional<Candidate> selected =
        rated.stream().filter(candidate -> candidate.cost <= lowest + TIE_MILLIS).findFirst();
    selected.ifPresent(
        candidate -> {
          logDecision(request, demand, candidate, rated, now);
          if (candidate.report != null) {
            candidate.report.recordSent(demand);
          }
        });
    return selected.map(Candidate::shard);
  }

  /** Returns the candidates with their costs; one without a valid report costs the others' mean. */
  private List<Candidate> rate(List<ShardId> candidates, Demand demand, long now) {
    double meanMillis =
        candidates.stream()
            .flatMap(shard -> report(shard, now).stream())
            .mapToDouble(report -> report.waitMillis(demand, now))
            .average()
            .orElse(0);
    return candidates.stream()
        .map(
            shard -> {
              Optional<ShardReport> report = report(shard, now);
              double waitMillis = report.map(it -> it.waitMillis(demand, now)).orElse(meanMillis);
              double hopMillis = isInOwnDomain(shard) ? 0 : HOP_COST_MILLIS;
              return new Candidate(shard, report.orElse(null), waitMillis + hopMillis);
            })
        .toList();
  }

  private boolean isInOwnDomain(ShardId shard) {
    return shard.domain().equals(ownDomain);
  }

  private Optional<ShardReport> report(ShardId shard, long now) {
    return Optional.ofNullable(reports.get(openShards.host(shard)))
        .filter(report -> report.isValid(now));
  }

  private void logDecision(
      WorkRequest request, Demand demand, Candidate selected, List<Candidate> rated, long now) {
    if (!isInOwnDomain(selected.shard) || rated.stream().allMatch(it -> it.hasWait(now))) {
      decisionLog.accept(
          "work="
              + request.id()
              + " to="
              + selected.shard
              + " cost="
              + Math.round(selected.cost)
              + " cores="
              + demand.cores()
              + " estimate="
              + demand.estimateMillis()
              + " candidates="
              + rated.stream().map(it -> it.describe(now)).collect(Collectors.joining(",")));
    }
  }

  private record Candidate(ShardId shard, @Nullable ShardReport report, double cost) {

    boolean hasWait(long now) {
      return report != null && report.remainingWaitMillis(now) > 0;
    }

    String describe(long now) {
      String inputs =
          report == null
              ? "unknown"
              : report.remainingWaitMillis(now)
                  + ":"
                  + Math.round(report.sentMillis())
                  + ":"
                  + report.remainingFreeCores();
      return shard + ":" + inputs + ":" + Math.round(cost);
    }
  }
}
