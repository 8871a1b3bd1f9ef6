package org.burdockbay.core.intake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Plays single stories against a {@link WorkIntake}. */
public class WorkIntakeTest {

  private static final long MAX_ORPHANED_RUN_MILLIS = 1_200;
  private static final IntakeEvent.Dispatcher FIRST = new IntakeEvent.Dispatcher("a", 1);
  private static final IntakeEvent.Dispatcher SECOND = new IntakeEvent.Dispatcher("b", 2);
  private static final ShardId NORTH = new ShardId("north", 0);
  private static final ShardId SOUTH = new ShardId("south", 0);
  private static final WorkRequest WORK =
      new WorkRequest(
          "w",
          "q",
          "desk",
          "x",
          List.of(WorkStep.of(1, new TaskSize(1, 1, 0), 100)),
          0,
          2,
          1.6,
          60,
          2_500);

  private WorkIntake intake;
  private long now;

  /** Creates an intake without a dispatcher. */
  @BeforeMethod
  public void setUp() {
    intake = new WorkIntake("self", "north", MAX_ORPHANED_RUN_MILLIS);
    now = 1_000;
  }

  /** Work that arrives before the election is over waits for it. */
  @Test
  public void submitsOnceDispatcherIsKnown() {
    assertTrue(handle(new IntakeEvent.RequestReceived(1, WORK)).isEmpty());
    now += 300;
    IntakeEffect.Submit submit = submits(changeDispatcher(FIRST)).getFirst();
    assertEquals(submit.to(), FIRST);
    assertEquals(submit.ageMillis(), 300);
    assertEquals(submit.quietPeriodMillis(), 0);
  }

  /** Nobody dispatches for a second: the caller hears at once that nothing has run. */
  @Test
  public void refusesWithoutDispatcher() {
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 1_000;
    IntakeEffect.Answer answer = answers(handle(new IntakeEvent.Tick())).getFirst();
    assertTrue(answer.outcome() instanceof WorkOutcome.NotRun);
  }

  /**
   * The dispatcher is lost and has runs of this host's work. Its successor is told to start nothing
   * until they are over, counted from when the lost one was heard last.
   */
  @Test
  public void passesQuietPeriodToSuccessor() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 100;
    handle(new IntakeEvent.DispatcherMessageReceived("a"));
    now += 500;
    IntakeEffect.Submit moved = submits(changeDispatcher(SECOND)).getFirst();
    assertEquals(moved.quietPeriodMillis(), MAX_ORPHANED_RUN_MILLIS - 500);
  }

  /**
   * A task ran twice: a host that had stood still submitted new work to the dispatcher that it
   * knew, and in the same millisecond heard of another one, which started the work at once as well.
   */
  @Test
  public void passesFullQuietPeriodForWorkSubmittedAfterPause() {
    changeDispatcher(FIRST);
    now += 3_000;
    handle(new IntakeEvent.RequestReceived(1, WORK));
    assertEquals(
        submits(changeDispatcher(SECOND)).getFirst().quietPeriodMillis(), MAX_ORPHANED_RUN_MILLIS);
  }

  /** A host that dispatched by itself hears itself until the moment at which it gives way. */
  @Test
  public void countsOwnDispatcherAsContacted() {
    changeDispatcher(new IntakeEvent.Dispatcher("self", 1));
    now += 5_000;
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 400;
    assertEquals(
        submits(changeDispatcher(SECOND)).getFirst().quietPeriodMillis(), MAX_ORPHANED_RUN_MILLIS);
  }

  /** A successor's refusal says nothing about what the earlier dispatcher has run. */
  @Test
  public void doesNotReportNotRunAfterDispatchersChanged() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    changeDispatcher(SECOND);
    List<IntakeEffect> effects =
        handle(new IntakeEvent.OutcomeReported("b", "w", new WorkOutcome.NotRun("no room", 1_000)));
    assertTrue(answers(effects).getFirst().outcome() instanceof WorkOutcome.GivenUp);
  }

  /**
   * Two callers wait for the same work; each is answered once, and later reports change nothing.
   */
  @Test
  public void answersEveryWaitingCallerOnce() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.RequestReceived(2, WORK));
    IntakeEvent done = new IntakeEvent.OutcomeReported("a", "w", new WorkOutcome.Completed());
    assertEquals(answers(handle(done)).size(), 2);
    assertTrue(handle(done).isEmpty());
    assertEquals(intake.waitingCallers(), 0);
  }

  /** The dispatcher hears that a caller has left only once nobody waits any more. */
  @Test
  public void cancelsWhenTheLastCallerLeaves() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.RequestReceived(2, WORK));
    assertTrue(cancels(handle(new IntakeEvent.CallerDisconnected(1))).isEmpty());
    assertEquals(cancels(handle(new IntakeEvent.CallerDisconnected(2))).size(), 1);
  }

  /** A message or its answer was lost: the work is submitted again, under the same ticket. */
  @Test
  public void resubmitsWorkWithoutOutcome() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(9, WORK));
    now += 400;
    assertEquals(submits(handle(new IntakeEvent.Tick())).getFirst().ticket(), 9);
  }

  /** No outcome comes before the caller leaves: it is told, and the dispatcher too. */
  @Test
  public void givesUpWhenCallerBudgetIsExceeded() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 2_500;
    List<IntakeEffect> effects = handle(new IntakeEvent.Tick());
    assertTrue(answers(effects).getFirst().outcome() instanceof WorkOutcome.GivenUp);
    assertEquals(cancels(effects).size(), 1);
  }

  /**
   * A connection broke just as a caller had left, and its job went on at the first shard while the
   * caller, back elsewhere, had it run at a second one.
   */
  @Test
  public void resendsCancellationsAfterReconnect() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.CallerDisconnected(1));
    now += 1_400;
    assertEquals(cancels(handle(new IntakeEvent.PeerReconnected("a"))).getFirst().to(), FIRST);
    now += 200;
    handle(new IntakeEvent.Tick());
    assertTrue(cancels(handle(new IntakeEvent.PeerReconnected("a"))).isEmpty());
  }

  /** A caller was back at once, and a cancellation that was repeated dropped its new submission. */
  @Test
  public void doesNotCancelResubmittedWork() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.CallerDisconnected(1));
    handle(new IntakeEvent.RequestReceived(2, WORK));
    assertTrue(cancels(handle(new IntakeEvent.PeerReconnected("a"))).isEmpty());
  }

  /** All entry hosts took the first of the shards, while the others had room. */
  @Test
  public void choosesShardWithMoreFreeCapacity() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 0);
    reportLoad("b", 40);
    assertEquals(submits(handle(new IntakeEvent.RequestReceived(1, WORK))).getFirst().to(), SECOND);
  }

  /** A job crossed the network between domains, though its own domain had room. */
  @Test
  public void prefersOwnDomainWhileItHasCapacity() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    reportLoad("b", 40);
    assertEquals(submits(handle(new IntakeEvent.RequestReceived(1, WORK))).getFirst().to(), FIRST);
  }

  /** A caller was refused by a full shard, while another one had room. */
  @Test
  public void offersRefusedWorkToShardsWithCapacity() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    reportLoad("b", 10);
    IntakeEffect.Submit spilled = submits(refuse("a")).getFirst();
    assertEquals(spilled.to(), SECOND);
    assertEquals(spilled.quietPeriodMillis(), 0);
    assertTrue(
        refuse("a").stream().allMatch(IntakeEffect.LogEvent.class::isInstance), "a late copy");
    IntakeEffect.Answer answer = answers(refuse("b")).getFirst();
    assertTrue(answer.outcome() instanceof WorkOutcome.NotRun);
  }

  /** A caller heard "not run" of a job that the next shard had just begun. */
  @Test
  public void ignoresLateRefusalOfEarlierShard() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    changeDispatchers(Map.of(SOUTH, SECOND));
    now += 500;
    IntakeEffect.Submit moved = submits(handle(new IntakeEvent.Tick())).getFirst();
    assertEquals(moved.to(), SECOND);
    assertTrue(moved.quietPeriodMillis() > 0, "the first shard's runs may go on");
    assertTrue(answers(refuse("a")).isEmpty());
    assertTrue(answers(refuse("b")).getFirst().outcome() instanceof WorkOutcome.GivenUp);
  }

  /** The first shard has done the job after all: the caller hears so, and the second one stops. */
  @Test
  public void acceptsCompletionFromAnyShardThatHadWork() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    changeDispatchers(Map.of(SOUTH, SECOND));
    now += 500;
    handle(new IntakeEvent.Tick());
    List<IntakeEffect> effects =
        handle(new IntakeEvent.OutcomeReported("a", "w", new WorkOutcome.Completed()));
    assertEquals(answers(effects).size(), 1);
    assertEquals(cancels(effects).getFirst().to(), SECOND);
  }

  /** A shard lost its dispatcher for a moment, and its jobs went elsewhere and had to wait. */
  @Test
  public void keepsWorkAtShardUntilSuccessorAppears() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    changeDispatchers(Map.of(SOUTH, SECOND));
    now += 400;
    assertTrue(submits(handle(new IntakeEvent.Tick())).isEmpty());
    IntakeEvent.Dispatcher successor = new IntakeEvent.Dispatcher("c", 3);
    List<IntakeEffect> effects = changeDispatchers(Map.of(NORTH, successor, SOUTH, SECOND));
    assertEquals(submits(effects).getFirst().to(), successor);
  }

  private List<IntakeEffect> handle(IntakeEvent event) {
    return intake.handle(event, now);
  }

  private List<IntakeEffect> changeDispatchers(Map<ShardId, IntakeEvent.Dispatcher> dispatchers) {
    return handle(new IntakeEvent.DispatchersChanged(dispatchers));
  }

  private void reportLoad(String host, int freeCores) {
    handle(new IntakeEvent.LoadReported(host, new DomainLoad(freeCores, 0)));
  }

  private List<IntakeEffect> refuse(String host) {
    return handle(
        new IntakeEvent.OutcomeReported(host, "w", new WorkOutcome.NotRun("no room", 1_000)));
  }

  private List<IntakeEffect> changeDispatcher(IntakeEvent.Dispatcher dispatcher) {
    return handle(new IntakeEvent.DispatchersChanged(Map.of(ShardId.WHOLE_FLEET, dispatcher)));
  }

  private static List<IntakeEffect.Submit> submits(List<IntakeEffect> effects) {
    return effectsOfType(effects, IntakeEffect.Submit.class);
  }

  private static List<IntakeEffect.Answer> answers(List<IntakeEffect> effects) {
    return effectsOfType(effects, IntakeEffect.Answer.class);
  }

  private static List<IntakeEffect.Cancel> cancels(List<IntakeEffect> effects) {
    return effectsOfType(effects, IntakeEffect.Cancel.class);
  }

  private static <T> List<T> effectsOfType(List<IntakeEffect> effects, Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
