package org.burdockbay.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.IntStream;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.limits.WorkLimits;
import org.burdockbay.core.registration.ShardDispatcher;
import org.burdockbay.core.registration.WorkRegistrar;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests a {@link LeaseDispatcher} with single sequences of events. */
public class LeaseDispatcherTest {

  private static final TaskSize HALF_CAPACITY = new TaskSize(16_000, 64, 0);
  private static final long TOKEN = 1_000;
  private static final long UPSTREAM_CLOCK_OFFSET = 500_000;
  private static final ShardId OWN_SHARD = new ShardId("north", 0);
  private static final ShardId OTHER_SHARD = new ShardId("south", 0);

  private final Map<String, LeaseEffect.Renew> openRenewals = new HashMap<>();
  private LeaseDispatcher dispatcher;
  private long now;
  private long clockAheadMillis;

  /** Creates a dispatcher that holds the role and has no upstreams. */
  @BeforeMethod
  public void setUp() {
    dispatcher = new LeaseDispatcher("self", LeaseTiming.DEFAULT);
    openRenewals.clear();
    now = 10_000;
    clockAheadMillis = 0;
    handle(new LeaseEvent.RoleGained(TOKEN));
  }

  /**
   * Guards against a report before all tasks of a job are done, and against more than one report.
   */
  @Test
  public void answersOnceEveryTaskIsDone() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    List<LeaseEffect.Start> starts = starts(submit("w", 2, HALF_CAPACITY));
    assertEquals(starts.size(), 2);
    assertTrue(reports(endRun(upstream, starts.get(0).run(), 1, RunEnd.Cause.DONE)).isEmpty());
    List<LeaseEffect.Report> reports =
        reports(endRun(upstream, starts.get(1).run(), 2, RunEnd.Cause.DONE));
    assertEquals(reports.size(), 1);
    assertEquals(reports.getFirst().outcome(), new WorkOutcome.Completed());
  }

  /**
   * Guards against overloading an upstream: of three tasks that take half its capacity each, the
   * third waits until the first one ends.
   */
  @Test
  public void startsNoMoreThanFits() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    List<LeaseEffect.Start> starts = starts(submit("w", 3, HALF_CAPACITY));
    assertEquals(starts.size(), 2);
    assertEquals(starts(endRun(upstream, starts.get(0).run(), 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * Guards against a second run of a task whose start was never answered. The upstream's next run
   * list contains the run, so it isn't started again and its end counts.
   */
  @Test
  public void discoversUnansweredStartInRunList() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    handle(
        new LeaseEvent.StartAnswered(upstream, run, OrderResult.NO_ANSWER, OptionalLong.empty()));
    List<LeaseEffect> effects = answerOpenRenewal(upstream, List.of(run), List.of());
    assertTrue(stops(effects).isEmpty());
    assertTrue(starts(effects).isEmpty());
    assertEquals(reports(endRun(upstream, run, 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * Guards against two runs of a task whose start was never answered and whose run isn't in the
   * list. The start may still be carried out seconds later, so the run is stopped, and the task
   * starts elsewhere only after the stop was confirmed.
   */
  @Test
  public void stopsAnUnansweredStartBeforeItStartsElsewhere() {
    UpstreamAnnouncement first = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    handle(new LeaseEvent.StartAnswered(first, run, OrderResult.NO_ANSWER, OptionalLong.empty()));
    final UpstreamAnnouncement second = addUpstream("u2");
    List<LeaseEffect> effects = answerOpenRenewal(first, List.of(), List.of());
    assertEquals(stops(effects).getFirst().run(), run);
    assertTrue(starts(effects).isEmpty());
    assertTrue(
        starts(answerOpenRenewal(first, List.of(), List.of())).isEmpty(),
        "the stop isn't confirmed");
    handle(
        new LeaseEvent.StopAnswered(
            first, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    assertTrue(
        starts(answerOpenRenewal(first, List.of(), List.of())).isEmpty(),
        "requested before the confirmation");
    now += 5;
    List<LeaseEffect.Start> again = starts(answerOpenRenewal(first, List.of(), List.of()));
    assertEquals(again.size(), 1);
    assertTrue(again.getFirst().run().number() > run.number());
    assertFalse(second.id().isEmpty());
  }

  /**
   * Guards against a task that runs twice, such as a contract that was confirmed twice within
   * milliseconds. An upstream makes its run list for a renewal, then accepts a start and confirms
   * it in the millisecond in which the renewal was sent. The list, which lacks the run, arrives
   * last over another connection. If their order were derived from the clock, renewal and
   * confirmation would be simultaneous, and the run would count as ended.
   */
  @Test
  public void keepsRunMissingFromListRequestedInMillisecondOfItsConfirmation() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId earlier = starts(submit("v", 1, HALF_CAPACITY)).getFirst().run();
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    endRun(upstream, earlier, 1, RunEnd.Cause.DONE);
    handle(
        new LeaseEvent.StartAnswered(
            upstream, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    List<LeaseEffect> effects = answerOpenRenewal(upstream, List.of(), List.of());
    assertTrue(starts(effects).isEmpty(), "the run continues");
    assertEquals(reports(endRun(upstream, run, 2, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * Guards against waiting for a run that an upstream lost without reporting its end. The run isn't
   * in a list that was requested after its start was confirmed, so the task starts again and the
   * event is logged.
   */
  @Test
  public void restartsRunMissingFromListRequestedAfterConfirmation() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    handle(
        new LeaseEvent.StartAnswered(
            upstream, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    answerOpenRenewal(upstream, List.of(run), List.of());
    List<LeaseEffect> effects = answerOpenRenewal(upstream, List.of(), List.of());
    assertEquals(starts(effects).size(), 1);
    assertEquals(logEvents(effects, "run-missing").size(), 1);
  }

  /**
   * Guards against a late result of a short task whose start is delayed on the network while the
   * next call succeeds. The start is resent under the same run number long before its timeout.
   */
  @Test
  public void resendsUnansweredStartsUnderSameRunNumber() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    answerLaterCallsFirst(upstream);
    LeaseEffect.Start again = starts(handle(new LeaseEvent.Tick())).getFirst();
    assertEquals(again.run(), run);
    handle(
        new LeaseEvent.StartAnswered(
            upstream, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    assertEquals(reports(endRun(upstream, run, 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * Guards against a resent start with a later lease while another job's run is being stopped at
   * the upstream. It would keep a run alive that must end before its caller retries elsewhere.
   */
  @Test
  public void resentStartsDoNotExtendLease() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    LeaseEffect.Start first = starts(submit("w", 1, HALF_CAPACITY)).getFirst();
    answerLaterCallsFirst(upstream);
    LeaseEffect.Start again = starts(handle(new LeaseEvent.Tick())).getFirst();
    assertEquals(again, first);
  }

  /**
   * Guards against overload by resent starts when a dispatcher takes over in a process that has
   * just started and all answers are delayed. When starts were resent after a fixed time, each of
   * its first starts was sent four times, which delayed the answers further.
   */
  @Test
  public void doesNotResendWhileAllAnswersAreDelayed() {
    addUpstream("u1");
    submit("w", 1, HALF_CAPACITY);
    now += 2 * LeaseTiming.DEFAULT.resendIntervalMillis();
    assertTrue(starts(handle(new LeaseEvent.Tick())).isEmpty());
  }

  /**
   * Guards against a second run after the first copy of a start was carried out and its answer was
   * lost. The task has ended when the second copy arrives, which is refused as old. The end in a
   * later list counts, and nothing starts meanwhile.
   */
  @Test
  public void doesNotTreatRefusedResendAsNotRun() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    answerLaterCallsFirst(upstream);
    handle(new LeaseEvent.Tick());
    List<LeaseEffect> effects =
        handle(
            new LeaseEvent.StartAnswered(
                upstream, run, OrderResult.OLD, OptionalLong.of(upstreamClock())));
    assertTrue(starts(effects).isEmpty());
    effects = endRun(upstream, run, 1, RunEnd.Cause.DONE);
    assertTrue(starts(effects).isEmpty());
    assertEquals(reports(effects).size(), 1);
  }

  /**
   * Guards against two runs when the first copy of a start is delayed and the second one is refused
   * for lack of capacity. The first may be carried out seconds later, so the task starts elsewhere
   * only after a stop was confirmed.
   */
  @Test
  public void stopsDelayedStartBeforeTaskStartsElsewhere() {
    final UpstreamAnnouncement first = addUpstream("u1");
    final RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    addUpstream("u2");
    answerLaterCallsFirst(first);
    handle(new LeaseEvent.Tick());
    List<LeaseEffect> effects =
        handle(
            new LeaseEvent.StartAnswered(
                first, run, OrderResult.NO_ROOM, OptionalLong.of(upstreamClock())));
    assertTrue(starts(effects).isEmpty());
    assertEquals(stops(effects).getFirst().run(), run);
    handle(
        new LeaseEvent.StopAnswered(
            first, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    answerOpenRenewal(first, List.of(), List.of());
    assertEquals(starts(answerOpenRenewal(first, List.of(), List.of())).size(), 1);
  }

  /**
   * Guards against two runs when an upstream becomes silent while it runs a task. The task starts
   * elsewhere only after the lease has expired by the slowest clock that an upstream may have.
   */
  @Test
  public void waitsForLeaseExpiryOfSilentUpstream() {
    final UpstreamAnnouncement first = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    final long startedAt = now;
    handle(
        new LeaseEvent.StartAnswered(
            first, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    addUpstream("u2");
    loseRenewalAnswers(first);
    List<LeaseEffect> effects = new ArrayList<>();
    while (starts(effects).isEmpty()) {
      now += 10;
      effects.addAll(handle(new LeaseEvent.Tick()));
      effects.addAll(handle(new LeaseEvent.EntryHostMessageReceived("entry")));
      assertTrue(now < startedAt + 3_000, "never starts again");
    }
    assertTrue(
        now - startedAt > LeaseTiming.DEFAULT.maxLeaseMillis(), "after " + (now - startedAt));
  }

  /**
   * Guards against a job that never ends because one task hangs on an upstream that announces
   * itself and answers calls. The other tasks ended long ago on other upstreams. The last one is
   * stopped, and starts elsewhere once the upstream has reported its end.
   */
  @Test
  public void movesHangingTaskOnceSiblingTasksAreDone() {
    final List<UpstreamAnnouncement> upstreams =
        List.of(addUpstream("u1"), addUpstream("u2"), addUpstream("u3"));
    List<LeaseEffect.Start> starts = starts(submit("w", 6, HALF_CAPACITY));
    starts.forEach(
        start ->
            handle(
                new LeaseEvent.StartAnswered(
                    start.upstream(),
                    start.run(),
                    OrderResult.DONE,
                    OptionalLong.of(upstreamClock()))));
    now += 100;
    Map<String, List<LeaseEffect.Start>> startsByUpstream = new HashMap<>();
    starts.forEach(
        start ->
            startsByUpstream
                .computeIfAbsent(start.upstream().id(), id -> new ArrayList<>())
                .add(start));
    RunId hanging = startsByUpstream.get("u1").getFirst().run();
    for (UpstreamAnnouncement upstream : upstreams) {
      long number = 0;
      for (LeaseEffect.Start start : startsByUpstream.get(upstream.id())) {
        if (!start.run().equals(hanging)) {
          number++;
          endRun(upstream, start.run(), number, RunEnd.Cause.DONE);
        }
      }
    }
    List<LeaseEffect> effects = new ArrayList<>();
    for (int i = 0; i < 3; i++) {
      now += 100;
      effects.addAll(handle(new LeaseEvent.EntryHostMessageReceived("entry")));
      effects.addAll(handle(new LeaseEvent.Tick()));
    }
    assertEquals(stops(effects).getFirst().run(), hanging);
    assertTrue(starts(effects).isEmpty(), "it may still run");
    effects = endRun(upstreams.getFirst(), hanging, 2, RunEnd.Cause.CUT_SHORT);
    assertFalse(starts(effects).getFirst().upstream().id().equals("u1"));
  }

  /** Guards against a retry on the same upstream, and against more attempts than the job allows. */
  @Test
  public void failsWorkAfterItsLastAttempt() {
    addUpstream("u1");
    addUpstream("u2");
    LeaseEffect.Start first = starts(submit("w", 1, HALF_CAPACITY)).getFirst();
    LeaseEffect.Start second =
        starts(endRun(first.upstream(), first.run(), 1, RunEnd.Cause.FAILED)).getFirst();
    assertFalse(second.upstream().id().equals(first.upstream().id()));
    List<LeaseEffect.Report> reports =
        reports(endRun(second.upstream(), second.run(), 1, RunEnd.Cause.FAILED));
    assertTrue(reports.getFirst().outcome() instanceof WorkOutcome.Failed);
  }

  /** Guards against new runs on a leaving upstream, and against ending the runs that it has. */
  @Test
  public void startsNothingOnLeavingUpstreams() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    handle(new LeaseEvent.Announced(announcement("u1", 2, true)));
    assertTrue(starts(submit("x", 1, HALF_CAPACITY)).isEmpty());
    assertEquals(reports(endRun(upstream, run, 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * Guards against a second run after a takeover. An upstream runs a task of a job that its entry
   * host resubmits; the run continues and isn't started again.
   */
  @Test
  public void adoptsRunsThatAnEarlierDispatcherStarted() {
    UpstreamAnnouncement announcement = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(announcement));
    WorkRequest request = request("w", 1, HALF_CAPACITY);
    handle(new LeaseEvent.Submitted("entry", TOKEN, 1, request, 300, 1_000));
    RunId run = new RunId(new TaskId("w", 0, 0), 3);
    assertTrue(starts(answerOpenRenewal(announcement, List.of(run), List.of())).isEmpty());
    assertEquals(reports(endRun(announcement, run, 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * Guards against a second run when a dispatcher's token is superseded and it claims the role
   * again immediately. An entry host resubmits its work before it has discovered the new token, so
   * its submission has no quiet period although the earlier role may still run the work. Nothing
   * starts until the entry host submits with a quiet period, and its late cancellation of the
   * earlier submission doesn't affect the new one.
   */
  @Test
  public void ignoresMessagesForEarlierRole() {
    addUpstream("u1");
    handle(new LeaseEvent.RoleLost());
    handle(new LeaseEvent.RoleGained(TOKEN + 1));
    answerOpenRenewal(announcement("u1", 1, false), List.of(), List.of());
    WorkRequest request = request("w", 1, HALF_CAPACITY);
    assertTrue(starts(handle(submitted(1, request, 400))).isEmpty());
    handle(new LeaseEvent.Submitted("entry", TOKEN + 1, 1, request, 400, 1_000));
    handle(new LeaseEvent.Cancelled("entry", TOKEN, "w"));
    assertEquals(dispatcher.unansweredCount(), 1);
  }

  /**
   * Guards against a task that runs twice. A dispatcher claims its role again and adopts its own
   * run; then a late answer to its earlier role reports that a copy of the start was refused.
   */
  @Test
  public void keepsRunsRefusedInAnswersToEarlierRole() {
    UpstreamAnnouncement first = addUpstream("u1");
    WorkRequest request = request("w", 1, HALF_CAPACITY);
    RunId run = starts(handle(submitted(1, request, 0))).getFirst().run();
    final UpstreamAnnouncement second = addUpstream("u2");
    handle(new LeaseEvent.RoleLost());
    List<LeaseEffect> claimed = handle(new LeaseEvent.RoleGained(TOKEN + 1));
    renewals(claimed).forEach(renew -> openRenewals.put(renew.upstream().id(), renew));
    answerOpenRenewal(first, List.of(run), List.of());
    answerOpenRenewal(second, List.of(), List.of());
    handle(new LeaseEvent.Submitted("entry", TOKEN + 1, 1, request, 0, 50));
    now += 100;
    answerOpenRenewal(first, List.of(run), List.of());
    List<LeaseEffect> effects =
        handle(
            new LeaseEvent.StartAnswered(
                first, run, OrderResult.FENCED, OptionalLong.of(upstreamClock())));
    effects.addAll(
        handle(
            new LeaseEvent.StopAnswered(
                first, run, OrderResult.FENCED, OptionalLong.of(upstreamClock()))));
    assertTrue(starts(effects).isEmpty(), "the run continues on " + first.id());
    assertTrue(logEvents(effects, "outranked").isEmpty(), first.id() + " accepts the new token");
  }

  /**
   * Guards against a caller that is never answered. An upstream leaves before the work of its run
   * was submitted, and nothing reports the end of a run on a removed upstream.
   */
  @Test
  public void restartsUnclaimedRunOfDepartedUpstream() {
    UpstreamAnnouncement announcement = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(announcement));
    RunId run = new RunId(new TaskId("w", 0, 0), 3);
    answerOpenRenewal(announcement, List.of(run), List.of());
    final long leaseEnd = now + LeaseTiming.DEFAULT.maxLeaseMillis();
    handle(new LeaseEvent.Departed(announcement));
    final List<LeaseEffect> effects = new ArrayList<>(submit("w", 1, HALF_CAPACITY));
    addUpstream("u2");
    while (now <= leaseEnd) {
      assertTrue(starts(effects).isEmpty(), "the lease of u1 may not have expired");
      now += 100;
      effects.addAll(handle(new LeaseEvent.EntryHostMessageReceived("entry")));
      effects.addAll(handle(new LeaseEvent.Tick()));
    }
    assertEquals(starts(effects).size(), 1);
  }

  /**
   * Guards against a task that runs twice. A second entry host submits known work, with a quiet
   * period because another dispatcher may continue it.
   */
  @Test
  public void waitsForLongestQuietPeriodOfAllSubmitters() {
    UpstreamAnnouncement upstream = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(upstream));
    WorkRequest request = request("w", 1, HALF_CAPACITY);
    handle(submitted(1, request, 0));
    handle(new LeaseEvent.Submitted("other", TOKEN, 1, request, 0, 200));
    assertTrue(starts(answerOpenRenewal(upstream, List.of(), List.of())).isEmpty());
    now += 200;
    assertEquals(starts(handle(new LeaseEvent.Tick())).size(), 1);
  }

  /**
   * Guards against a run without an entry host that is kept alive: it is stopped, and its lease
   * isn't extended until it has ended.
   */
  @Test
  public void stopsUnclaimedRuns() {
    UpstreamAnnouncement announcement = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(announcement));
    RunId run = new RunId(new TaskId("gone", 0, 0), 1);
    List<LeaseEffect> effects = answerOpenRenewal(announcement, List.of(run), List.of());
    assertEquals(renewals(effects).getFirst().deadlineMillis(), 0);
    now += TakenOverRuns.CLAIM_TIMEOUT_MILLIS + 1;
    assertEquals(stops(handle(new LeaseEvent.Tick())).getFirst().run(), run);
  }

  /** Guards against a start that overfills an upstream while an unclaimed run is being stopped. */
  @Test
  public void startsNothingBesideUnclaimedRunOfUnknownSize() {
    UpstreamAnnouncement announcement = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(announcement));
    RunId run = new RunId(new TaskId("gone", 0, 0), 1);
    answerOpenRenewal(announcement, List.of(run), List.of());
    now += TakenOverRuns.CLAIM_TIMEOUT_MILLIS + 1;
    handle(new LeaseEvent.Tick());
    submit("w", 1, HALF_CAPACITY);
    List<LeaseEffect> effects =
        new ArrayList<>(
            handle(
                new LeaseEvent.StopAnswered(
                    announcement, run, OrderResult.DONE, OptionalLong.empty())));
    effects.addAll(handle(new LeaseEvent.Tick()));
    assertTrue(starts(effects).isEmpty(), "the run may still be under way");
    answerOpenRenewal(announcement, List.of(run), List.of());
    effects = new ArrayList<>(endRun(announcement, run, 1, RunEnd.Cause.CUT_SHORT));
    effects.addAll(handle(new LeaseEvent.Tick()));
    assertEquals(starts(effects).size(), 1);
  }

  /**
   * Guards against a run of work that was reported as not run. The entry host's resubmission
   * crosses the refusal in transit.
   */
  @Test
  public void doesNotStartResubmittedRefusedWork() {
    WorkRequest request = request("w", 1, HALF_CAPACITY);
    handle(submitted(7, request, 0));
    List<LeaseEffect.Report> reports = List.of();
    while (reports.isEmpty()) {
      now += 100;
      assertTrue(now < 20_000, "never refused");
      List<LeaseEffect> effects =
          new ArrayList<>(handle(new LeaseEvent.EntryHostMessageReceived("entry")));
      effects.addAll(handle(new LeaseEvent.Tick()));
      reports = reports(effects);
    }
    assertTrue(reports.getFirst().outcome() instanceof WorkOutcome.NotRun);
    addUpstream("u1");
    List<LeaseEffect> effects = handle(submitted(7, request, 1_000));
    assertTrue(starts(effects).isEmpty());
    assertEquals(reports(effects).size(), 1);
  }

  /** Guards against runs that continue after their caller has left. */
  @Test
  public void stopsTheWorkOfCallersThatLeave() {
    addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    assertEquals(
        stops(handle(new LeaseEvent.Cancelled("entry", TOKEN, "w"))).getFirst().run(), run);
  }

  /**
   * Guards against a lost stop. A caller leaves while a start is in transit, the stop is lost, and
   * the confirmation of the start arrives after it. That doesn't confirm the stop, so the stop is
   * resent, and the lease isn't extended for the unwanted run.
   */
  @Test
  public void doesNotTreatStartConfirmationAsStopConfirmation() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    handle(new LeaseEvent.Cancelled("entry", TOKEN, "w"));
    handle(
        new LeaseEvent.StartAnswered(
            upstream, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    handle(new LeaseEvent.StopAnswered(upstream, run, OrderResult.NO_ANSWER, OptionalLong.empty()));
    List<LeaseEffect> effects = answerOpenRenewal(upstream, List.of(run), List.of());
    assertEquals(stops(effects).size(), 1);
    assertEquals(renewals(effects).getFirst().deadlineMillis(), 0);
  }

  /**
   * Guards against runs that continue while their callers retry elsewhere: the work of a silent
   * entry host is dropped after 450 ms.
   */
  @Test
  public void dropsTheWorkOfSilentEntryHosts() {
    addUpstream("u1");
    starts(submit("w", 1, HALF_CAPACITY));
    now += 200;
    assertTrue(stops(handle(new LeaseEvent.Tick())).isEmpty());
    now += 200;
    handle(new LeaseEvent.Tick());
    now += LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS - 400 + 1;
    assertEquals(stops(handle(new LeaseEvent.Tick())).size(), 1);
  }

  /**
   * Guards against a task that runs twice after a one-way partition that becomes complete. The
   * entry host no longer received heartbeats, and moved its work with a quiet period from the last
   * one; its own heartbeats went on arriving, so the dispatcher started tasks for too long.
   */
  @Test
  public void dropsWorkOfEntryHostsThatReportOldContact() {
    addUpstream("u1");
    starts(submit("w", 1, HALF_CAPACITY));
    final long lastContactAt = now;
    while (now - lastContactAt + 50 <= LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS) {
      now += 50;
      reportContact(now - lastContactAt);
      assertTrue(stops(handle(new LeaseEvent.Tick())).isEmpty(), "it may only be late");
    }
    now++;
    reportContact(now - lastContactAt);
    assertEquals(stops(handle(new LeaseEvent.Tick())).size(), 1);
  }

  /**
   * Guards against a run of work that its entry host is about to move, and against a host that is
   * never served again after it was late in handling messages.
   */
  @Test
  public void startsNothingForEntryHostsUntilTheyReportContact() {
    addUpstream("u1");
    reportContact(LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS + 1);
    assertTrue(starts(submit("w", 1, HALF_CAPACITY)).isEmpty());
    reportContact(20);
    assertEquals(starts(submit("w", 1, HALF_CAPACITY)).size(), 1);
  }

  /**
   * Guards against a dispatcher that continues after a process pause, during which another host may
   * have claimed its role.
   */
  @Test
  public void givesUpRoleAfterProcessPause() {
    addUpstream("u1");
    now += 300;
    List<LeaseEffect> effects = submit("w", 1, HALF_CAPACITY);
    assertTrue(starts(effects).isEmpty());
    assertTrue(effects.stream().anyMatch(LeaseEffect.RoleReleased.class::isInstance));
    assertFalse(dispatcher.isDispatching());
  }

  /**
   * Guards against a dispatcher that continues after its machine was suspended together with the
   * clock, while its callers retried elsewhere. No event is late by its own clock. The first answer
   * of an upstream shows that time has passed there, before any start can get a valid lease.
   */
  @Test
  public void givesUpRoleAfterPauseNotShownByOwnClock() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    answerOpenRenewal(upstream, List.of(), List.of());
    clockAheadMillis = 3_000;
    List<LeaseEffect> effects = answerOpenRenewal(upstream, List.of(), List.of());
    assertTrue(effects.stream().anyMatch(LeaseEffect.RoleReleased.class::isInstance));
    assertFalse(dispatcher.isDispatching());
  }

  /**
   * Guards against starts with a valid lease after a suspension: the clock in the answer to a start
   * would make the leases of later starts valid.
   */
  @Test
  public void givesUpRoleAfterPauseShownByStartAnswer() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    answerOpenRenewal(upstream, List.of(), List.of());
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    clockAheadMillis = 3_000;
    List<LeaseEffect> effects =
        handle(
            new LeaseEvent.StartAnswered(
                upstream, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    assertTrue(effects.stream().anyMatch(LeaseEffect.RoleReleased.class::isInstance));
    assertFalse(dispatcher.isDispatching());
  }

  /**
   * Guards against starts with a valid lease after a suspension: the clock in the answer to a stop
   * would make the leases of later starts valid.
   */
  @Test
  public void givesUpRoleAfterPauseShownByStopAnswer() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    answerOpenRenewal(upstream, List.of(), List.of());
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    clockAheadMillis = 3_000;
    List<LeaseEffect> effects =
        handle(
            new LeaseEvent.StopAnswered(
                upstream, run, OrderResult.DONE, OptionalLong.of(upstreamClock())));
    assertTrue(effects.stream().anyMatch(LeaseEffect.RoleReleased.class::isInstance));
    assertFalse(dispatcher.isDispatching());
  }

  /**
   * Guards against giving up the role because of an answer that was delayed on the network, or
   * because of the answer after it.
   */
  @Test
  public void doesNotTreatDelayedAnswerAsPause() {
    final UpstreamAnnouncement upstream = addUpstream("u1");
    final long clockAtSending = upstreamClock();
    now += 240;
    handle(new LeaseEvent.EntryHostMessageReceived("entry"));
    now += 240;
    answerWithClock(openRenewals.get("u1"), clockAtSending);
    answerOpenRenewal(upstream, List.of(), List.of());
    assertTrue(dispatcher.isDispatching());
  }

  /**
   * Guards against superseding a higher token immediately: an upstream that has accepted one is
   * retried several times first.
   */
  @Test
  public void supersedesHigherTokenOnlyAfterSeveralRefusals() {
    UpstreamAnnouncement announcement = announcement("u1", 1, false);
    List<LeaseEffect> effects = handle(new LeaseEvent.Announced(announcement));
    int refusals = 0;
    while (effects.stream().noneMatch(LeaseEffect.Superseded.class::isInstance)) {
      List<LeaseEffect.Renew> renewals = renewals(effects);
      effects = new ArrayList<>();
      for (LeaseEffect.Renew renew : renewals) {
        refusals++;
        effects.addAll(answer(renew, OrderResult.FENCED, List.of(), List.of()));
      }
      now += 100;
      effects.addAll(handle(new LeaseEvent.Tick()));
      assertTrue(refusals < 10, "never superseded");
    }
    assertEquals(refusals, 3);
  }

  /**
   * Guards against tokens that rise too fast after a partition. An upstream that the other side's
   * dispatcher has taken over refuses all orders in transit. Counted individually, they made both
   * dispatchers supersede each other several times before they discovered each other, and their
   * tokens ran so far ahead that a restarted host was refused for as long as it ran.
   */
  @Test
  public void countsConcurrentRefusalsAsOne() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    List<LeaseEffect.Start> starts = starts(submit("w", 2, HALF_CAPACITY));
    List<LeaseEffect> effects = new ArrayList<>();
    for (LeaseEffect.Start start : starts) {
      effects.addAll(
          handle(
              new LeaseEvent.StartAnswered(
                  upstream, start.run(), OrderResult.FENCED, OptionalLong.empty())));
    }
    effects.addAll(answer(openRenewals.get("u1"), OrderResult.FENCED, List.of(), List.of()));
    for (LeaseEffect.Start start : starts) {
      effects.addAll(
          handle(
              new LeaseEvent.StopAnswered(
                  upstream, start.run(), OrderResult.FENCED, OptionalLong.empty())));
    }
    assertEquals(logEvents(effects, "outranked").size(), 1);
  }

  /** Answers later calls to the upstream while the start remains unanswered. */
  private void answerLaterCallsFirst(UpstreamAnnouncement upstream) {
    now += 15;
    answerOpenRenewal(upstream, List.of(), List.of());
    now += LeaseTiming.DEFAULT.resendIntervalMillis() - 15;
    answerOpenRenewal(upstream, List.of(), List.of());
  }

  /**
   * Guards against work of a dead entry host that keeps running until its caller retries, because
   * the work had waited at this host.
   */
  @Test
  public void measuresEntryHostSilenceFromArrivalOfWork() {
    addUpstream("u1");
    long arrivedAt = now;
    now += 50;
    dispatcher.handle(submitted(1, request("w", 1, HALF_CAPACITY), 0), arrivedAt, now);
    assertEquals(starts(dispatcher.place(now)).size(), 1);
    now = arrivedAt + LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS / 2;
    handle(new LeaseEvent.Tick());
    now = arrivedAt + LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS;
    handle(new LeaseEvent.Tick());
    assertEquals(dispatcher.unansweredCount(), 1);
    now++;
    assertEquals(stops(handle(new LeaseEvent.Tick())).size(), 1);
  }

  /** Guards against one job that exhausts the memory of its dispatcher before it is refused. */
  @Test
  public void refusesWorkOverItsLimitsBeforeStateIsMade() {
    limitWork(new WorkLimits(100, 10, 10, 1_000_000, 1_000_000));
    addUpstream("u1");
    WorkOutcome refusal = reports(submit("w", 101, HALF_CAPACITY)).getFirst().outcome();
    assertEquals(((WorkOutcome.NotRun) refusal).reason(), "101 tasks, at most 100 are accepted");
    assertEquals(dispatcher.unansweredCount(), 0);
    assertEquals(dispatcher.workBytes(), 0);
    LeaseEvent small = submitted(2, request("small", 2, HALF_CAPACITY), 0);
    assertEquals(starts(handle(small)).size(), 2);
  }

  /** Guards against many jobs, each within its limits, that exhaust the dispatcher's memory. */
  @Test
  public void refusesWorkBeyondMemoryAndKeepsRoomForSmallWork() {
    long limit = 1_000_000;
    limitWork(new WorkLimits(1_000, 10, 10, limit, limit));
    addUpstream("u1");
    int accepted = 0;
    for (int i = 0; i < 100; i++) {
      handle(submitted(i, request("w" + i, 300, TaskSize.ZERO), 0));
      accepted = dispatcher.unansweredCount();
      assertTrue(dispatcher.workBytes() <= limit, dispatcher.workBytes() + " bytes");
    }
    assertTrue(accepted > 2 && accepted < 10, accepted + " pieces of work are accepted");
    handle(submitted(200, request("small", 1, HALF_CAPACITY), 0));
    assertEquals(dispatcher.unansweredCount(), accepted + 1);
    handle(new LeaseEvent.EntryHostLost("entry"));
    assertEquals(dispatcher.workBytes(), 0);
  }

  /** Guards against refusing as "not run" what an earlier dispatcher may have run. */
  @Test
  public void givesUpWorkBeyondMemoryThatMayHaveRun() {
    limitWork(new WorkLimits(100, 10, 10, 1_000_000, 1_000_000));
    addUpstream("u1");
    LeaseEvent moved =
        new LeaseEvent.Submitted("entry", TOKEN, 1, request("w", 101, HALF_CAPACITY), 0, 500);
    WorkOutcome outcome = reports(handle(moved)).getFirst().outcome();
    assertTrue(outcome instanceof WorkOutcome.GivenUp, outcome.toString());
  }

  /** Guards against a job of many small tasks that opens a connection for each at once. */
  @Test
  public void limitsUnansweredStarts() {
    limitWork(new WorkLimits(1_000, 10, 10, 1_000_000, 100_000));
    UpstreamAnnouncement upstream = addUpstream("u1");
    List<LeaseEffect.Start> first = starts(submit("w", 500, TaskSize.ZERO));
    assertEquals(first.size(), 12);
    LeaseEvent answer =
        new LeaseEvent.StartAnswered(
            upstream, first.getFirst().run(), OrderResult.DONE, OptionalLong.of(upstreamClock()));
    assertEquals(starts(handle(answer)).size(), 1);
  }

  /** Guards against work that waits although all upstreams together can't run it in time. */
  @Test
  public void refusesWorkThatExceedsCapacityAtOnce() {
    addUpstream("u1");
    WorkOutcome refusal = reports(submit("w", 200, HALF_CAPACITY)).getFirst().outcome();
    assertTrue(refusal instanceof WorkOutcome.NotRun, refusal.toString());
    handle(submitted(2, request("v", 4, HALF_CAPACITY), 0));
    assertEquals(dispatcher.unansweredCount(), 1);
  }

  /** Guards against an upstream that lists more runs of unknown work than this host can retain. */
  @Test
  public void extendsNoLeaseForTooLongListOfRuns() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    List<RunId> listed =
        IntStream.range(0, 30_000).mapToObj(i -> new RunId(new TaskId("x" + i, 0, 0), 1)).toList();
    LeaseEffect.Renew open = openRenewals.get(upstream.id());
    List<LeaseEffect> effects = answer(open, OrderResult.DONE, listed, List.of());
    assertEquals(logEvents(effects, "run-list-too-long").size(), 1);
    assertTrue(renewals(effects).isEmpty(), "renewed at once");
  }

  private void limitWork(WorkLimits limits) {
    dispatcher = new LeaseDispatcher("self", LeaseTiming.DEFAULT, SchedulingOptions.NONE, limits);
    handle(new LeaseEvent.RoleGained(TOKEN));
  }

  private List<LeaseEffect> handle(LeaseEvent event) {
    List<LeaseEffect> effects = new ArrayList<>(dispatcher.handle(event, now));
    effects.addAll(dispatcher.place(now));
    return effects;
  }

  /**
   * Guards against a host that owns one shard but renews the leases of all upstreams, which leaves
   * no time for its own.
   */
  @Test
  public void renewsLeasesInOwnShardOnly() {
    changeShards(OTHER_SHARD, OWN_SHARD);
    assertTrue(renewals(handle(new LeaseEvent.Announced(announcement("u1", 1, false)))).isEmpty());
    assertEquals(renewals(changeShards(OWN_SHARD, OTHER_SHARD)).size(), 1, "taken over at once");
  }

  /**
   * Guards against giving up a job as impossible although an upstream of another shard can run it.
   */
  @Test
  public void refusesWorkThatOnlyOtherShardsCanRun() {
    changeShards(OTHER_SHARD, OWN_SHARD);
    handle(new LeaseEvent.Announced(announcement("u1", 1, false)));
    WorkOutcome refusal = reports(submit("w", 1, HALF_CAPACITY)).getFirst().outcome();
    assertEquals(((WorkOutcome.NotRun) refusal).reason(), "no upstream of the shard can run it");
  }

  /**
   * Guards against ending a run when its upstream moves to another shard. The run ends normally and
   * its outcome is reported; nothing more starts there, and the lease isn't extended.
   */
  @Test
  public void finishesRunsOnUpstreamsThatLeaveShard() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    changeShards(OTHER_SHARD, OWN_SHARD);
    assertTrue(starts(submit("v", 1, HALF_CAPACITY)).isEmpty());
    LeaseEffect.Renew renewal =
        renewals(answerOpenRenewal(upstream, List.of(run), List.of())).getFirst();
    assertEquals(renewal.deadlineMillis(), 0);
    List<LeaseEffect> effects = endRun(upstream, run, 1, RunEnd.Cause.DONE);
    assertEquals(reports(effects).getFirst().outcome(), new WorkOutcome.Completed());
    assertTrue(renewals(effects).isEmpty(), "no end is left to read");
  }

  /**
   * Guards against giving up the whole shard for a higher token: after the other shard's dispatcher
   * has taken over an upstream, its refusals are expected and must not be counted.
   */
  @Test
  public void ignoresRefusalsOfUpstreamsThatLeftShard() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    submit("w", 1, HALF_CAPACITY);
    changeShards(OTHER_SHARD, OWN_SHARD);
    List<LeaseEffect> effects = new ArrayList<>();
    LeaseEffect.Renew open = openRenewals.getOrDefault("u1", firstRenewal(upstream));
    effects.addAll(answer(open, OrderResult.FENCED, List.of(), List.of()));
    for (int i = 0; i < 30; i++) {
      now += 200;
      effects.addAll(handle(new LeaseEvent.Tick()));
    }
    assertTrue(renewals(effects).isEmpty());
    assertTrue(effectsOfType(effects, LeaseEffect.Superseded.class).isEmpty());
    assertEquals(logEvents(effects, "lease-over").size(), 1, "the run has ended with its lease");
  }

  /** Guards against starting tasks in an evacuated domain, and against ending its runs. */
  @Test
  public void startsNothingInEvacuatedDomain() {
    final UpstreamAnnouncement upstream = addUpstream("u1");
    final RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    addUpstream("u2", "south");
    assertTrue(reports(evacuate("north")).isEmpty());
    assertEquals(dispatcher.load().freeSlots(), 32);
    List<LeaseEffect.Start> starts = starts(submit("v", 3, HALF_CAPACITY));
    assertEquals(starts.stream().map(start -> start.upstream().id()).toList(), List.of("u2", "u2"));
    assertEquals(
        reports(endRun(upstream, run, 1, RunEnd.Cause.DONE)).getFirst().outcome(),
        new WorkOutcome.Completed());
  }

  /** Guards against work that waits in vain at a shard whose domain is evacuated. */
  @Test
  public void endsWaitingWorkOfEvacuatedShardAtOnce() {
    changeShards(OWN_SHARD, OTHER_SHARD);
    addUpstream("u1");
    submit("partial", 3, HALF_CAPACITY);
    submit("waiting", 1, HALF_CAPACITY);
    List<LeaseEffect.Report> reports = reports(evacuate("north"));
    assertEquals(
        reports.stream().map(LeaseEffect.Report::workId).toList(), List.of("partial", "waiting"));
    assertTrue(reports.get(0).outcome() instanceof WorkOutcome.GivenUp);
    assertTrue(reports.get(1).outcome() instanceof WorkOutcome.NotRun);
    assertTrue(
        reports(submit("new", 1, HALF_CAPACITY)).getFirst().outcome()
            instanceof WorkOutcome.NotRun);
  }

  /** Guards against giving up work whose runs may still be found in an evacuated domain. */
  @Test
  public void keepsWorkInEvacuatedShardDuringQuietPeriod() {
    changeShards(OWN_SHARD, OTHER_SHARD);
    UpstreamAnnouncement upstream = addUpstream("u1");
    evacuate("north");
    RunId run = new RunId(new TaskId("w", 0, 0), 1);
    handle(new LeaseEvent.Submitted("entry", TOKEN, 1, request("w", 1, HALF_CAPACITY), 0, 500));
    answerOpenRenewal(upstream, List.of(run), List.of());
    now += 100;
    assertEquals(
        reports(endRun(upstream, run, 1, RunEnd.Cause.DONE)).getFirst().outcome(),
        new WorkOutcome.Completed());
    handle(new LeaseEvent.Submitted("entry", TOKEN, 2, request("v", 1, HALF_CAPACITY), 0, 100));
    now += 100;
    assertTrue(
        reports(handle(new LeaseEvent.Tick())).getFirst().outcome() instanceof WorkOutcome.GivenUp);
  }

  /** Guards against a copy of an unanswered start that starts a task in an evacuated domain. */
  @Test
  public void resendsNoStartInEvacuatedDomain() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    submit("w", 1, HALF_CAPACITY);
    evacuate("north");
    answerLaterCallsFirst(upstream);
    assertTrue(starts(handle(new LeaseEvent.Tick())).isEmpty());
  }

  /** Guards against filling upstreams at once that may have become slow while evacuated. */
  @Test
  public void returnsLoadInStepWithCompletedTasksAfterEvacuation() {
    final UpstreamAnnouncement upstream = addUpstream("u1");
    evacuate("north");
    handle(new LeaseEvent.EvacuationsChanged(Set.of()));
    assertEquals(dispatcher.load().freeSlots(), 32);
    List<LeaseEffect.Start> starts = starts(submit("w", 4, HALF_CAPACITY));
    assertEquals(starts.size(), 1);
    assertEquals(starts(endRun(upstream, starts.getFirst().run(), 1, RunEnd.Cause.DONE)).size(), 2);
  }

  private List<LeaseEffect> evacuate(String domain) {
    return handle(new LeaseEvent.EvacuationsChanged(Set.of(domain)));
  }

  private List<LeaseEffect> changeShards(ShardId own, ShardId other) {
    return handle(new LeaseEvent.ShardsChanged(own, Set.of(own, other)));
  }

  /** Guards against a start of work that another dispatcher runs. */
  @Test
  public void startsNothingBeforeRegistrationIsConfirmed() {
    addUpstream("u1");
    String work = addRegistrar();
    List<LeaseEffect> submitted = submit(work, 1, HALF_CAPACITY);
    assertTrue(starts(submitted).isEmpty());
    assertEquals(
        effectsOfType(submitted, LeaseEffect.RegisterWork.class),
        List.of(new LeaseEffect.RegisterWork("registrar", 2_000, TOKEN, work, false)));
    handle(new LeaseEvent.RegistrationDeferred("registrar", TOKEN, work, "other"));
    tickUntil(now + 1_000);
    assertEquals(starts(confirmRegistration(work, 0)).size(), 1);
  }

  /** Guards against work that waits for a registrar which is down. */
  @Test
  public void startsWorkWhoseRegistrarDoesNotAnswer() {
    addUpstream("u1");
    submit(addRegistrar(), 1, HALF_CAPACITY);
    now += 100;
    assertEquals(starts(handle(new LeaseEvent.Tick())).size(), 1);
  }

  /** Guards against a refusal as "not run" of work that another dispatcher may have run. */
  @Test
  public void givesUpWorkThatOtherDispatcherHasUntilTimeout() {
    addUpstream("u1");
    String work = addRegistrar();
    submit(work, 1, HALF_CAPACITY);
    handle(new LeaseEvent.RegistrationDeferred("registrar", TOKEN, work, "other"));
    List<LeaseEffect.Report> reports = reports(tickUntil(now + 10_000));
    assertEquals(reports.size(), 1);
    assertEquals(reports.getFirst().outcome().getClass(), WorkOutcome.GivenUp.class);
  }

  /** Guards against another dispatcher's start while a stopped run is ending here. */
  @Test
  public void keepsCancelledWorkRegisteredUntilItsRunsAreOver() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    String work = addRegistrar();
    submit(work, 1, HALF_CAPACITY);
    RunId run = starts(confirmRegistration(work, 0)).getFirst().run();
    List<LeaseEffect> cancelled = handle(new LeaseEvent.Cancelled("entry", TOKEN, work));
    assertTrue(effectsOfType(cancelled, LeaseEffect.DeregisterWork.class).isEmpty());
    assertEquals(
        effectsOfType(
            endRun(upstream, run, 1, RunEnd.Cause.CUT_SHORT), LeaseEffect.DeregisterWork.class),
        List.of(new LeaseEffect.DeregisterWork("registrar", TOKEN, work)));
  }

  /** Adds a dispatcher of another shard, and returns the id of work of which it is registrar. */
  private String addRegistrar() {
    ShardDispatcher other = new ShardDispatcher("registrar", 2_000);
    Map<ShardId, ShardDispatcher> dispatchers =
        Map.of(OWN_SHARD, new ShardDispatcher("self", TOKEN), OTHER_SHARD, other);
    handle(new LeaseEvent.DispatchersChanged(dispatchers));
    return IntStream.range(0, 100)
        .mapToObj(number -> "w" + number)
        .filter(id -> WorkRegistrar.registrarOf(id, dispatchers).equals(Optional.of(other)))
        .findFirst()
        .orElseThrow();
  }

  private List<LeaseEffect> confirmRegistration(String work, long quietPeriodMillis) {
    return handle(
        new LeaseEvent.RegistrationConfirmed("registrar", TOKEN, work, quietPeriodMillis));
  }

  private List<LeaseEffect> tickUntil(long end) {
    List<LeaseEffect> effects = new ArrayList<>();
    while (now < end) {
      now += 25;
      handle(new LeaseEvent.EntryHostMessageReceived("entry", OptionalLong.of(0)));
      effects.addAll(handle(new LeaseEvent.Tick()));
    }
    return effects;
  }

  private long upstreamClock() {
    return UPSTREAM_CLOCK_OFFSET + now + clockAheadMillis;
  }

  private static UpstreamAnnouncement announcement(String id, long sequence, boolean leaving) {
    return announcement(id, "north", sequence, leaving);
  }

  private static UpstreamAnnouncement announcement(
      String id, String domain, long sequence, boolean leaving) {
    return new UpstreamAnnouncement(
        id,
        1,
        sequence,
        "desk",
        id + ":1",
        domain,
        leaving,
        new TaskSize(32_000, 64_000, 0),
        Set.of());
  }

  /** Announces an upstream, and answers its first renewal. */
  private UpstreamAnnouncement addUpstream(String id) {
    return addUpstream(id, "north");
  }

  private UpstreamAnnouncement addUpstream(String id, String domain) {
    UpstreamAnnouncement announcement = announcement(id, domain, 1, false);
    List<LeaseEffect> effects = handle(new LeaseEvent.Announced(announcement));
    recordRenewals(effects, announcement);
    answerOpenRenewal(announcement, List.of(), List.of());
    return announcement;
  }

  private void recordRenewals(List<LeaseEffect> effects, UpstreamAnnouncement announcement) {
    for (LeaseEffect.Renew renew : renewals(effects)) {
      openRenewals.put(renew.upstream().id(), renew);
    }
    assertTrue(
        openRenewals.containsKey(announcement.id()), "no renewal is open at " + announcement.id());
  }

  /** Answers the open renewal of an upstream with the given runs and ends. */
  private List<LeaseEffect> answerOpenRenewal(
      UpstreamAnnouncement upstream, List<RunId> running, List<RunEnd> ended) {
    LeaseEffect.Renew open =
        Optional.ofNullable(openRenewals.get(upstream.id()))
            .orElseGet(() -> firstRenewal(upstream));
    List<LeaseEffect> effects = answer(open, OrderResult.DONE, running, ended);
    renewals(effects).forEach(renew -> openRenewals.put(renew.upstream().id(), renew));
    return effects;
  }

  /** Returns the first renewal after the announcement of an upstream. */
  private LeaseEffect.Renew firstRenewal(UpstreamAnnouncement upstream) {
    return new LeaseEffect.Renew(upstream, 1, TOKEN, 0, 0, 0, 40);
  }

  private List<LeaseEffect> endRun(
      UpstreamAnnouncement upstream, RunId run, long number, RunEnd.Cause cause) {
    return answerOpenRenewal(upstream, List.of(), List.of(new RunEnd(number, run, cause)));
  }

  private void loseRenewalAnswers(UpstreamAnnouncement upstream) {
    for (int i = 0; i < 3; i++) {
      LeaseEffect.Renew open = openRenewals.get(upstream.id());
      List<LeaseEffect> effects =
          new ArrayList<>(answer(open, OrderResult.NO_ANSWER, List.of(), List.of()));
      effects.addAll(handle(new LeaseEvent.Tick()));
      renewals(effects).forEach(renew -> openRenewals.put(renew.upstream().id(), renew));
    }
  }

  private void answerWithClock(LeaseEffect.Renew renew, long clock) {
    List<LeaseEffect> effects =
        handle(
            new LeaseEvent.RenewalAnswered(
                renew.upstream(),
                renew.renewalNumber(),
                OrderResult.DONE,
                OptionalLong.of(clock),
                List.of(),
                List.of()));
    renewals(effects).forEach(next -> openRenewals.put(next.upstream().id(), next));
  }

  private List<LeaseEffect> answer(
      LeaseEffect.Renew renew, OrderResult result, List<RunId> running, List<RunEnd> ended) {
    return handle(
        new LeaseEvent.RenewalAnswered(
            renew.upstream(),
            renew.renewalNumber(),
            result,
            OptionalLong.of(upstreamClock()),
            running,
            ended));
  }

  private static WorkRequest request(String id, int tasks, TaskSize size) {
    return new WorkRequest(
        id, "q", "desk", "x", List.of(WorkStep.of(tasks, size, 100)), 0, 2, 1.6, 60, 2_500);
  }

  private static LeaseEvent.Submitted submitted(long ticket, WorkRequest request, long ageMillis) {
    return new LeaseEvent.Submitted("entry", TOKEN, ticket, request, ageMillis, 0);
  }

  private List<LeaseEffect> submit(String id, int tasks, TaskSize size) {
    return handle(submitted(1, request(id, tasks, size), 0));
  }

  private void reportContact(long ageMillis) {
    handle(new LeaseEvent.EntryHostMessageReceived("entry", OptionalLong.of(ageMillis)));
  }

  private static List<LeaseEffect.Start> starts(List<LeaseEffect> effects) {
    return effectsOfType(effects, LeaseEffect.Start.class);
  }

  private static List<LeaseEffect.Stop> stops(List<LeaseEffect> effects) {
    return effectsOfType(effects, LeaseEffect.Stop.class);
  }

  private static List<LeaseEffect.Renew> renewals(List<LeaseEffect> effects) {
    return effectsOfType(effects, LeaseEffect.Renew.class);
  }

  private static List<LeaseEffect.Report> reports(List<LeaseEffect> effects) {
    return effectsOfType(effects, LeaseEffect.Report.class);
  }

  private static List<LeaseEffect.LogEvent> logEvents(List<LeaseEffect> effects, String event) {
    return effectsOfType(effects, LeaseEffect.LogEvent.class).stream()
        .filter(logged -> logged.event().equals(event))
        .toList();
  }

  private static <T> List<T> effectsOfType(List<LeaseEffect> effects, Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
