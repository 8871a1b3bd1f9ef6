package org.burdockbay.core.intake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a {@link WorkIntake} that routes by predicted completion. */
public class PredictiveRoutingTest {

  private static final ShardId NORTH = new ShardId("north", 0);
  private static final ShardId OTHER_NORTH = new ShardId("north", 1);
  private static final ShardId SOUTH = new ShardId("south", 0);
  private static final IntakeEvent.Dispatcher FIRST = new IntakeEvent.Dispatcher("a", 1);
  private static final IntakeEvent.Dispatcher SECOND = new IntakeEvent.Dispatcher("b", 2);
  private static final long USUAL_RETRY_MILLIS = 1_000;

  private WorkIntake intake;
  private long now;

  /** Creates an intake in the north without dispatchers. */
  @BeforeMethod
  public void setUp() {
    SchedulingOptions options = SchedulingOptions.builder().predictiveRouting(true).build();
    intake = new WorkIntake("self", "north", 1_225, options);
    now = 1_000;
  }

  /** Guards against a choice by free cores alone where all shards have a wait. */
  @Test
  public void selectsShortestWaitInDividedFleet() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 0, 200);
    reportLoad("b", 0, 20);
    for (int i = 0; i < 10; i++) {
      List<IntakeEffect> effects = receive("w" + i);
      assertEquals(submittedTo(effects), SECOND);
      assertTrue(effects.stream().anyMatch(PredictiveRoutingTest::isRoutingEvent));
    }
  }

  /** Guards against another rule for fleets that have one dispatcher or one domain. */
  @Test
  public void selectsByFreeCoresInOtherFleets() {
    changeDispatchers(Map.of(NORTH, FIRST, OTHER_NORTH, SECOND));
    reportLoad("a", 3, 200);
    reportLoad("b", 0, 20);
    for (int i = 0; i < 10; i++) {
      List<IntakeEffect> effects = receive("w" + i);
      assertEquals(submittedTo(effects), FIRST);
      assertTrue(effects.stream().noneMatch(PredictiveRoutingTest::isRoutingEvent));
    }
    assertEquals(retryAfterRefusal("w1", "a"), USUAL_RETRY_MILLIS);
    changeDispatchers(Map.of(ShardId.WHOLE_FLEET, FIRST));
    receive("w20");
    assertEquals(retryAfterRefusal("w20", "a"), USUAL_RETRY_MILLIS);
  }

  /** Guards against refusals that send all callers back after the same time. */
  @Test
  public void derivesRetryIntervalFromPredictedWaits() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 0, 1_200);
    reportLoad("b", 0, 2_000);
    receive("w1");
    receive("w2");
    long first = retryAfterRefusal("w1", "a");
    long second = retryAfterRefusal("w2", "a");
    assertTrue(first >= 1_200 && first <= 2_400, "retry after " + first);
    assertNotEquals(first, second);
  }

  /** Guards against the usual interval in refusals that the entry host makes itself. */
  @Test
  public void spreadsRetriesOfWorkWithoutDispatcher() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    changeDispatchers(Map.of());
    receive("w1");
    receive("w2");
    now += 1_000;
    List<Long> intervals = retryIntervals(handle(new IntakeEvent.Tick()));
    assertEquals(intervals.size(), 2);
    assertNotEquals(intervals.getFirst(), intervals.getLast());
    assertTrue(intervals.stream().allMatch(it -> it >= 1_000 && it <= 2_000), "" + intervals);
  }

  private static boolean isRoutingEvent(IntakeEffect effect) {
    return effect instanceof IntakeEffect.LogEvent logged && logged.event().equals("work-routed");
  }

  private List<IntakeEffect> receive(String id) {
    WorkStep step = WorkStep.of(1, new TaskSize(1_000, 1, 0), 100);
    return handle(
        new IntakeEvent.RequestReceived(
            id.hashCode(),
            new WorkRequest(id, "q", "desk", "x", List.of(step), 0, 2, 1.6, 60, 2_500)));
  }

  private long retryAfterRefusal(String id, String host) {
    WorkOutcome refusal = new WorkOutcome.NotRun("no room in time", USUAL_RETRY_MILLIS);
    return retryIntervals(handle(new IntakeEvent.OutcomeReported(host, id, refusal))).getFirst();
  }

  private static List<Long> retryIntervals(List<IntakeEffect> effects) {
    return effects.stream()
        .filter(IntakeEffect.Answer.class::isInstance)
        .map(IntakeEffect.Answer.class::cast)
        .map(answer -> ((WorkOutcome.NotRun) answer.outcome()).retryAfterMillis())
        .toList();
  }

  private static IntakeEvent.Dispatcher submittedTo(List<IntakeEffect> effects) {
    return effects.stream()
        .filter(IntakeEffect.Submit.class::isInstance)
        .map(IntakeEffect.Submit.class::cast)
        .findFirst()
        .orElseThrow()
        .to();
  }

  private void reportLoad(String host, int freeCores, long waitMillis) {
    handle(new IntakeEvent.LoadReported(host, new DomainLoad(freeCores, waitMillis, 100)));
  }

  private void changeDispatchers(Map<ShardId, IntakeEvent.Dispatcher> dispatchers) {
    handle(new IntakeEvent.DispatchersChanged(dispatchers));
  }

  private List<IntakeEffect> handle(IntakeEvent event) {
    return intake.handle(event, now);
  }
}
