package org.burdockbay.core.share;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how {@link FairShares} ranks the waiting work of several flows. */
public class FairSharesTest {

  private static final FairShares.Flow NORTH = new FairShares.Flow("north", "q");
  private static final FairShares.Flow SOUTH = new FairShares.Flow("south", "q");
  private static final double MILLICORES = 100_000;
  private static final long SLACK_MILLIS = 200;

  /** Demand that takes the whole capacity for 20 ms. */
  private static final double DEMAND = 20 * MILLICORES;

  /** Rounds after which the tolerance, a constant amount, no longer counts. */
  private static final int ROUNDS = 3_000;

  private final Map<FairShares.Flow, Integer> started = new HashMap<>();
  private FairShares shares = new FairShares();
  private long now = 100_000;
  private int lastId;

  /** Starts each test without flows. */
  @BeforeMethod
  public void reset() {
    shares = new FairShares();
    started.clear();
  }

  /** Guards against a share that has no effect: two flows always wait, one with twice the share. */
  @Test
  public void startsTwiceAsMuchForTwiceTheShare() {
    serve(2, 1, ROUNDS);
    double ratio = (double) started.get(NORTH) / started.get(SOUTH);
    assertTrue(ratio > 1.9 && ratio < 2.1, "ratio " + ratio);
  }

  /** Guards against a changed share that takes effect late, or for what was started before. */
  @Test
  public void appliesChangedShareFromNextStart() {
    serve(1, 1, ROUNDS);
    started.clear();
    serve(2, 1, ROUNDS);
    double ratio = (double) started.get(NORTH) / started.get(SOUTH);
    assertTrue(ratio > 1.9 && ratio < 2.1, "ratio " + ratio);
  }

  /** Guards against a flow that saves up its unused share and then blocks the others. */
  @Test
  public void givesNoCreditForIdling() {
    serve(1, 0, 100);
    now += FairShares.IDLE_TIMEOUT_MILLIS + 1;
    shares.compare(List.of(work("n", NORTH, 1)), MILLICORES, now);
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    assertEquals(shares.delayMillis("n"), 0.0);
    assertEquals(shares.delayMillis("s"), 0.0);
  }

  /** Guards against a flow that is treated as over its share without any other flow. */
  @Test
  public void delaysNothingOfSingleFlow() {
    serve(1, 0, 100);
    shares.compare(List.of(work("n", NORTH, 1)), MILLICORES, now);
    assertEquals(shares.delayMillis("n"), 0.0);
    assertTrue(shares.excess("n").isEmpty());
  }

  /** Guards against short work that waits behind long work which only has a lower virtual time. */
  @Test
  public void delaysWorkByItsOwnSlackAtMost() {
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    shares.recordStart(NORTH, 1, 1_000 * DEMAND);
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    assertEquals(shares.delayMillis("n"), (double) SLACK_MILLIS);
    assertTrue(shares.excess("n").isPresent());
    assertTrue(shares.excess("s").isEmpty());
  }

  /** Guards against a flow that pays for one burst for longer than the burst. */
  @Test
  public void limitsExcess() {
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    shares.recordStart(NORTH, 1, 1_000 * DEMAND);
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    assertEquals(
        shares.excess("n").orElseThrow().virtualStart(),
        FairShares.MAX_EXCESS_MILLIS * MILLICORES,
        1.0);
  }

  /** Guards against an order that changes with small differences between flows. */
  @Test
  public void ignoresSmallExcess() {
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    shares.recordStart(NORTH, 1, FairShares.TOLERANCE_MILLIS * MILLICORES);
    shares.compare(List.of(work("n", NORTH, 1), work("s", SOUTH, 1)), MILLICORES, now);
    assertEquals(shares.delayMillis("n"), 0.0);
  }

  /** Guards against flows of different priorities that are compared with each other. */
  @Test
  public void comparesFlowsWithinPriority() {
    FairShares.WaitingWork other =
        new FairShares.WaitingWork(
            "low", new FairShares.Flow("south", "low"), 1, 1, now, SLACK_MILLIS, DEMAND);
    shares.compare(List.of(work("n", NORTH, 1), other), MILLICORES, now);
    shares.recordStart(NORTH, 1, 1_000 * DEMAND);
    shares.compare(List.of(work("n", NORTH, 1), other), MILLICORES, now);
    assertEquals(shares.delayMillis("n"), 0.0);
  }

  /** Guards against virtual times that are kept for ever, or that outlive the role. */
  @Test
  public void beginsEquallyAfterRetentionAndAfterClear() {
    List<FairShares.WaitingWork> both = List.of(work("n", NORTH, 1), work("s", SOUTH, 1));
    shares.compare(both, MILLICORES, now);
    shares.recordStart(NORTH, 1, 1_000 * DEMAND);
    shares.compare(both, MILLICORES, now + FairShares.FLOW_RETENTION_MILLIS + 1);
    assertEquals(shares.delayMillis("n"), 0.0);
    shares.recordStart(NORTH, 1, 1_000 * DEMAND);
    shares.clear();
    shares.compare(both, MILLICORES, now + FairShares.FLOW_RETENTION_MILLIS + 1);
    assertEquals(shares.delayMillis("n"), 0.0);
  }

  /** Guards against an excess of infinite size while a shard has no upstream. */
  @Test
  public void delaysNothingWithoutCapacity() {
    List<FairShares.WaitingWork> both = List.of(work("n", NORTH, 1), work("s", SOUTH, 1));
    shares.compare(both, 0, now);
    shares.recordStart(NORTH, 1, DEMAND);
    shares.compare(both, 0, now);
    assertEquals(shares.delayMillis("n"), 0.0);
  }

  /** Starts the first of the waiting work every 20 ms; a flow of share 0 has none. */
  private void serve(double northShare, double southShare, int rounds) {
    for (int round = 0; round < rounds; round++) {
      now += 20;
      List<FairShares.WaitingWork> waiting = new ArrayList<>();
      for (int i = 0; i < 3; i++) {
        lastId++;
        if (northShare > 0) {
          waiting.add(work("n" + lastId, NORTH, northShare));
        }
        if (southShare > 0) {
          waiting.add(work("s" + lastId, SOUTH, southShare));
        }
      }
      shares.compare(waiting, MILLICORES, now);
      FairShares.WaitingWork first =
          waiting.stream()
              .min(Comparator.comparingDouble(it -> shares.delayMillis(it.id())))
              .orElseThrow();
      shares.recordStart(first.flow(), first.share(), first.demand());
      started.merge(first.flow(), 1, Integer::sum);
    }
  }

  private FairShares.WaitingWork work(String id, FairShares.Flow flow, double share) {
    return new FairShares.WaitingWork(id, flow, 0, share, now + SLACK_MILLIS, SLACK_MILLIS, DEMAND);
  }
}
