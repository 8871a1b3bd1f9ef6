package org.burdockbay.core.intake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a {@link WorkIntake} with single sequences of events. */
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

  private static final WorkRequest OTHER =
      new WorkRequest("other", "q", "desk", "x", WORK.steps(), 0, 2, 1.6, 60, 2_500);

  private WorkIntake intake;
  private long now;

  /** Creates an intake without dispatchers. */
  @BeforeMethod
  public void setUp() {
    intake = new WorkIntake("self", "north", MAX_ORPHANED_RUN_MILLIS);
    now = 1_000;
  }

  /** Guards against losing work that arrives during an election: it waits for the dispatcher. */
  @Test
  public void submitsOnceDispatcherIsKnown() {
    assertTrue(handle(new IntakeEvent.RequestReceived(1, WORK)).isEmpty());
    now += 300;
    IntakeEffect.Submit submit = submits(changeDispatcher(FIRST)).getFirst();
    assertEquals(submit.to(), FIRST);
    assertEquals(submit.ageMillis(), 300);
    assertEquals(submit.quietPeriodMillis(), 0);
  }

  /**
   * Guards against a caller that waits for its whole timeout without a dispatcher: after one second
   * it is answered that nothing has run.
   */
  @Test
  public void refusesWithoutDispatcher() {
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 1_000;
    IntakeEffect.Answer answer = answers(handle(new IntakeEvent.Tick())).getFirst();
    assertTrue(answer.outcome() instanceof WorkOutcome.NotRun);
  }

  /**
   * Guards against a second run after a dispatcher with runs of this host's work is lost. Its
   * successor must start nothing until they have ended, counted from the last contact with the lost
   * dispatcher.
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

  /** Guards against work that goes on after a caller has cancelled it. */
  @Test
  public void cancelsWorkAtItsDispatcherAndAnswersItsCallers() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.RequestReceived(2, WORK));
    assertTrue(intake.holds(WORK.id()));
    List<IntakeEffect> effects = handle(new IntakeEvent.CancelRequested(WORK.id()));
    assertEquals(answers(effects).size(), 2);
    assertTrue(answers(effects).getFirst().outcome() instanceof WorkOutcome.Failed);
    assertTrue(effects.contains(new IntakeEffect.Cancel(FIRST, WORK.id())));
    assertFalse(intake.holds(WORK.id()));
    now += 400;
    assertTrue(submits(handle(new IntakeEvent.Tick())).isEmpty());
  }

  /** Guards against cancelling work that no caller of this host waits for. */
  @Test
  public void ignoresCancellationOfUnknownWork() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    assertTrue(handle(new IntakeEvent.CancelRequested("unknown")).isEmpty());
    assertTrue(intake.holds(WORK.id()));
  }

  /**
   * Guards against a dispatcher that counts as receiving messages because it sent something other
   * than a heartbeat, which doesn't report the contact.
   */
  @Test
  public void otherMessagesReportNoContact() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    reportContact("a", 500);
    handle(new IntakeEvent.DispatcherMessageReceived("a"));
    assertEquals(submits(handle(new IntakeEvent.RequestReceived(1, WORK))).getFirst().to(), SECOND);
  }

  /**
   * Guards against a task that runs twice. After a pause, a host submitted new work to the
   * dispatcher that it knew, and discovered another one in the same millisecond, which started the
   * work immediately as well.
   */
  @Test
  public void passesFullQuietPeriodForWorkSubmittedAfterPause() {
    changeDispatcher(FIRST);
    now += 3_000;
    handle(new IntakeEvent.RequestReceived(1, WORK));
    assertEquals(
        submits(changeDispatcher(SECOND)).getFirst().quietPeriodMillis(), MAX_ORPHANED_RUN_MILLIS);
  }

  /**
   * Guards against a quiet period that is too short after this host was itself the dispatcher: it
   * was in contact with itself until another host took over.
   */
  @Test
  public void countsOwnDispatcherAsContacted() {
    changeDispatcher(new IntakeEvent.Dispatcher("self", 1));
    now += 5_000;
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 400;
    assertEquals(
        submits(changeDispatcher(SECOND)).getFirst().quietPeriodMillis(), MAX_ORPHANED_RUN_MILLIS);
  }

  /**
   * Guards against reporting work as not run when a successor refuses it: the earlier dispatcher
   * may have run it.
   */
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
   * Guards against a missing or second answer when two callers wait for the same work. Later
   * reports of the outcome change nothing.
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

  /** Guards against cancelling work for which another caller still waits. */
  @Test
  public void cancelsWhenTheLastCallerLeaves() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.RequestReceived(2, WORK));
    assertTrue(cancels(handle(new IntakeEvent.CallerDisconnected(1))).isEmpty());
    assertEquals(cancels(handle(new IntakeEvent.CallerDisconnected(2))).size(), 1);
  }

  /** Guards against a lost submission or report: the work is resubmitted under the same ticket. */
  @Test
  public void resubmitsWorkWithoutOutcome() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(9, WORK));
    now += 400;
    assertEquals(submits(handle(new IntakeEvent.Tick())).getFirst().ticket(), 9);
  }

  /**
   * Guards against a caller without an answer and a run without a caller: once the caller's time
   * budget is exceeded, the caller is answered and the work is cancelled.
   */
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
   * Guards against a job that runs on two shards. A connection broke just after the caller had
   * left, so the cancellation was lost and the job continued at the first shard, while the caller's
   * retry at another host had it run at a second one.
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

  /**
   * Guards against a resent cancellation that drops the new submission of a caller which retried
   * immediately.
   */
  @Test
  public void doesNotCancelResubmittedWork() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    handle(new IntakeEvent.CallerDisconnected(1));
    handle(new IntakeEvent.RequestReceived(2, WORK));
    assertTrue(cancels(handle(new IntakeEvent.PeerReconnected("a"))).isEmpty());
  }

  /** Guards against entry hosts that all select the first shard while others have free capacity. */
  @Test
  public void choosesShardWithMoreFreeCapacity() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 0);
    reportLoad("b", 40);
    assertEquals(submits(handle(new IntakeEvent.RequestReceived(1, WORK))).getFirst().to(), SECOND);
  }

  /** Guards against sending a job to another failure domain while its own has free capacity. */
  @Test
  public void prefersOwnDomainWhileItHasCapacity() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    reportLoad("b", 40);
    assertEquals(submits(handle(new IntakeEvent.RequestReceived(1, WORK))).getFirst().to(), FIRST);
  }

  /** Guards against refusing a caller because one shard is full while another has free capacity. */
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
        refuse("a").stream().allMatch(IntakeEffect.LogEvent.class::isInstance), "a late duplicate");
    IntakeEffect.Answer answer = answers(refuse("b")).getFirst();
    assertTrue(answer.outcome() instanceof WorkOutcome.NotRun);
  }

  /** Guards against a report of "not run" for a job that the next shard has just started. */
  @Test
  public void ignoresLateRefusalOfEarlierShard() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    changeDispatchers(Map.of(SOUTH, SECOND));
    now += 500;
    IntakeEffect.Submit moved = submits(handle(new IntakeEvent.Tick())).getFirst();
    assertEquals(moved.to(), SECOND);
    assertTrue(moved.quietPeriodMillis() > 0, "the first shard's runs may continue");
    assertTrue(answers(refuse("a")).isEmpty());
    assertTrue(answers(refuse("b")).getFirst().outcome() instanceof WorkOutcome.GivenUp);
  }

  /**
   * Guards against ignoring the completion of a job by the first shard after the job was moved: the
   * caller is answered, and the second shard's work is cancelled.
   */
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

  /**
   * Guards against moving jobs to another shard, where they have to wait for the quiet period, when
   * their shard is without a dispatcher only briefly.
   */
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

  /** Guards against submitting new work to a shard whose domain is evacuated. */
  @Test
  public void submitsNothingToEvacuatedShards() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    evacuate(Set.of("north"), false);
    List<IntakeEffect> effects = handle(new IntakeEvent.RequestReceived(1, WORK));
    assertEquals(submits(effects).getFirst().to(), SECOND);
  }

  /** Guards against a refusal while other shards have room, as evacuated shards refused. */
  @Test
  public void offersWorkRefusedByEvacuatedShardsElsewhere() {
    IntakeEvent.Dispatcher third = new IntakeEvent.Dispatcher("c", 3);
    changeDispatchers(Map.of(NORTH, FIRST, new ShardId("north", 1), SECOND, SOUTH, third));
    reportLoad("a", 10);
    reportLoad("b", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    evacuate(Set.of("north"), false);
    List<IntakeEffect> effects = refuse("a");
    effects = submits(effects).isEmpty() ? refuse("b") : effects;
    assertEquals(submits(effects).getFirst().to(), third);
    assertTrue(answers(effects).isEmpty());
  }

  /** Guards against callers that wait although all domains are evacuated. */
  @Test
  public void refusesAtOnceWhenAllDomainsAreEvacuated() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    evacuate(Set.of("north", "south"), true);
    List<IntakeEffect> effects = handle(new IntakeEvent.RequestReceived(1, WORK));
    assertTrue(submits(effects).isEmpty());
    assertTrue(answers(effects).getFirst().outcome() instanceof WorkOutcome.NotRun);
  }

  /** Guards against giving up work that an evacuated shard has started and will finish. */
  @Test
  public void keepsWorkThatEvacuatedShardHasStarted() {
    changeDispatchers(Map.of(NORTH, FIRST));
    handle(new IntakeEvent.RequestReceived(1, WORK));
    evacuate(Set.of("north"), false);
    now += 1_100;
    handle(new IntakeEvent.DispatcherMessageReceived("a"));
    assertTrue(answers(handle(new IntakeEvent.Tick())).isEmpty());
    List<IntakeEffect> effects =
        handle(new IntakeEvent.OutcomeReported("a", "w", new WorkOutcome.Completed()));
    assertEquals(answers(effects).getFirst().outcome(), new WorkOutcome.Completed());
  }

  /** Guards against new work for a dispatcher whose heartbeats arrive but that receives nothing. */
  @Test
  public void leavesDispatcherThatReceivesNothing() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 500;
    assertTrue(submits(reportContact("a", 500)).isEmpty());
    assertEquals(
        submits(handle(new IntakeEvent.RequestReceived(2, OTHER))).getFirst().to(), SECOND);
    now += 600;
    reportContact("a", 1_100);
    assertTrue(submits(handle(new IntakeEvent.Tick())).stream().noneMatch(this::isMoved));
  }

  /** Guards against leaving a dispatcher for good that receives messages again. */
  @Test
  public void returnsToDispatcherThatReceivesMessagesAgain() {
    changeDispatchers(Map.of(NORTH, FIRST, SOUTH, SECOND));
    reportLoad("a", 10);
    reportContact("a", 500);
    now += 150;
    reportContact("a", 20);
    reportLoad("a", 10);
    assertEquals(submits(handle(new IntakeEvent.RequestReceived(1, WORK))).getFirst().to(), FIRST);
  }

  private boolean isMoved(IntakeEffect.Submit submit) {
    return submit.request().equals(WORK) && !submit.to().equals(FIRST);
  }

  private List<IntakeEffect> reportContact(String host, long ageMillis) {
    return handle(new IntakeEvent.DispatcherMessageReceived(host, OptionalLong.of(ageMillis)));
  }

  private List<IntakeEffect> evacuate(Set<String> domains, boolean complete) {
    return handle(new IntakeEvent.EvacuationsChanged(domains, complete));
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

  /** Guards against work that ends the processes of one dispatcher after the other. */
  @Test
  public void givesUpWorkAfterTwoDispatchersWereLost() {
    changeDispatcher(FIRST);
    handle(new IntakeEvent.RequestReceived(1, WORK));
    now += 460;
    assertEquals(submits(changeDispatcher(SECOND)).getFirst().to(), SECOND);
    now += 460;
    assertTrue(submits(changeDispatcher(new IntakeEvent.Dispatcher("c", 3))).isEmpty());
    IntakeEffect.Answer answer = answers(handle(new IntakeEvent.Tick())).getFirst();
    assertTrue(answer.outcome() instanceof WorkOutcome.GivenUp, answer.toString());
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
