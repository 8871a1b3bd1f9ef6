package org.burdockbay.core.intake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how a {@link WorkIntake} holds and releases work after a restart. */
public class HeldWorkTest {

  private static final long MAX_ORPHANED_RUN_MILLIS = 1_200;
  private static final long BUDGET_MILLIS = 1_546;
  private static final long TICK_MILLIS = 25;
  private static final ShardId FIRST_SHARD = new ShardId("north", 0);
  private static final ShardId SECOND_SHARD = new ShardId("north", 1);
  private static final IntakeEvent.Dispatcher FIRST = new IntakeEvent.Dispatcher("a", 1);
  private static final IntakeEvent.Dispatcher SECOND = new IntakeEvent.Dispatcher("b", 2);
  private static final SchedulingOptions STAGED =
      SchedulingOptions.builder().stagedRecovery(true).build();

  private WorkIntake intake;
  private long lastTicket;
  private long now;

  /** Starts an entry host of a domain with two shards. */
  @BeforeMethod
  public void setUp() {
    start(STAGED, Set.of(FIRST_SHARD, SECOND_SHARD));
  }

  /**
   * Guards against refusing all work that waits during a total restart after a second, although
   * dispatchers come in time to serve it.
   */
  @Test
  public void holdsWorkAsLongAsItCanEndInTime() {
    submit("w", 0, 200);
    List<IntakeEffect> effects = tickFor(BUDGET_MILLIS - 200);
    assertEquals(answers(effects), List.of());
    assertTrue(!submits(appear(FIRST_SHARD, FIRST, SECOND_SHARD, SECOND)).isEmpty());
  }

  /** Guards against a caller that is kept waiting for an answer which can't come in time. */
  @Test
  public void refusesWorkThatCannotEndInTimeOnce() {
    submit("w", 0, 200);
    List<IntakeEffect> effects = tickFor(BUDGET_MILLIS + 1_000);
    assertEquals(answers(effects).size(), 1);
    IntakeEffect.Answer answer = answers(effects).getFirst();
    assertTrue(answer.outcome() instanceof WorkOutcome.NotRun);
    assertTrue(answer.ageMillis() <= BUDGET_MILLIS - 200 + TICK_MILLIS, "age " + answer);
    assertEquals(submits(appear(FIRST_SHARD, FIRST)), List.of());
  }

  /** Guards against refused callers that all return at the same time and are refused again. */
  @Test
  public void spreadsRetriesOverOneSecond() {
    for (int i = 0; i < 20; i++) {
      submit("w" + i, 0, 200);
    }
    Set<Long> delays = new HashSet<>();
    for (IntakeEffect.Answer answer : answers(tickFor(BUDGET_MILLIS))) {
      delays.add(((WorkOutcome.NotRun) answer.outcome()).retryAfterMillis());
    }
    assertTrue(delays.size() > 15, "delays " + delays);
    assertTrue(delays.stream().allMatch(delay -> delay >= 1_000 && delay <= 2_000));
  }

  /** Guards against late work that is submitted before work which can still be prompt. */
  @Test
  public void releasesPromptWorkFirstThenByPriorityAndLatestStart() {
    submit("late", 0, 100);
    now += 500;
    submit("low", 2, 900);
    submit("later", 1, 300);
    submit("sooner", 1, 200);
    submit("high", 0, 100);
    List<IntakeEffect> effects = appear(FIRST_SHARD, FIRST, SECOND_SHARD, SECOND);
    assertEquals(
        submits(effects).stream().map(submit -> submit.request().id()).toList(),
        List.of("high", "sooner", "later", "low", "late"));
  }

  /**
   * Guards against sending all work that has waited to the first dispatcher of the domain, which
   * would refuse most of it while the others are about to appear.
   */
  @Test
  public void keepsShareOfShardsThatAppearLater() {
    for (int i = 0; i < 20; i++) {
      submit("w" + i, 0, 200);
    }
    int first = submits(appear(FIRST_SHARD, FIRST)).size();
    assertTrue(first >= 5 && first <= 15, "released " + first);
    List<IntakeEffect> effects = appear(FIRST_SHARD, FIRST, SECOND_SHARD, SECOND);
    assertEquals(submits(effects).size(), 20 - first);
  }

  /** Guards against work that waits for the shard of a domain with too few hosts. */
  @Test
  public void submitsToOtherShardsIfOneNeverAppears() {
    for (int i = 0; i < 10; i++) {
      submit("w" + i, 0, 100);
    }
    int first = submits(appear(FIRST_SHARD, FIRST)).size();
    assertNotEquals(first, 10);
    List<IntakeEffect> effects = tickFor(HeldWork.MAX_SHARD_WAIT_MILLIS);
    assertEquals(uniqueSubmitted(effects, FIRST).size(), 10);
  }

  /** Guards against flooding the process of a dispatcher that has just started. */
  @Test
  public void limitsUnconfirmedWorkAtNewDispatcher() {
    for (int i = 0; i < 60; i++) {
      submit("w" + i, 0, 900);
    }
    List<IntakeEffect> effects = appear(FIRST_SHARD, FIRST, SECOND_SHARD, SECOND);
    assertEquals(uniqueSubmitted(effects, FIRST).size(), HeldWork.MAX_UNCONFIRMED);
    assertEquals(uniqueSubmitted(effects, SECOND).size(), HeldWork.MAX_UNCONFIRMED);
    assertEquals(submits(tickFor(100)), List.of());
    effects = tickFor(HeldWork.COLD_DISPATCHER_MILLIS);
    Set<String> all = uniqueSubmitted(effects, FIRST);
    all.addAll(uniqueSubmitted(effects, SECOND));
    assertEquals(all.size(), 60);
  }

  /** Guards against a limit that isn't raised although the dispatcher has handled its work. */
  @Test
  public void submitsMoreOnceWorkIsConfirmed() {
    for (int i = 0; i < 60; i++) {
      submit("w" + i, 0, 900);
    }
    List<IntakeEffect> effects = appear(FIRST_SHARD, FIRST, SECOND_SHARD, SECOND);
    String answered = uniqueSubmitted(effects, FIRST).iterator().next();
    handle(new IntakeEvent.OutcomeReported("a", answered, new WorkOutcome.Completed()));
    assertEquals(uniqueSubmitted(tickFor(TICK_MILLIS), FIRST).size(), 1);
    now += 50;
    handle(new IntakeEvent.DispatcherMessageReceived("a", OptionalLong.of(200)));
    assertEquals(submits(tickFor(TICK_MILLIS)), List.of());
    handle(new IntakeEvent.DispatcherMessageReceived("a", OptionalLong.of(5)));
    assertTrue(uniqueSubmitted(tickFor(TICK_MILLIS), FIRST).size() >= 10);
  }

  /** Guards against holding work that its dispatcher may run, which its successor has to get. */
  @Test
  public void passesSubmittedWorkToSuccessorAtOnce() {
    appear(FIRST_SHARD, FIRST, SECOND_SHARD, SECOND);
    List<IntakeEffect> submitted = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      submitted.addAll(submit("w" + i, 0, 900));
    }
    now += 50;
    IntakeEvent.Dispatcher successor = new IntakeEvent.Dispatcher("c", 3);
    List<IntakeEffect> effects = appear(FIRST_SHARD, successor, SECOND_SHARD, SECOND);
    assertEquals(
        uniqueSubmitted(effects, successor), uniqueSubmitted(submitted, FIRST), "moved work");
  }

  /** Guards against changes where the option is off or the fleet isn't divided. */
  @Test
  public void givesUpAfterOneSecondInUndividedFleets() {
    start(STAGED, Set.of(ShardId.WHOLE_FLEET));
    submit("w", 0, 200);
    assertEquals(answers(tickFor(1_000)).size(), 1);
    start(SchedulingOptions.NONE, Set.of(FIRST_SHARD, SECOND_SHARD));
    submit("w", 0, 200);
    IntakeEffect.Answer answer = answers(tickFor(1_000)).getFirst();
    assertEquals(((WorkOutcome.NotRun) answer.outcome()).retryAfterMillis(), 1_000);
  }

  private void start(SchedulingOptions options, Set<ShardId> ownShards) {
    now = 10_000;
    intake = new WorkIntake("self", "north", MAX_ORPHANED_RUN_MILLIS, options);
    handle(new IntakeEvent.OwnShardsChanged(ownShards));
  }

  private List<IntakeEffect> submit(String id, int priority, long estimateMillis) {
    lastTicket++;
    WorkStep step = WorkStep.of(1, new TaskSize(1, 1, 0), estimateMillis);
    return handle(
        new IntakeEvent.RequestReceived(
            lastTicket,
            new WorkRequest(
                id, "q", "desk", "x", List.of(step), priority, 2, 1.6, 60, BUDGET_MILLIS)));
  }

  private List<IntakeEffect> appear(ShardId shard, IntakeEvent.Dispatcher dispatcher) {
    return handle(new IntakeEvent.DispatchersChanged(Map.of(shard, dispatcher)));
  }

  private List<IntakeEffect> appear(
      ShardId shard,
      IntakeEvent.Dispatcher dispatcher,
      ShardId other,
      IntakeEvent.Dispatcher otherDispatcher) {
    return handle(
        new IntakeEvent.DispatchersChanged(Map.of(shard, dispatcher, other, otherDispatcher)));
  }

  private List<IntakeEffect> tickFor(long millis) {
    List<IntakeEffect> effects = new ArrayList<>();
    for (long end = now + millis; now < end; ) {
      now = Math.min(end, now + TICK_MILLIS);
      effects.addAll(handle(new IntakeEvent.Tick()));
    }
    return effects;
  }

  private List<IntakeEffect> handle(IntakeEvent event) {
    return intake.handle(event, now);
  }

  /** Returns the ids of the work that was submitted to a dispatcher. */
  private static Set<String> uniqueSubmitted(
      List<IntakeEffect> effects, IntakeEvent.Dispatcher dispatcher) {
    Set<String> ids = new HashSet<>();
    submits(effects).stream()
        .filter(submit -> submit.to().equals(dispatcher))
        .forEach(submit -> ids.add(submit.request().id()));
    return ids;
  }

  private static List<IntakeEffect.Submit> submits(List<IntakeEffect> effects) {
    return effectsOfType(effects, IntakeEffect.Submit.class);
  }

  private static List<IntakeEffect.Answer> answers(List<IntakeEffect> effects) {
    return effectsOfType(effects, IntakeEffect.Answer.class);
  }

  private static <T> List<T> effectsOfType(List<IntakeEffect> effects, Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
