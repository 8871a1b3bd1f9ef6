package org.burdockbay.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests a {@link LeaseDispatcher} with an upstream that restarts under its id and address, so that
 * orders to the earlier instance reach the later one.
 */
public class RestartedUpstreamTest {

  private static final long TOKEN = 1_000;
  private static final long EARLIER = 1;
  private static final long LATER = 2;
  private static final TaskSize SIZE = new TaskSize(16_000, 64, 0);
  private static final ShardId OWN_SHARD = new ShardId("north", 0);
  private static final ShardId OTHER_SHARD = new ShardId("south", 0);

  /** Ways in which the later instance is seen first. */
  enum Discovery {
    ANNOUNCEMENT,
    LIST,
    ANSWER_TO_OTHER_START,
    ANSWER_TO_STOP
  }

  private final Map<String, LeaseEffect.Renew> openRenewals = new HashMap<>();
  private final List<LeaseEffect> effects = new ArrayList<>();
  private LeaseDispatcher dispatcher;
  private UpstreamAnnouncement upstream;
  private long now;

  /** Creates a dispatcher with one upstream, on which the first tasks start. */
  @BeforeMethod
  public void setUp() {
    dispatcher = new LeaseDispatcher("self", LeaseTiming.DEFAULT);
    openRenewals.clear();
    effects.clear();
    now = 10_000;
    handle(new LeaseEvent.RoleGained(TOKEN));
    upstream = instance("u1", EARLIER);
    addUpstream(upstream);
  }

  /** Guards against starting a task elsewhere whose run the later instance has confirmed. */
  @Test
  public void keepsRunThatLaterInstanceConfirms() {
    RunId run = start("w", 1).getFirst();
    addUpstream(instance("u2", EARLIER));
    answerStart(run, OrderResult.DONE, LATER);
    assertTrue(newStarts().isEmpty(), "the run is under way at the later instance");
    answerRenewal("u1", LATER, List.of(run), List.of());
    answerRenewal("u1", LATER, List.of(), List.of(new RunEnd(1, run, RunEnd.Cause.DONE)));
    assertTrue(newStarts().isEmpty());
    assertEquals(effectsOfType(LeaseEffect.Report.class).size(), 1);
  }

  /** Guards against a delay of tasks whose runs are known to be gone with their instance. */
  @Test
  public void startsRunsOfEarlierInstanceElsewhereAtOnce() {
    RunId run = start("w", 1).getFirst();
    answerStart(run, OrderResult.DONE, EARLIER);
    addUpstream(instance("u2", EARLIER));
    handle(new LeaseEvent.Announced(instance("u1", LATER)));
    assertEquals(newStarts().getFirst().upstream().id(), "u2");
  }

  /** Returns all ways in which the later instance is seen first. */
  @DataProvider
  public Object[] discoveries() {
    return Discovery.values();
  }

  /** Guards against starting a task elsewhere while its start may be carried out late. */
  @Test(dataProvider = "discoveries")
  public void stopsUnansweredStartAtLaterInstanceBeforeTaskStartsElsewhere(Discovery discovery) {
    RunId run = discover(discovery);
    addUpstream(instance("u2", EARLIER));
    assertFalse(startsAgain(run), "the start may have reached the later instance");
    answerRenewal("u1", LATER, List.of(), List.of());
    assertTrue(stopsRun(run), "the start may still arrive");
    assertFalse(startsAgain(run), "the stop isn't confirmed");
    handle(
        new LeaseEvent.StopAnswered(
            instance("u1", LATER), run, OrderResult.DONE, clock(), OptionalLong.of(LATER)));
    answerRenewal("u1", LATER, List.of(), List.of());
    answerRenewal("u1", LATER, List.of(), List.of());
    assertTrue(startsAgain(run));
  }

  /** Guards against stopping a run that the later instance has begun. */
  @Test(dataProvider = "discoveries")
  public void takesOverUnansweredStartThatLaterInstanceLists(Discovery discovery) {
    RunId run = discover(discovery);
    addUpstream(instance("u2", EARLIER));
    answerRenewal("u1", LATER, List.of(run), List.of());
    assertFalse(stopsRun(run));
    assertFalse(startsAgain(run));
  }

  /** Guards against two runs when a start reaches an instance that is never heard of. */
  @Test
  public void waitsForLongestLeaseOfInstanceThatIsNeverSeen() {
    start("w", 1);
    final long startedAt = now;
    addUpstream(instance("u2", EARLIER));
    while (newStarts().isEmpty()) {
      now += 10;
      loseAnswers("u1");
      handle(new LeaseEvent.EntryHostMessageReceived("entry"));
      handle(new LeaseEvent.Tick());
      assertTrue(now < startedAt + 3_000, "never starts again");
    }
    assertTrue(
        now - startedAt > LeaseTiming.DEFAULT.maxLeaseAtOtherInstanceMillis(),
        "after " + (now - startedAt));
  }

  /** Guards against a late copy of a start that a new instance begins after the run is over. */
  @Test
  public void stopsLateCopiesOfEndedRunsAtNewInstance() {
    RunId run = start("w", 1).getFirst();
    handle(
        new LeaseEvent.StartAnswered(upstream, run, OrderResult.NO_ANSWER, OptionalLong.empty()));
    answerRenewal("u1", EARLIER, List.of(), List.of());
    answerStop(run, EARLIER);
    answerRenewal("u1", EARLIER, List.of(), List.of());
    answerRenewal("u1", EARLIER, List.of(), List.of());
    effects.clear();
    handle(new LeaseEvent.Departed(upstream));
    handle(new LeaseEvent.Announced(instance("u1", LATER)));
    assertTrue(stopsRun(run));
    handle(new LeaseEvent.Announced(instance("u1", LATER + 1)));
    assertEquals(effectsOfType(LeaseEffect.Stop.class).getLast().upstream().startedAt(), LATER + 1);
  }

  /** Guards against two runs when a late start reaches an instance that isn't known yet. */
  @Test
  public void prefersUpstreamThatRefusesLateStart() {
    RunId run = start("w", 1).getFirst();
    addUpstream(
        new UpstreamAnnouncement("u2", EARLIER, 1, "desk", "u2:1", "north", false, SIZE, Set.of()));
    handle(
        new LeaseEvent.StartAnswered(upstream, run, OrderResult.NO_ANSWER, OptionalLong.empty()));
    answerRenewal("u1", EARLIER, List.of(), List.of());
    answerStop(run, EARLIER);
    answerRenewal("u1", EARLIER, List.of(), List.of());
    answerRenewal("u1", EARLIER, List.of(), List.of());
    assertEquals(newStarts().getFirst().upstream().id(), "u1", "u2 is the best fit otherwise");
  }

  /** Guards against starts on an instance whose capacity, service and labels aren't known. */
  @Test
  public void startsNothingOnInstanceThatHasNotAnnouncedItself() {
    answerRenewal("u1", LATER, List.of(), List.of());
    answerRenewal("u1", LATER, List.of(), List.of());
    submit("w", 1);
    assertTrue(newStarts().isEmpty());
    handle(new LeaseEvent.Announced(instance("u1", LATER)));
    assertEquals(newStarts().size(), 1);
  }

  /** Guards against giving up the role because a later instance has another clock. */
  @Test
  public void takesClockOfLaterInstanceForNoPause() {
    RunId run = start("w", 1).getFirst();
    handle(
        new LeaseEvent.StartAnswered(
            upstream, run, OrderResult.DONE, OptionalLong.of(9_000_000), OptionalLong.of(LATER)));
    assertTrue(dispatcher.isDispatching());
  }

  /** Guards against ending a run at the later instance by a late answer of the earlier one. */
  @Test
  public void ignoresLateListOfEarlierInstance() {
    RunId run = start("w", 1).getFirst();
    LeaseEffect.Renew sentBefore = openRenewals.get("u1");
    answerStart(run, OrderResult.DONE, LATER);
    addUpstream(instance("u2", EARLIER));
    answer(sentBefore, EARLIER, List.of(), List.of());
    assertTrue(newStarts().isEmpty());
  }

  /** Guards against two runs when an upstream restarts after it has left the shard. */
  @Test
  public void waitsForLeaseOfLaterInstanceInOtherShard() {
    handle(new LeaseEvent.ShardsChanged(OWN_SHARD, Set.of(OWN_SHARD)));
    start("w", 1);
    final long startedAt = now;
    UpstreamAnnouncement moved = instance("u1", LATER, "south");
    handle(new LeaseEvent.ShardsChanged(OWN_SHARD, Set.of(OWN_SHARD, OTHER_SHARD)));
    handle(new LeaseEvent.Announced(moved));
    addUpstream(instance("u2", EARLIER));
    while (newStarts().isEmpty()) {
      now += 10;
      loseAnswers("u1");
      handle(new LeaseEvent.EntryHostMessageReceived("entry"));
      handle(new LeaseEvent.Tick());
      assertTrue(now < startedAt + 3_000, "never starts again");
    }
    assertTrue(
        now - startedAt > LeaseTiming.DEFAULT.maxLeaseAtOtherInstanceMillis(),
        "after " + (now - startedAt));
  }

  /** Sends a start that gets no answer, and lets the later instance be seen in some way. */
  private RunId discover(Discovery discovery) {
    List<RunId> runs = start("w", 2);
    final RunId run = runs.getFirst();
    final RunId other = runs.getLast();
    if (discovery != Discovery.ANSWER_TO_OTHER_START) {
      answerStart(other, OrderResult.DONE, EARLIER);
    }
    handle(
        new LeaseEvent.StartAnswered(upstream, run, OrderResult.NO_ANSWER, OptionalLong.empty()));
    switch (discovery) {
      case ANNOUNCEMENT -> handle(new LeaseEvent.Announced(instance("u1", LATER)));
      case LIST -> answerRenewal("u1", LATER, List.of(), List.of());
      case ANSWER_TO_OTHER_START -> answerStart(other, OrderResult.DONE, LATER);
      case ANSWER_TO_STOP -> answerStop(other, LATER);
      default -> throw new IllegalStateException("unexpected way: " + discovery);
    }
    effects.removeIf(LeaseEffect.Start.class::isInstance);
    return run;
  }

  private void addUpstream(UpstreamAnnouncement announcement) {
    handle(new LeaseEvent.Announced(announcement));
    answerRenewal(announcement.id(), announcement.startedAt(), List.of(), List.of());
  }

  private static UpstreamAnnouncement instance(String id, long startedAt) {
    return instance(id, startedAt, "north");
  }

  private static UpstreamAnnouncement instance(String id, long startedAt, String domain) {
    TaskSize capacity = new TaskSize(32_000, 64_000, 0);
    return new UpstreamAnnouncement(
        id, startedAt, 1, "desk", id + ":1", domain, false, capacity, Set.of());
  }

  /** Submits work and returns the runs that it starts. */
  private List<RunId> start(String id, int tasks) {
    submit(id, tasks);
    List<RunId> runs = newStarts().stream().map(LeaseEffect.Start::run).toList();
    effects.clear();
    return runs;
  }

  private void submit(String id, int tasks) {
    List<WorkStep> steps = List.of(WorkStep.of(tasks, SIZE, 100));
    WorkRequest request = new WorkRequest(id, "q", "desk", "x", steps, 0, 2, 1.6, 60, 5_000);
    handle(new LeaseEvent.Submitted("entry", TOKEN, 1, request, 0, 0));
  }

  private void answerStart(RunId run, OrderResult result, long startedAt) {
    handle(
        new LeaseEvent.StartAnswered(upstream, run, result, clock(), OptionalLong.of(startedAt)));
  }

  private void answerStop(RunId run, long startedAt) {
    handle(
        new LeaseEvent.StopAnswered(
            upstream, run, OrderResult.DONE, clock(), OptionalLong.of(startedAt)));
  }

  /** Answers the open renewal of an upstream, later than it was sent. */
  private void answerRenewal(String id, long startedAt, List<RunId> running, List<RunEnd> ended) {
    now += 5;
    answer(openRenewals.get(id), startedAt, running, ended);
  }

  private void answer(
      LeaseEffect.Renew renew, long startedAt, List<RunId> running, List<RunEnd> ended) {
    handle(
        new LeaseEvent.RenewalAnswered(
            renew.upstream(),
            renew.renewalNumber(),
            OrderResult.DONE,
            clock(),
            OptionalLong.of(startedAt),
            running,
            ended));
  }

  private void loseAnswers(String id) {
    LeaseEffect.Renew renew = openRenewals.get(id);
    handle(
        new LeaseEvent.RenewalAnswered(
            renew.upstream(),
            renew.renewalNumber(),
            OrderResult.NO_ANSWER,
            OptionalLong.empty(),
            List.of(),
            List.of()));
  }

  private OptionalLong clock() {
    return OptionalLong.of(500_000 + now);
  }

  private boolean stopsRun(RunId run) {
    return effectsOfType(LeaseEffect.Stop.class).stream().anyMatch(stop -> stop.run().equals(run));
  }

  private boolean startsAgain(RunId run) {
    return newStarts().stream().anyMatch(start -> start.run().task().equals(run.task()));
  }

  private List<LeaseEffect.Start> newStarts() {
    return effectsOfType(LeaseEffect.Start.class);
  }

  private <T extends LeaseEffect> List<T> effectsOfType(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }

  private void handle(LeaseEvent event) {
    List<LeaseEffect> emitted = new ArrayList<>(dispatcher.handle(event, now));
    emitted.addAll(dispatcher.place(now));
    for (LeaseEffect effect : emitted) {
      if (effect instanceof LeaseEffect.Renew renew) {
        openRenewals.put(renew.upstream().id(), renew);
      }
    }
    effects.addAll(emitted);
  }
}
