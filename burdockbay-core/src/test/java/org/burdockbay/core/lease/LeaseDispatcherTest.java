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
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Plays single stories against a {@link LeaseDispatcher}. */
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

  /** Creates a dispatcher with the role and no upstream. */
  @BeforeMethod
  public void setUp() {
    dispatcher = new LeaseDispatcher("self", LeaseTiming.DEFAULT);
    openRenewals.clear();
    now = 10_000;
    clockAheadMillis = 0;
    handle(new LeaseEvent.RoleGained(TOKEN));
  }

  /** A caller's two tasks run on the one upstream with room, and the caller hears it once. */
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

  /** Three halves don't fit into one upstream: the third waits for the first to end. */
  @Test
  public void startsNoMoreThanFits() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    List<LeaseEffect.Start> starts = starts(submit("w", 3, HALF_CAPACITY));
    assertEquals(starts.size(), 2);
    assertEquals(starts(endRun(upstream, starts.get(0).run(), 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * A start is never answered. The list that the upstream gives next has the run, so it isn't
   * started a second time and its end counts.
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
   * A start is never answered and the list doesn't have the run. It may still be carried out
   * seconds later, so it is stopped, and starts elsewhere only once the stop is confirmed.
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
        "asked for before the confirmation");
    now += 5;
    List<LeaseEffect.Start> again = starts(answerOpenRenewal(first, List.of(), List.of()));
    assertEquals(again.size(), 1);
    assertTrue(again.getFirst().run().number() > run.number());
    assertFalse(second.id().isEmpty());
  }

  /**
   * A contract was confirmed twice within milliseconds. A renewal is sent; within the same
   * millisecond the upstream confirms a start that it took after it had made its list. The list,
   * which can't have the run, comes last over another connection. Read by the clock, the renewal
   * and the confirmation are simultaneous, and the run would count as over.
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
    assertTrue(starts(effects).isEmpty(), "the run goes on");
    assertEquals(reports(endRun(upstream, run, 2, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * An upstream lost a run without a word. A list that was asked for after the start was confirmed
   * doesn't have it, so the task starts again, and the log says why.
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
   * A start is held up on the network, and the next call works. The start is sent again under the
   * same run number long before it counts as unanswered, and the caller's short task is still in
   * time.
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
   * A start is sent again while another job's run is being stopped there. A copy with a later lease
   * would keep alive what has to end before its caller comes again elsewhere.
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
   * A dispatcher takes over on a process that has just started, and every answer comes late. Sent
   * again after a fixed time, each of its first starts went out four times, and the answers came
   * later still.
   */
  @Test
  public void doesNotResendWhileAllAnswersAreDelayed() {
    addUpstream("u1");
    submit("w", 1, HALF_CAPACITY);
    now += 2 * LeaseTiming.DEFAULT.resendIntervalMillis();
    assertTrue(starts(handle(new LeaseEvent.Tick())).isEmpty());
  }

  /**
   * The first copy of a start was carried out and its answer lost; the task has ended when the
   * second copy comes, which is refused as old. The end, which a list brings later, counts, and
   * nothing starts meanwhile.
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
   * The first copy of a start is held up, and the second finds no room. The first may be carried
   * out seconds later, so the task starts elsewhere only once a stop was confirmed.
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
   * An upstream falls silent while it runs a task. The task starts elsewhere only once the lease is
   * over on the slowest clock that an upstream may have.
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
   * An upstream announces itself and answers calls, and its task hangs. The job's other tasks ended
   * long ago on other upstreams; the last one is stopped there and starts elsewhere, once the
   * upstream has shown that it is gone.
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
    Map<String, List<LeaseEffect.Start>> byUpstream = new HashMap<>();
    starts.forEach(
        start ->
            byUpstream.computeIfAbsent(start.upstream().id(), id -> new ArrayList<>()).add(start));
    RunId hanging = byUpstream.get("u1").getFirst().run();
    for (UpstreamAnnouncement upstream : upstreams) {
      long number = 0;
      for (LeaseEffect.Start start : byUpstream.get(upstream.id())) {
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

  /** A task that fails starts on another upstream, and the job fails after its last attempt. */
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

  /** A leaving upstream gets nothing new, and what it runs is finished. */
  @Test
  public void startsNothingOnLeavingUpstreams() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    handle(new LeaseEvent.Announced(announcement("u1", 2, true)));
    assertTrue(starts(submit("x", 1, HALF_CAPACITY)).isEmpty());
    assertEquals(reports(endRun(upstream, run, 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * A dispatcher takes over while an upstream runs a task of a job whose entry host submits it
   * again. The run goes on and isn't started a second time.
   */
  @Test
  public void adoptsRunsThatAnEarlierDispatcherStarted() {
    UpstreamAnnouncement notice = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(notice));
    WorkRequest request = request("w", 1, HALF_CAPACITY);
    handle(new LeaseEvent.Submitted("entry", TOKEN, 1, request, 300, 1_000));
    RunId run = new RunId(new TaskId("w", 0, 0), 3);
    assertTrue(starts(answerOpenRenewal(notice, List.of(run), List.of())).isEmpty());
    assertEquals(reports(endRun(notice, run, 1, RunEnd.Cause.DONE)).size(), 1);
  }

  /**
   * A dispatcher is outranked and claims the role again at once. An entry host repeats its work
   * before it hears of the new token; it doesn't know yet that the earlier role may still run it.
   * Nothing starts until the entry host says for how long, and its late cancellation of the earlier
   * submission doesn't touch the new one.
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
   * A task would run twice: a dispatcher claims its role again and takes its own run over, and then
   * an answer to its earlier role comes, late, that a copy of the start was refused.
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
    assertTrue(starts(effects).isEmpty(), "the run goes on at " + first.id());
    assertTrue(logEvents(effects, "outranked").isEmpty(), first.id() + " obeys the new token");
  }

  /**
   * A caller would wait in vain: an upstream leaves before anybody has claimed what runs there, and
   * nothing tells when a run on a forgotten upstream is over.
   */
  @Test
  public void restartsUnclaimedRunOfDepartedUpstream() {
    UpstreamAnnouncement notice = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(notice));
    RunId run = new RunId(new TaskId("w", 0, 0), 3);
    answerOpenRenewal(notice, List.of(run), List.of());
    final long leaseEnd = now + LeaseTiming.DEFAULT.maxLeaseMillis();
    handle(new LeaseEvent.Departed(notice));
    final List<LeaseEffect> effects = new ArrayList<>(submit("w", 1, HALF_CAPACITY));
    addUpstream("u2");
    while (now <= leaseEnd) {
      assertTrue(starts(effects).isEmpty(), "the lease of u1 may last");
      now += 100;
      effects.addAll(handle(new LeaseEvent.EntryHostMessageReceived("entry")));
      effects.addAll(handle(new LeaseEvent.Tick()));
    }
    assertEquals(starts(effects).size(), 1);
  }

  /**
   * A task would run twice: a second entry host submits work that is known, and says that another
   * dispatcher may go on with it for a while.
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

  /** A run that no entry host claims is stopped, and the lease isn't renewed until it is. */
  @Test
  public void stopsUnclaimedRuns() {
    UpstreamAnnouncement notice = announcement("u1", 1, false);
    handle(new LeaseEvent.Announced(notice));
    RunId run = new RunId(new TaskId("gone", 0, 0), 1);
    List<LeaseEffect> effects = answerOpenRenewal(notice, List.of(run), List.of());
    assertEquals(renewals(effects).getFirst().deadlineMillis(), 0);
    now += TakenOverRuns.CLAIM_TIMEOUT_MILLIS + 1;
    assertEquals(stops(handle(new LeaseEvent.Tick())).getFirst().run(), run);
  }

  /**
   * An entry host's repetition of its work crosses the refusal on the way. Starting the work then
   * would make the refusal, which promised that nothing runs, untrue.
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

  /** The caller leaves: what runs for it is stopped at once. */
  @Test
  public void stopsTheWorkOfCallersThatLeave() {
    addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    assertEquals(
        stops(handle(new LeaseEvent.Cancelled("entry", TOKEN, "w"))).getFirst().run(), run);
  }

  /**
   * A caller leaves while its start is on the way. The stop is lost, and the start's confirmation
   * comes after it. It confirms no stop, so the stop is sent again, and the lease isn't extended
   * for a run that nobody wants.
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
   * An entry host falls silent: its work is dropped after 450 ms, as its callers come elsewhere.
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

  /** A process that stood still has lost the role, whatever it believes. */
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
   * A machine is suspended together with its clock, and its callers come again elsewhere. When it
   * goes on, no event is late by its clock; the first answer of an upstream tells that time has
   * passed there, before any start can get a lease that holds.
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

  /** After a suspension, the clock in a start's answer must not give later starts a valid lease. */
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

  /** After a suspension, the clock in a start's answer must not give later starts a valid lease. */
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

  /** An answer that was held up on the network shows no standstill, nor does the next one. */
  @Test
  public void doesNotTreatDelayedAnswerAsPause() {
    final UpstreamAnnouncement upstream = addUpstream("u1");
    final long clockThen = upstreamClock();
    now += 240;
    handle(new LeaseEvent.EntryHostMessageReceived("entry"));
    now += 240;
    answerWithClock(openRenewals.get("u1"), clockThen);
    answerOpenRenewal(upstream, List.of(), List.of());
    assertTrue(dispatcher.isDispatching());
  }

  /** An upstream that has seen a higher token is left alone for a while, then outbid. */
  @Test
  public void supersedesHigherTokenOnlyAfterSeveralRefusals() {
    UpstreamAnnouncement notice = announcement("u1", 1, false);
    List<LeaseEffect> effects = handle(new LeaseEvent.Announced(notice));
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
      assertTrue(refusals < 10, "never outbid");
    }
    assertEquals(refusals, 3);
  }

  /**
   * A partition heals, and an upstream that the other side's dispatcher had taken refuses the
   * orders that were on their way. They are one refusal: counted each for itself, both dispatchers
   * outbid each other several times before they heard of each other, and their tokens ran so far
   * ahead that a restarted host was refused for as long as it lived.
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

  /** Lets a later call to the upstream be answered before the one that waits. */
  private void answerLaterCallsFirst(UpstreamAnnouncement upstream) {
    now += 15;
    answerOpenRenewal(upstream, List.of(), List.of());
    now += LeaseTiming.DEFAULT.resendIntervalMillis() - 15;
    answerOpenRenewal(upstream, List.of(), List.of());
  }

  /** Work of a dead entry host that had waited here would run on until its caller came again. */
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

  private List<LeaseEffect> handle(LeaseEvent event) {
    List<LeaseEffect> effects = new ArrayList<>(dispatcher.handle(event, now));
    effects.addAll(dispatcher.place(now));
    return effects;
  }

  /** A host that owns one shard renewed leases on all upstreams, and had no time left for it. */
  @Test
  public void renewsLeasesInOwnShardOnly() {
    changeShards(OTHER_SHARD, OWN_SHARD);
    assertTrue(renewals(handle(new LeaseEvent.Announced(announcement("u1", 1, false)))).isEmpty());
    assertEquals(renewals(changeShards(OWN_SHARD, OTHER_SHARD)).size(), 1, "taken over at once");
  }

  /** A job was given up as impossible, though an upstream of another shard could run it. */
  @Test
  public void refusesWorkThatOnlyOtherShardsCanRun() {
    changeShards(OTHER_SHARD, OWN_SHARD);
    handle(new LeaseEvent.Announced(announcement("u1", 1, false)));
    WorkOutcome refusal = reports(submit("w", 1, HALF_CAPACITY)).getFirst().outcome();
    assertEquals(((WorkOutcome.NotRun) refusal).reason(), "no upstream of the shard can run it");
  }

  /**
   * An upstream goes to another shard while a run is there. The run ends in peace and is answered;
   * nothing more starts there, and its lease is made no longer.
   */
  @Test
  public void finishesRunsOnUpstreamsThatLeaveShard() {
    UpstreamAnnouncement upstream = addUpstream("u1");
    RunId run = starts(submit("w", 1, HALF_CAPACITY)).getFirst().run();
    changeShards(OTHER_SHARD, OWN_SHARD);
    assertTrue(starts(submit("v", 1, HALF_CAPACITY)).isEmpty());
    LeaseEffect.Renew reading =
        renewals(answerOpenRenewal(upstream, List.of(run), List.of())).getFirst();
    assertEquals(reading.deadlineMillis(), 0);
    List<LeaseEffect> effects = endRun(upstream, run, 1, RunEnd.Cause.DONE);
    assertEquals(reports(effects).getFirst().outcome(), new WorkOutcome.Completed());
    assertTrue(renewals(effects).isEmpty(), "nothing is left to read");
  }

  /**
   * The other shard's dispatcher has taken the upstream over, and refuses are as they should be.
   * Counted, they made this host give its whole shard up for a higher token.
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
    assertEquals(logEvents(effects, "lease-over").size(), 1, "the run is over with its lease");
  }

  private List<LeaseEffect> changeShards(ShardId own, ShardId other) {
    return handle(new LeaseEvent.ShardsChanged(own, Set.of(own, other)));
  }

  private long upstreamClock() {
    return UPSTREAM_CLOCK_OFFSET + now + clockAheadMillis;
  }

  private static UpstreamAnnouncement announcement(String id, long sequence, boolean leaving) {
    return new UpstreamAnnouncement(
        id,
        1,
        sequence,
        "desk",
        id + ":1",
        "north",
        leaving,
        new TaskSize(32_000, 64_000, 0),
        Set.of());
  }

  /** Announces an upstream and answers its first renewal. */
  private UpstreamAnnouncement addUpstream(String id) {
    UpstreamAnnouncement notice = announcement(id, 1, false);
    List<LeaseEffect> effects = handle(new LeaseEvent.Announced(notice));
    recordRenewals(effects, notice);
    answerOpenRenewal(notice, List.of(), List.of());
    return notice;
  }

  private void recordRenewals(List<LeaseEffect> effects, UpstreamAnnouncement notice) {
    for (LeaseEffect.Renew renew : renewals(effects)) {
      openRenewals.put(renew.upstream().id(), renew);
    }
    assertTrue(openRenewals.containsKey(notice.id()), "no renewal is open at " + notice.id());
  }

  /** Answers the open renewal of an upstream with lists. */
  private List<LeaseEffect> answerOpenRenewal(
      UpstreamAnnouncement upstream, List<RunId> running, List<RunEnd> ended) {
    LeaseEffect.Renew open =
        Optional.ofNullable(openRenewals.get(upstream.id()))
            .orElseGet(() -> firstRenewal(upstream));
    List<LeaseEffect> effects = answer(open, OrderResult.DONE, running, ended);
    renewals(effects).forEach(renew -> openRenewals.put(renew.upstream().id(), renew));
    return effects;
  }

  /** Returns the renewal that followed the announcement, which is the first one of all. */
  private LeaseEffect.Renew firstRenewal(UpstreamAnnouncement upstream) {
    return new LeaseEffect.Renew(upstream, 1, TOKEN, 0, 0, 0, 40);
  }

  private List<LeaseEffect> endRun(
      UpstreamAnnouncement upstream, RunId run, long number, RunEnd.Cause cause) {
    return answerOpenRenewal(upstream, List.of(), List.of(new RunEnd(number, run, cause)));
  }

  private void loseRenewalAnswers(UpstreamAnnouncement upstream) {
    for (int times = 0; times < 3; times++) {
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
        .filter(note -> note.event().equals(event))
        .toList();
  }

  private static <T> List<T> effectsOfType(List<LeaseEffect> effects, Class<T> kind) {
    return effects.stream().filter(kind::isInstance).map(kind::cast).toList();
  }
}
