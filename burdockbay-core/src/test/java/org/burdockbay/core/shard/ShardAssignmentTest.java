package org.burdockbay.core.shard;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.testng.annotations.Test;

/** Tests {@link ShardAssignment}. */
public class ShardAssignmentTest {

  private static final int WEAK_HOSTS = 26;
  private static final int STRONG_HOSTS = 7;
  private static final int WEAK_WEIGHT = 270;
  private static final int STRONG_WEIGHT = 900;
  private static final int DOMAINS = 2_000;

  /**
   * Guards against dispatchers on weak hosts while strong ones are idle: 7 hosts of 33 have 0.47 of
   * the weight, and would get 0.21 of the roles without weights.
   */
  @Test
  public void assignsRolesInProportionToWeights() {
    Map<String, Integer> weights = unevenHosts();
    int strong = 0;
    for (int domain = 0; domain < DOMAINS; domain++) {
      ShardId shard = new ShardId("domain" + domain, 0);
      String host = ShardAssignment.of(List.of(shard), weights).get(shard);
      strong += weights.get(host) == STRONG_WEIGHT ? 1 : 0;
    }
    double strongWeight = STRONG_HOSTS * STRONG_WEIGHT;
    double expected = strongWeight / (strongWeight + WEAK_HOSTS * WEAK_WEIGHT);
    assertEquals((double) strong / DOMAINS, expected, 0.05);
  }

  /** Guards against roles that move when hosts of equal weight are upgraded. */
  @Test
  public void keepsAssignmentOfUnweightedHashForEqualWeights() {
    Map<String, Integer> weights = new HashMap<>();
    unevenHosts().keySet().forEach(host -> weights.put(host, STRONG_WEIGHT));
    List<ShardId> shards = new ShardLayout(8).shards("north");
    Map<ShardId, String> expected = new TreeMap<>();
    TreeSet<String> remaining = new TreeSet<>(weights.keySet());
    for (ShardId shard : shards) {
      String host =
          remaining.stream()
              .max(Comparator.comparingLong(each -> RendezvousHash.weight(each, shard)))
              .orElseThrow();
      remaining.remove(host);
      expected.put(shard, host);
    }
    assertEquals(ShardAssignment.of(shards, weights), expected);
  }

  /** Guards against roles that move between hosts whose weights haven't changed. */
  @Test
  public void movesRolesOnlyToHostsThatBecomeStronger() {
    Map<String, Integer> weights = unevenHosts();
    Map<String, Integer> changed = new HashMap<>(weights);
    changed.put("host0", STRONG_WEIGHT);
    for (int domain = 0; domain < DOMAINS; domain++) {
      ShardId shard = new ShardId("domain" + domain, 0);
      String before = ShardAssignment.of(List.of(shard), weights).get(shard);
      String after = ShardAssignment.of(List.of(shard), changed).get(shard);
      assertTrue(after.equals(before) || after.equals("host0"), before + " " + after);
    }
  }

  private static Map<String, Integer> unevenHosts() {
    Map<String, Integer> weights = new HashMap<>();
    for (int i = 0; i < WEAK_HOSTS + STRONG_HOSTS; i++) {
      weights.put("host" + i, i < WEAK_HOSTS ? WEAK_WEIGHT : STRONG_WEIGHT);
    }
    return weights;
  }
}
