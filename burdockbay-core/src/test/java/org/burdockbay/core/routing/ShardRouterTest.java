package org.burdockbay.core.routing;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the decisions of a {@link ShardRouter} in a fleet of four failure domains. */
public class ShardRouterTest {

  private static final List<String> DOMAINS = List.of("north", "south", "east", "west");
  private static final int SHARDS_PER_DOMAIN = 3;
  private static final int TOTAL_CORES = 400;
  private static final int IDS = 200;

  /** The processor time of the work of a test, in milliseconds of a shard. */
  private static final long WORK_MILLIS_OF_SHARD = 64L * 100 / TOTAL_CORES;

  private final List<String> decisions = new ArrayList<>();
  private final Map<ShardId, String> hosts = new HashMap<>();
  private ShardRouter router;
  private long now;

  /** Creates a router in the north that knows all dispatchers and no loads. */
  @BeforeMethod
  public void setUp() {
    decisions.clear();
    hosts.clear();
    now = 10_000;
    router = new ShardRouter("north", decisions::add);
    for (String domain : DOMAINS) {
      for (int i = 0; i < SHARDS_PER_DOMAIN; i++) {
        hosts.put(new ShardId(domain, i), domain + i);
      }
    }
    router.updateDispatchers(hosts);
  }

  /** Guards against work that crosses domains although its own domain has room. */
  @Test
  public void keepsWorkInOwnDomainWithRoom() {
    hosts.values().forEach(host -> report(host, 100, 0));
    hosts.values().stream().filter(host -> !isNorth(host)).forEach(host -> report(host, 300, 0));
    for (int i = 0; i < IDS; i++) {
      assertEquals(select("w" + i).domain(), "north");
      hosts.values().forEach(host -> report(host, 100, 0));
    }
    assertEquals(decisions, List.of());
  }

  /** Guards against entry hosts with the same reports that all select the same shard. */
  @Test
  public void spreadsWorkOverShardsOfEqualCost() {
    Set<ShardId> selected = new HashSet<>();
    for (int i = 0; i < IDS; i++) {
      hosts.values().forEach(host -> report(host, 100, 0));
      selected.add(select("w" + i));
    }
    assertEquals(selected.size(), SHARDS_PER_DOMAIN);
  }

  /** Guards against crossing for less than the hop, and waiting for more than it. */
  @Test
  public void leavesOwnDomainOnlyForMuchLowerCost() {
    hosts.values().forEach(host -> report(host, 0, isNorth(host) ? 8 : 0));
    assertEquals(select("w1").domain(), "north");
    hosts.values().forEach(host -> report(host, 0, isNorth(host) ? 30 : 0));
    assertNotEquals(select("w2").domain(), "north");
  }

  /** Guards against work that leaves shards which can start it, since wider work waits there. */
  @Test
  public void ignoresWaitsWhereAllTasksFit() {
    hosts.values().forEach(host -> report(host, 100, isNorth(host) ? 30 : 0));
    assertEquals(select("w").domain(), "north");
  }

  /** Guards against a choice without reason where no shard has free cores. */
  @Test
  public void selectsShortestWaitWithoutFreeCores() {
    hosts.values().forEach(host -> report(host, 0, 200));
    report("north1", 0, 40);
    for (int i = 0; i < 5; i++) {
      report("north1", 0, 40);
      assertEquals(select("w" + i), new ShardId("north", 1));
    }
  }

  /** Guards against a whole heartbeat's work for the one shard that had room at its start. */
  @Test
  public void countsWhatWasSentSinceReport() {
    hosts.values().forEach(host -> report(host, isNorth(host) ? 100 : 0, 0));
    Set<ShardId> selected = new HashSet<>();
    for (int i = 0; i < SHARDS_PER_DOMAIN; i++) {
      selected.add(select("same"));
    }
    assertEquals(selected.size(), SHARDS_PER_DOMAIN);
  }

  /** Guards against guesses about dispatchers of earlier versions, which report no total. */
  @Test
  public void ignoresWhatWasSentToShardOfUnknownTotal() {
    hosts.values().forEach(host -> router.updateLoad(host, new DomainLoad(100, 0), now));
    ShardId first = select("same");
    for (int i = 0; i < 10; i++) {
      assertEquals(select("same"), first);
    }
  }

  /** Guards against waits that count in full until the next report. */
  @Test
  public void reducesReportedWaitsByTheirAge() {
    hosts.values().forEach(host -> report(host, 0, 500));
    report("north0", 0, 130);
    now += 100;
    report("north1", 0, 60);
    assertEquals(select("w"), new ShardId("north", 0));
  }

  /** Guards against a shard without a report that counts as empty and gets all work. */
  @Test
  public void countsUnknownReportAsMean() {
    hosts.values().forEach(host -> report(host, 100, 0));
    now += 1_001;
    hosts.values().stream()
        .filter(host -> !host.equals("north0"))
        .forEach(host -> report(host, 0, host.equals("north1") ? 0 : 100));
    for (int i = 0; i < IDS; i++) {
      report("north1", 0, 0);
      assertEquals(select("w" + i), new ShardId("north", 1));
    }
  }

  /** Guards against a return to blind choices over all domains when nothing is known. */
  @Test
  public void selectsOwnDomainByHashWithoutReports() {
    Set<ShardId> selected = new HashSet<>();
    for (int i = 0; i < IDS; i++) {
      selected.add(select("w" + i));
    }
    assertEquals(selected.size(), SHARDS_PER_DOMAIN);
    assertTrue(selected.stream().allMatch(shard -> shard.domain().equals("north")));
  }

  /** Guards against work for shards that start nothing or receive nothing. */
  @Test
  public void excludesEvacuatedAndUnreachableShards() {
    hosts.values().forEach(host -> report(host, 100, 0));
    router.updateUnreachableHosts(Set.of("north0", "north1"));
    assertEquals(select("w"), new ShardId("north", 2));
    router.updateEvacuations(Set.of("north"));
    assertNotEquals(select("w").domain(), "north");
    router.updateEvacuations(Set.copyOf(DOMAINS));
    assertTrue(router.isEmpty());
    assertTrue(router.select(request("w"), now).isEmpty());
  }

  /** Guards against refused work that goes where it can't start either, or back. */
  @Test
  public void offersRefusedWorkToShardWithFreeCores() {
    hosts.values().forEach(host -> report(host, 10, 0));
    report("north2", 64, 5);
    report("south0", 64, 0);
    assertEquals(selectAlternative(Set.of("north0")), Optional.of(new ShardId("north", 2)));
    assertEquals(
        selectAlternative(Set.of("north0", "north2")), Optional.of(new ShardId("south", 0)));
    assertTrue(selectAlternative(Set.of("north0", "north2", "south0")).isEmpty());
  }

  /** Guards against refused callers that return at once, together, or much too late. */
  @Test
  public void spreadsRetriesOverTheShortestWait() {
    hosts.values().forEach(host -> report(host, 0, 900));
    Set<Long> intervals = new HashSet<>();
    IntStream.range(0, IDS).forEach(i -> intervals.add(retryAfterMillis("w" + i)));
    assertTrue(intervals.stream().allMatch(it -> it >= 900 && it <= 1_800), intervals.toString());
    assertTrue(intervals.size() > IDS / 2, intervals.toString());
    hosts.values().forEach(host -> report(host, 100, 0));
    assertTrue(retryAfterMillis("w") >= 500 && retryAfterMillis("w") <= 1_000);
    hosts.values().forEach(host -> report(host, 0, 9_000));
    assertEquals(retryAfterMillis("w"), 3_000);
  }

  /** Guards against a decision that can't be explained from the log. */
  @Test
  public void logsWorkThatCrossesDomainsOrWaits() {
    hosts.values().forEach(host -> report(host, isNorth(host) ? 0 : 100, 30));
    ShardId selected = select("w1");
    String line = decisions.getFirst();
    assertTrue(line.startsWith("work=w1 to=" + selected + " cost=10 cores=64 estimate=100 "), line);
    assertTrue(line.contains("north/0:30:0:0:130"), line);
    assertTrue(line.contains(selected + ":30:0:100:10"), line);
    hosts.values().forEach(host -> report(host, 0, 40));
    assertEquals(select("w2").domain(), "north");
    assertTrue(decisions.get(1).contains("north/0:40:0:0:140"), decisions.get(1));
    select("w3");
    assertTrue(decisions.get(2).contains(":40:" + WORK_MILLIS_OF_SHARD + ":0:"), decisions.get(2));
  }

  private static boolean isNorth(String host) {
    return host.startsWith("north");
  }

  private void report(String host, int freeCores, long waitMillis) {
    router.updateLoad(host, new DomainLoad(freeCores, waitMillis, TOTAL_CORES), now);
  }

  private ShardId select(String id) {
    return router.select(request(id), now).orElseThrow();
  }

  private Optional<ShardId> selectAlternative(Set<String> refusedBy) {
    return router.selectAlternative(request("w"), refusedBy, now);
  }

  private long retryAfterMillis(String id) {
    WorkOutcome refusal = new WorkOutcome.NotRun("no room in time", 1_000);
    return ((WorkOutcome.NotRun) router.withRetryInterval(request(id), refusal, now))
        .retryAfterMillis();
  }

  /** Returns work of eight tasks of 8 cores and 100 ms. */
  private static WorkRequest request(String id) {
    return new WorkRequest(
        id,
        "q",
        "desk",
        "x",
        List.of(WorkStep.of(8, new TaskSize(8_000, 1, 0), 100)),
        0,
        2,
        1.6,
        60,
        1_500);
  }
}
