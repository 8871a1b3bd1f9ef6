package org.burdockbay.core.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the election of shard dispatchers in a group of hosts that exchange heartbeats. */
public class ShardRolesTest {

  private static final long STEP_MILLIS = 25;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 150;
  private static final long SILENCE_TIMEOUT_MILLIS = 450;
  private static final ShardLayout TWO_SHARDS = new ShardLayout(2);

  private final Map<String, Membership> hosts = new TreeMap<>();
  private final Map<String, String> domains = new HashMap<>();
  private final Set<String> silent = new HashSet<>();
  private final Map<String, Integer> weights = new HashMap<>();

  private final Map<String, Integer> routeChanges = new HashMap<>();
  private String partitionedDomain;
  private int load;
  private long now;

  /** Starts four hosts in each of three failure domains. */
  @BeforeMethod
  public void startHosts() {
    hosts.clear();
    domains.clear();
    weights.clear();
    silent.clear();
    partitionedDomain = "";
    now = 1_000_000;
    for (String domain : List.of("east", "north", "west")) {
      for (int i = 0; i < 4; i++) {
        domains.put("10.0." + domains.size() + ".1", domain);
      }
    }
    startAll(ShardLayout.UNDIVIDED);
    advanceTime(3_000);
  }

  /** Guards against dividing a small fleet, whose single pool of upstreams handles bursts best. */
  @Test
  public void keepsOneDispatcherWhileTheFleetIsSmall() {
    assertEquals(dispatchers().keySet(), Set.of(ShardId.WHOLE_FLEET));
    long epoch = dispatchers().get(ShardId.WHOLE_FLEET).epoch();
    growLayout("10.0.5.1", ShardLayout.of(64, 3));
    advanceTime(3_000);
    assertEquals(dispatchers().get(ShardId.WHOLE_FLEET).epoch(), epoch);
    assertEquals(
        collectFromAllHosts(host -> host.routes().liveShards()),
        Set.of(Set.of(ShardId.WHOLE_FLEET)));
  }

  /** Guards against a host that claims two shards and a shard that needs two rounds of claims. */
  @Test
  public void claimsEveryShardWithDifferentHostsInOneRound() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(2 * HEARTBEAT_INTERVAL_MILLIS);
    assertAllShardsServed(TWO_SHARDS);
  }

  /** Guards against hosts with different layouts, which call the same upstream with two tokens. */
  @Test
  public void convergesToTheSameLayoutOnAllHosts() {
    partitionedDomain = "west";
    advanceTime(2_000);
    growLayout("10.0.5.1", new ShardLayout(3));
    growLayout("10.0.9.1", TWO_SHARDS);
    advanceTime(2_000);
    assertEquals(hosts.get("10.0.9.1").layout(), TWO_SHARDS);
    partitionedDomain = "";
    advanceTime(2_000);
    assertAllShardsServed(new ShardLayout(3));
  }

  /** Guards against existing shards that lose their dispatchers when the layout grows. */
  @Test
  public void keepsDispatchersOfExistingShardsWhenTheLayoutGrows() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    Map<ShardId, RouteView.ActiveDispatcher> before = dispatchers();
    growLayout("10.0.2.1", new ShardLayout(3));
    advanceTime(1_000);
    assertTrue(dispatchers().entrySet().containsAll(before.entrySet()));
    assertAllShardsServed(new ShardLayout(3));
  }

  /**
   * Two parts of a domain were separated by a network partition, and both claimed its shards.
   * Afterwards only the claim with the higher epoch may remain.
   */
  @Test
  public void keepsTheHigherEpochOfTwoClaimsOfOneShard() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    RouteView.ActiveDispatcher before = dispatchers().get(new ShardId("east", 1));
    silent.add(before.host());
    advanceTime(1_000);
    assertNotEquals(dispatchers().get(new ShardId("east", 1)), before);
    long rival = dispatchers().get(new ShardId("east", 1)).epoch();
    silent.clear();
    advanceTime(1_000);
    assertEquals(dispatchers().get(new ShardId("east", 1)).epoch(), rival);
    assertEquals(hosts.get(before.host()).claimedShard().isPresent(), false);
    assertAllShardsServed(TWO_SHARDS);
  }

  /**
   * Guards against a shard of a lost host that loses its upstreams before another host of the
   * domain takes it over.
   */
  @Test
  public void takesOverTheShardOfLostHosts() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    ShardId shard = new ShardId("north", 0);
    RouteView.ActiveDispatcher lost = dispatchers().get(shard);
    stop(lost.host());
    for (int i = 0; i < 1_000 / STEP_MILLIS; i++) {
      advanceTime(STEP_MILLIS);
      assertTrue(
          collectFromAllHosts(host -> host.routes().liveShards().contains(shard))
              .equals(Set.of(true)));
    }
    assertTrue(dispatchers().get(shard).epoch() > lost.epoch());
    assertEquals(domains.get(dispatchers().get(shard).host()), "north");
    assertAllShardsServed(TWO_SHARDS);
  }

  /** Guards against upstreams without a dispatcher if no host can take over their shard. */
  @Test
  public void dropsVacantShardsOfDomainsWithTooFewHosts() {
    growLayout("10.0.5.1", new ShardLayout(4));
    advanceTime(1_000);
    assertAllShardsServed(new ShardLayout(4));
    ShardId shard = new ShardId("west", 2);
    stop(dispatchers().get(shard).host());
    advanceTime(
        SILENCE_TIMEOUT_MILLIS + Membership.VACANCY_GRACE_MILLIS - HEARTBEAT_INTERVAL_MILLIS);
    assertEquals(
        collectFromAllHosts(host -> host.routes().liveShards().contains(shard)), Set.of(true));
    advanceTime(2 * HEARTBEAT_INTERVAL_MILLIS + STEP_MILLIS);
    assertEquals(
        collectFromAllHosts(host -> host.routes().liveShards().contains(shard)), Set.of(false));
    assertEquals(dispatchers().size(), 11);
  }

  /**
   * Guards against an undivided fleet after a restart of all hosts: a single host would claim a
   * fleet that is too large for one dispatcher.
   */
  @Test
  public void keepsTheLayoutWhenAllHostsRestart() {
    startAll(ShardLayout.UNDIVIDED);
    Membership controlHost =
        Membership.withDiscovery(
            new HostDescriptor("10.0.99.1", "control", "north", ""),
            MembershipOptions.ofAddress("10.0.99.1", SILENCE_TIMEOUT_MILLIS, false),
            now);
    controlHost.restore(TWO_SHARDS);
    domains.put("10.0.99.1", "north");
    hosts.put("10.0.99.1", controlHost);
    connectAll();
    for (int i = 0; i < 2_000 / STEP_MILLIS; i++) {
      advanceTime(STEP_MILLIS);
      assertTrue(!dispatchers().containsKey(ShardId.WHOLE_FLEET));
    }
    hosts.remove("10.0.99.1");
    assertAllShardsServed(TWO_SHARDS);
  }

  /**
   * Guards against superseding the dispatchers of a partitioned domain, whose shards are then
   * reassigned once the partition ends.
   */
  @Test
  public void doesNotReassignShardsOfPartitionedDomains() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    final Map<ShardId, RouteView.ActiveDispatcher> before = dispatchers();
    partitionedDomain = "west";
    for (int i = 0; i < 6_000 / STEP_MILLIS; i++) {
      advanceTime(STEP_MILLIS);
      assertEquals(
          collectFromAllHosts(host -> host.routes().liveShards()), Set.of(before.keySet()));
    }
    partitionedDomain = "";
    advanceTime(1_000);
    assertEquals(dispatchers(), before);
  }

  /**
   * Guards against a host that has just started and takes over a shard from a dispatcher that it
   * hasn't contacted yet.
   */
  @Test
  public void claimsNoShardBeforeItsDispatcherCanBeContacted() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    RouteView.ActiveDispatcher uncontacted = dispatchers().get(new ShardId("north", 1));
    String restarted =
        domains.keySet().stream()
            .filter(host -> domains.get(host).equals("north"))
            .filter(host -> hosts.get(host).claimedEpoch() == 0)
            .findFirst()
            .orElseThrow();
    hosts.remove(restarted);
    Membership membership =
        Membership.withDiscovery(
            new HostDescriptor(restarted, "entry", "north", ""),
            MembershipOptions.ofAddress(restarted, SILENCE_TIMEOUT_MILLIS, true),
            now);
    hosts.keySet().forEach(host -> membership.addHost(host, "entry", now));
    for (int i = 0; i < 10; i++) {
      advanceTime(HEARTBEAT_INTERVAL_MILLIS);
      hosts.keySet().stream()
          .filter(host -> !host.equals(uncontacted.host()))
          .forEach(host -> membership.heartbeat(status(host, hosts.get(host)), now));
      membership.tick(now);
      assertEquals(membership.claimedEpoch(), 0);
    }
  }

  /** Guards against a shard without a dispatcher until the silence timeout after a planned stop. */
  @Test
  public void handsShardsOverWithinTheirDomain() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    ShardId shard = new ShardId("east", 0);
    String stopping = dispatchers().get(shard).host();
    hosts.get(stopping).drain(now);
    advanceTime(2 * HEARTBEAT_INTERVAL_MILLIS);
    assertNotEquals(dispatchers().get(shard).host(), stopping);
    assertEquals(domains.get(dispatchers().get(shard).host()), "east");
  }

  /**
   * Guards against reassigning each shard once because upstreams come from another shard with a
   * higher epoch.
   */
  @Test
  public void keepsShardsOfHostsWhoseClaimsAreSuperseded() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(1_000);
    Map<ShardId, RouteView.ActiveDispatcher> before = dispatchers();
    before.forEach(
        (shard, dispatcher) ->
            hosts.get(dispatcher.host()).handleSupersededClaim(dispatcher.epoch(), true, now));
    advanceTime(1_000);
    dispatchers()
        .forEach(
            (shard, dispatcher) -> {
              assertEquals(dispatcher.host(), before.get(shard).host());
              assertTrue(dispatcher.epoch() > before.get(shard).epoch());
            });
    assertAllShardsServed(TWO_SHARDS);
  }

  /** Guards against reporting unchanged routes, which makes every host re-evaluate all its work. */
  @Test
  public void reportsNoNewRoutesWhenOnlyLoadsChange() {
    growLayout("10.0.5.1", TWO_SHARDS);
    advanceTime(3_000);
    routeChanges.clear();
    load = 7;
    advanceTime(1_000);
    assertEquals(routeChanges, Map.of());
    assertEquals(hosts.get("10.0.1.1").load("10.0.2.1"), hosts.get("10.0.3.1").load("10.0.2.1"));
    assertEquals(hosts.get("10.0.1.1").load("10.0.2.1").orElseThrow().freeSlots(), 7);
  }

  /**
   * Guards against a shard that no host claims during an upgrade: hosts of the earlier release
   * don't use weights, so each host would wait for another one.
   */
  @Test
  public void servesEveryShardWhileSomeHostsReportNoWeight() {
    setWeights(2);
    restartAll(TWO_SHARDS);
    assertAllShardsServed(TWO_SHARDS);
    Map<ShardId, RouteView.ActiveDispatcher> unweighted = dispatchers();
    weights.clear();
    restartAll(TWO_SHARDS);
    assertEquals(hostsOf(dispatchers()), hostsOf(unweighted));
  }

  /** Guards against roles that move to a stronger host although their dispatchers serve. */
  @Test
  public void keepsDispatchersWhenStrongerHostsJoin() {
    restartAll(TWO_SHARDS);
    Map<ShardId, RouteView.ActiveDispatcher> before = dispatchers();
    setWeights(1);
    advanceTime(2_000);
    assertEquals(dispatchers(), before);
    restartAll(TWO_SHARDS);
    assertAllShardsServed(TWO_SHARDS);
  }

  /** Sets the weight of every n-th host; every fourth of them is strong. */
  private void setWeights(int n) {
    List<String> ids = List.copyOf(new TreeMap<>(domains).keySet());
    for (int i = 0; i < ids.size(); i += n) {
      weights.put(ids.get(i), i % 4 == 0 ? 900 : 270);
    }
  }

  private void restartAll(ShardLayout layout) {
    hosts.clear();
    startAll(layout);
    advanceTime(6_000);
  }

  private static Map<ShardId, String> hostsOf(
      Map<ShardId, RouteView.ActiveDispatcher> dispatchers) {
    Map<ShardId, String> result = new HashMap<>();
    dispatchers.forEach((shard, dispatcher) -> result.put(shard, dispatcher.host()));
    return result;
  }

  private void startAll(ShardLayout layout) {
    domains.forEach(
        (host, domain) -> {
          Membership membership =
              Membership.withDiscovery(
                  new HostDescriptor(host, "entry", domain, ""),
                  MembershipOptions.ofAddress(host, SILENCE_TIMEOUT_MILLIS, true)
                      .withWeight(weights.getOrDefault(host, ShardAssignment.UNKNOWN_WEIGHT)),
                  now);
          membership.restore(layout);
          hosts.put(host, membership);
        });
    connectAll();
  }

  private void connectAll() {
    hosts.forEach(
        (host, membership) ->
            hosts.keySet().stream()
                .filter(other -> !other.equals(host))
                .forEach(other -> membership.addHost(other, group(other), now)));
  }

  private static String group(String host) {
    return host.startsWith("10.0.99.") ? "control" : "entry";
  }

  private void stop(String host) {
    hosts.remove(host);
  }

  private void growLayout(String host, ShardLayout layout) {
    hosts.get(host).growLayout(layout, now);
  }

  private void advanceTime(long millis) {
    for (long end = now + millis; now < end; ) {
      now += STEP_MILLIS;
      hosts.forEach((host, membership) -> countRouteChanges(host, membership.tick(now)));
      if (now % HEARTBEAT_INTERVAL_MILLIS == 0) {
        List<HostStatus> statuses =
            hosts.keySet().stream().map(host -> status(host, hosts.get(host))).toList();
        statuses.forEach(this::deliver);
      }
    }
  }

  private void deliver(HostStatus status) {
    hosts.forEach(
        (host, membership) -> {
          if (!host.equals(status.host()) && reaches(status.host(), host)) {
            countRouteChanges(host, membership.heartbeat(status, now));
          }
        });
  }

  private boolean reaches(String from, String to) {
    boolean isSeparated =
        domains.get(from).equals(partitionedDomain) != domains.get(to).equals(partitionedDomain);
    return !isSeparated && !silent.contains(from) && !silent.contains(to);
  }

  private void countRouteChanges(String host, Collection<MembershipEffect> effects) {
    if (effects.stream().anyMatch(MembershipEffect.RoutesChanged.class::isInstance)) {
      routeChanges.merge(host, 1, Integer::sum);
    }
  }

  private HostStatus status(String host, Membership membership) {
    return new HostStatus(
        host,
        group(host),
        1,
        0,
        1,
        membership.claimedEpoch(),
        membership.highestEpoch(),
        membership.isDraining(),
        "",
        new DomainLoad(load, 0),
        domains.get(host),
        membership.layout(),
        membership.claimedShard().orElse(ShardId.WHOLE_FLEET),
        Evacuations.NONE,
        weights.getOrDefault(host, ShardAssignment.UNKNOWN_WEIGHT));
  }

  /** Returns the claims of all hosts that aren't silent. */
  private Map<ShardId, RouteView.ActiveDispatcher> dispatchers() {
    return hosts.entrySet().stream()
        .filter(host -> !silent.contains(host.getKey()))
        .filter(host -> host.getValue().claimedEpoch() != 0)
        .collect(
            Collectors.toMap(
                host -> host.getValue().claimedShard().orElseThrow(),
                host ->
                    new RouteView.ActiveDispatcher(
                        host.getKey(), host.getValue().claimedEpoch(), false)));
  }

  private void assertAllShardsServed(ShardLayout layout) {
    Set<ShardId> expected =
        Stream.of("east", "north", "west")
            .flatMap(domain -> layout.shards(domain).stream())
            .collect(Collectors.toSet());
    assertEquals(collectFromAllHosts(Membership::layout), Set.of(layout));
    assertEquals(dispatchers().keySet(), expected);
    assertEquals(collectFromAllHosts(host -> host.routes().shards()), Set.of(dispatchers()));
    assertEquals(collectFromAllHosts(host -> host.routes().liveShards()), Set.of(expected));
  }

  private <T> Set<T> collectFromAllHosts(Function<Membership, T> property) {
    return hosts.values().stream().map(property).collect(Collectors.toSet());
  }
}
