package org.burdockbay.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.testng.annotations.Test;

/** Tests the division of upstreams among shards. */
public class ShardMapTest {

  private static final List<String> DOMAINS = List.of("north", "south", "east");
  private static final int UPSTREAMS = 245;

  /** Guards against dividing a fleet that one dispatcher can handle. */
  @Test
  public void leavesSmallFleetsWithOneDispatcher() {
    assertEquals(ShardLayout.of(48, 3), ShardLayout.UNDIVIDED);
    assertEquals(ShardLayout.UNDIVIDED.shards("north"), List.of(ShardId.WHOLE_FLEET));
    assertEquals(
        ShardMap.of(List.of(ShardId.WHOLE_FLEET)).owner("u-1", "north"),
        Optional.of(ShardId.WHOLE_FLEET));
  }

  /** Guards against shards that outgrow their dispatchers as the fleet grows. */
  @Test
  public void growsTheNumberOfShardsWithTheFleet() {
    assertEquals(ShardLayout.of(117, 3).shardsPerDomain(), 2);
    assertEquals(ShardLayout.of(245, 3).shardsPerDomain(), 4);
    assertEquals(ShardLayout.of(246, 4).shardsPerDomain(), 3);
    assertEquals(ShardLayout.of(1_300, 8).shardsPerDomain(), 7);
  }

  /** Guards against upstreams owned from another failure domain, and against uneven shards. */
  @Test
  public void keepsUpstreamsInTheirDomainAndBalancesShards() {
    ShardMap map = ShardMap.of(shards(ShardLayout.of(UPSTREAMS, 3)));
    Map<ShardId, Integer> owned = new HashMap<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      String domain = DOMAINS.get(i % 3);
      ShardId owner = map.owner("i-" + i, domain).orElseThrow();
      assertEquals(owner.domain(), domain);
      owned.merge(owner, 1, Integer::sum);
    }
    assertEquals(owned.size(), 12);
    owned.values().forEach(count -> assertTrue(count >= 8 && count <= 36, owned.toString()));
  }

  /** Guards against moving upstreams of other shards when one shard is lost. */
  @Test
  public void movesOnlyTheUpstreamsOfLostShards() {
    List<ShardId> all = shards(ShardLayout.of(UPSTREAMS, 3));
    ShardId lost = new ShardId("north", 1);
    List<ShardId> remaining = new ArrayList<>(all);
    remaining.remove(lost);
    for (int i = 0; i < UPSTREAMS; i++) {
      ShardId before = ShardMap.of(all).owner("i-" + i, "north").orElseThrow();
      ShardId after = ShardMap.of(remaining).owner("i-" + i, "north").orElseThrow();
      assertTrue(before.equals(lost) ? !after.equals(lost) : after.equals(before));
    }
  }

  /** Guards against upstreams without an owner because their domain has no shards. */
  @Test
  public void givesUpstreamsOfDomainsWithoutShardsToOthers() {
    ShardMap map = ShardMap.of(new ShardLayout(2).shards("north"));
    assertEquals(map.owner("i-1", "west").orElseThrow().domain(), "north");
    assertEquals(ShardMap.of(List.of()).owner("i-1", "west"), Optional.empty());
  }

  private static List<ShardId> shards(ShardLayout layout) {
    return DOMAINS.stream().flatMap(domain -> layout.shards(domain).stream()).toList();
  }
}
