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
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Who dispatches which shard, in a group of hosts that tell each other by heartbeats. */
public class ShardRolesTest {

  private static final long STEP_MILLIS = 25;
  private static final long HEARTBEAT_MILLIS = 150;
  private static final long LOST_MILLIS = 450;
  private static final ShardLayout TWO = new ShardLayout(2);

  private final Map<String, Membership> hosts = new TreeMap<>();
  private final Map<String, String> domains = new HashMap<>();
  private final Set<String> silent = new HashSet<>();
  private final Map<String, Integer> routeChanges = new HashMap<>();
  private String cutDomain;
  private int load;
  private long now;

  /** Starts four hosts in each of three failure domains. */
  @BeforeMethod
  public void startHosts() {
    hosts.clear();
    domains.clear();
    silent.clear();
    cutDomain = "";
    now = 1_000_000;
    for (String domain : List.of("east", "north", "west")) {
      for (int i = 0; i < 4; i++) {
        domains.put("10.0." + domains.size() + ".1", domain);
      }
    }
    startAll(ShardLayout.UNDIVIDED);
    pass(3_000);
  }

  /** A small fleet has one dispatcher, whose pool serves bursts best. */
  @Test
  public void keepsOneDispatcherWhileTheFleetIsSmall() {
    assertEquals(dispatchers().keySet(), Set.of(ShardId.WHOLE_FLEET));
    long epoch = dispatchers().get(ShardId.WHOLE_FLEET).epoch();
    suit("10.0.5.1", ShardLayout.of(64, 3));
    pass(3_000);
    assertEquals(dispatchers().get(ShardId.WHOLE_FLEET).epoch(), epoch);
    assertEquals(onAll(host -> host.routes().liveShards()), Set.of(Set.of(ShardId.WHOLE_FLEET)));
  }

  /** One host would carry two shards, or a shard would wait for a second round of claims. */
  @Test
  public void claimsEveryShardWithDifferentHostsInOneRound() {
    suit("10.0.5.1", TWO);
    pass(2 * HEARTBEAT_MILLIS);
    assertAllShardsServed(TWO);
  }

  /** Hosts that divide the fleet differently would call the same upstream under two tokens. */
  @Test
  public void dividesAtTheSameLayoutOnAllHosts() {
    cutDomain = "west";
    pass(2_000);
    suit("10.0.5.1", new ShardLayout(3));
    suit("10.0.9.1", TWO);
    pass(2_000);
    assertEquals(hosts.get("10.0.9.1").layout(), TWO);
    cutDomain = "";
    pass(2_000);
    assertAllShardsServed(new ShardLayout(3));
  }

  /** A layout that grows mustn't cost the shards that there were their dispatchers. */
  @Test
  public void keepsTheDispatchersOfShardsThatStay() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    Map<ShardId, RouteView.Dispatching> before = dispatchers();
    suit("10.0.2.1", new ShardLayout(3));
    pass(1_000);
    assertTrue(dispatchers().entrySet().containsAll(before.entrySet()));
    assertAllShardsServed(new ShardLayout(3));
  }

  /** Two parts of a domain were cut off from each other, and both claimed its shards. */
  @Test
  public void twoClaimsOfOneShardLeaveTheHigherEpoch() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    RouteView.Dispatching before = dispatchers().get(new ShardId("east", 1));
    silent.add(before.host());
    pass(1_000);
    assertNotEquals(dispatchers().get(new ShardId("east", 1)), before);
    long rival = dispatchers().get(new ShardId("east", 1)).epoch();
    silent.clear();
    pass(1_000);
    assertEquals(dispatchers().get(new ShardId("east", 1)).epoch(), rival);
    assertEquals(hosts.get(before.host()).claimedShard().isPresent(), false);
    assertAllShardsServed(TWO);
  }

  /** The shard of a lost host keeps its upstreams until another host of the domain has it. */
  @Test
  public void takesOverTheShardOfLostHosts() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    ShardId shard = new ShardId("north", 0);
    RouteView.Dispatching lost = dispatchers().get(shard);
    stop(lost.host());
    for (int i = 0; i < 1_000 / STEP_MILLIS; i++) {
      pass(STEP_MILLIS);
      assertTrue(onAll(host -> host.routes().liveShards().contains(shard)).equals(Set.of(true)));
    }
    assertTrue(dispatchers().get(shard).epoch() > lost.epoch());
    assertEquals(domains.get(dispatchers().get(shard).host()), "north");
    assertAllShardsServed(TWO);
  }

  /** Upstreams of a shard that nobody can take would be served by nobody. */
  @Test
  public void leavesVacantRolesWhereDomainsHaveTooFewHosts() {
    suit("10.0.5.1", new ShardLayout(4));
    pass(1_000);
    assertAllShardsServed(new ShardLayout(4));
    ShardId shard = new ShardId("west", 2);
    stop(dispatchers().get(shard).host());
    pass(LOST_MILLIS + Membership.VACANCY_MILLIS - HEARTBEAT_MILLIS);
    assertEquals(onAll(host -> host.routes().liveShards().contains(shard)), Set.of(true));
    pass(2 * HEARTBEAT_MILLIS + STEP_MILLIS);
    assertEquals(onAll(host -> host.routes().liveShards().contains(shard)), Set.of(false));
    assertEquals(dispatchers().size(), 11);
  }

  /** After a restart of everything one host would claim a fleet that is too large for it. */
  @Test
  public void keepsTheLayoutThroughRestartsOfEverything() {
    startAll(ShardLayout.UNDIVIDED);
    Membership keeper =
        Membership.growing(
            new HostCard("10.0.99.1", "control", "north", ""),
            MembershipTerms.ofAddress("10.0.99.1", LOST_MILLIS, false),
            now);
    keeper.recall(TWO);
    domains.put("10.0.99.1", "north");
    hosts.put("10.0.99.1", keeper);
    meetAll();
    for (int i = 0; i < 2_000 / STEP_MILLIS; i++) {
      pass(STEP_MILLIS);
      assertTrue(!dispatchers().containsKey(ShardId.WHOLE_FLEET));
    }
    hosts.remove("10.0.99.1");
    assertAllShardsServed(TWO);
  }

  /** Dispatchers behind a partition would be outbid and change hands once it heals. */
  @Test
  public void leavesTheShardsOfDomainsBehindPartitionsAlone() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    final Map<ShardId, RouteView.Dispatching> before = dispatchers();
    cutDomain = "west";
    for (int i = 0; i < 6_000 / STEP_MILLIS; i++) {
      pass(STEP_MILLIS);
      assertEquals(onAll(host -> host.routes().liveShards()), Set.of(before.keySet()));
    }
    cutDomain = "";
    pass(1_000);
    assertEquals(dispatchers(), before);
  }

  /** A host that has just started would take a shard from a dispatcher that it hasn't heard yet. */
  @Test
  public void claimsNoShardBeforeItsDispatcherCouldBeHeard() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    RouteView.Dispatching unheard = dispatchers().get(new ShardId("north", 1));
    String restarted =
        domains.keySet().stream()
            .filter(host -> domains.get(host).equals("north"))
            .filter(host -> hosts.get(host).claimedEpoch() == 0)
            .findFirst()
            .orElseThrow();
    hosts.remove(restarted);
    Membership membership =
        Membership.growing(
            new HostCard(restarted, "entry", "north", ""),
            MembershipTerms.ofAddress(restarted, LOST_MILLIS, true),
            now);
    hosts.keySet().forEach(host -> membership.admit(host, "entry", now));
    for (int i = 0; i < 10; i++) {
      pass(HEARTBEAT_MILLIS);
      hosts.keySet().stream()
          .filter(host -> !host.equals(unheard.host()))
          .forEach(host -> membership.heartbeat(status(host, hosts.get(host)), now));
      membership.tick(now);
      assertEquals(membership.claimedEpoch(), 0);
    }
  }

  /** A planned stop mustn't leave the shard to the time that shows a loss. */
  @Test
  public void handsShardsOverWithinTheirDomain() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    ShardId shard = new ShardId("east", 0);
    String stopping = dispatchers().get(shard).host();
    hosts.get(stopping).drain(now);
    pass(2 * HEARTBEAT_MILLIS);
    assertNotEquals(dispatchers().get(shard).host(), stopping);
    assertEquals(domains.get(dispatchers().get(shard).host()), "east");
  }

  /** Upstreams that came from another shard would make each shard change hands once. */
  @Test
  public void keepsTheShardsOfHostsThatAreOutranked() {
    suit("10.0.5.1", TWO);
    pass(1_000);
    Map<ShardId, RouteView.Dispatching> before = dispatchers();
    before.forEach((shard, found) -> hosts.get(found.host()).outranked(found.epoch(), true, now));
    pass(1_000);
    dispatchers()
        .forEach(
            (shard, found) -> {
              assertEquals(found.host(), before.get(shard).host());
              assertTrue(found.epoch() > before.get(shard).epoch());
            });
    assertAllShardsServed(TWO);
  }

  /** Each new route makes every host look at all of its work. */
  @Test
  public void tellsNoNewRoutesWhenOnlyLoadsChange() {
    suit("10.0.5.1", TWO);
    pass(3_000);
    routeChanges.clear();
    load = 7;
    pass(1_000);
    assertEquals(routeChanges, Map.of());
    assertEquals(hosts.get("10.0.1.1").load("10.0.2.1"), hosts.get("10.0.3.1").load("10.0.2.1"));
    assertEquals(hosts.get("10.0.1.1").load("10.0.2.1").orElseThrow().freeSlots(), 7);
  }

  private void startAll(ShardLayout layout) {
    domains.forEach(
        (host, domain) -> {
          Membership membership =
              Membership.growing(
                  new HostCard(host, "entry", domain, ""),
                  MembershipTerms.ofAddress(host, LOST_MILLIS, true),
                  now);
          membership.recall(layout);
          hosts.put(host, membership);
        });
    meetAll();
  }

  private void meetAll() {
    hosts.forEach(
        (host, membership) ->
            hosts.keySet().stream()
                .filter(other -> !other.equals(host))
                .forEach(other -> membership.admit(other, group(other), now)));
  }

  private static String group(String host) {
    return host.startsWith("10.0.99.") ? "control" : "entry";
  }

  private void stop(String host) {
    hosts.remove(host);
  }

  private void suit(String host, ShardLayout layout) {
    hosts.get(host).suits(layout, now);
  }

  private void pass(long millis) {
    for (long end = now + millis; now < end; ) {
      now += STEP_MILLIS;
      hosts.forEach((host, membership) -> note(host, membership.tick(now)));
      if (now % HEARTBEAT_MILLIS == 0) {
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
            note(host, membership.heartbeat(status, now));
          }
        });
  }

  private boolean reaches(String from, String to) {
    boolean cut = domains.get(from).equals(cutDomain) != domains.get(to).equals(cutDomain);
    return !cut && !silent.contains(from) && !silent.contains(to);
  }

  private void note(String host, Collection<MembershipEffect> effects) {
    if (effects.stream().anyMatch(MembershipEffect.Routes.class::isInstance)) {
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
        membership.draining(),
        "",
        new DomainLoad(load, 0),
        domains.get(host),
        membership.layout(),
        membership.claimedShard().orElse(ShardId.WHOLE_FLEET));
  }

  /** Returns who claims what, by the hosts' own word; of silent hosts nothing. */
  private Map<ShardId, RouteView.Dispatching> dispatchers() {
    return hosts.entrySet().stream()
        .filter(host -> !silent.contains(host.getKey()))
        .filter(host -> host.getValue().claimedEpoch() != 0)
        .collect(
            Collectors.toMap(
                host -> host.getValue().claimedShard().orElseThrow(),
                host ->
                    new RouteView.Dispatching(
                        host.getKey(), host.getValue().claimedEpoch(), false)));
  }

  private void assertAllShardsServed(ShardLayout layout) {
    Set<ShardId> expected =
        Stream.of("east", "north", "west")
            .flatMap(domain -> layout.shards(domain).stream())
            .collect(Collectors.toSet());
    assertEquals(onAll(Membership::layout), Set.of(layout));
    assertEquals(dispatchers().keySet(), expected);
    assertEquals(onAll(host -> host.routes().shards()), Set.of(dispatchers()));
    assertEquals(onAll(host -> host.routes().liveShards()), Set.of(expected));
  }

  private <T> Set<T> onAll(Function<Membership, T> question) {
    return hosts.values().stream().map(question).collect(Collectors.toSet());
  }
}
