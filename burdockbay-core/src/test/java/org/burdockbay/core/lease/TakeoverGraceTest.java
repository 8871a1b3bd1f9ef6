package org.burdockbay.core.lease;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which work a {@link LeaseDispatcher} refuses just after it got its role. */
public class TakeoverGraceTest {

  private static final long TOKEN = 1_000;
  private static final ShardId SHARD = new ShardId("north", 0);
  private static final SchedulingOptions STAGED =
      SchedulingOptions.builder().stagedRecovery(true).build();
  private static final TaskSize TASK = new TaskSize(16_000, 64, 0);
  private static final TaskSize CAPACITY = new TaskSize(32_000, 64_000, 0);

  /** Handling time of a submission that counts as overload for a task of 100 ms. */
  private static final long LONG_WAIT_MILLIS = 200;

  private LeaseDispatcher dispatcher;
  private List<LeaseEffect.Renew> renewals;
  private long now;

  /** Starts a host that has no role. */
  @BeforeMethod
  public void setUp() {
    now = 10_000;
  }

  /**
   * Guards against refusing as overloaded what waited while the process was cold: no upstream is
   * known yet, so all known ones have answered.
   */
  @Test
  public void refusesNothingAsOverloadedBeforeUpstreamsAreKnown() {
    gainRole(STAGED, SHARD);
    now += LONG_WAIT_MILLIS;
    assertEquals(refusals(submitLate("w")), List.of());
  }

  /** Guards against a dispatcher that never refuses overload as it knows no upstream. */
  @Test
  public void refusesOverloadOnceGraceIsOver() {
    gainRole(STAGED, SHARD);
    tickUntil(now + TakeoverGrace.MAX_GRACE_MILLIS);
    assertEquals(refusals(submitLate("w")), List.of("dispatcher overloaded"));
  }

  /** Guards against refusing for lack of room on the few upstreams that have answered. */
  @Test
  public void refusesNothingForLackOfRoomBeforeAllUpstreamsAnswered() {
    gainRole(STAGED, SHARD, "u1", "u2");
    answerRenewal("u1", OrderResult.DONE);
    assertEquals(refusals(submitMany()), List.of());
    List<LeaseEffect> effects = answerRenewal("u2", OrderResult.DONE);
    assertTrue(refusals(effects).contains("no room in time"), "not refused after the answer");
  }

  /**
   * Guards against counting an upstream whose first renewal wasn't answered in time as unavailable:
   * on a cold host the answer is late.
   */
  @Test
  public void awaitsUpstreamsWhoseFirstRenewalWasNotAnswered() {
    gainRole(STAGED, SHARD, "u1", "u2");
    answerRenewal("u1", OrderResult.DONE);
    answerRenewal("u2", OrderResult.NO_ANSWER);
    assertEquals(refusals(submitMany()), List.of());
  }

  /** Guards against work that waits for upstreams which never answer. */
  @Test
  public void refusesForLackOfRoomOnceGraceIsOver() {
    gainRole(STAGED, SHARD, "u1", "u2");
    answerRenewal("u1", OrderResult.DONE);
    answerRenewal("u2", OrderResult.NO_ANSWER);
    tickUntil(now + TakeoverGrace.MAX_GRACE_MILLIS);
    assertTrue(refusals(submitMany()).contains("no room in time"));
  }

  /** Guards against waiting with a refusal that no further answer can change. */
  @Test
  public void refusesImpossibleWorkAtOnce() {
    gainRole(STAGED, SHARD, "u1");
    assertEquals(
        refusals(submit("w", new TaskSize(64_000, 64, 0), 100, now)),
        List.of("no upstream can run it"));
  }

  /** Guards against changes where the option is off or the fleet isn't divided. */
  @Test
  public void keepsRulesOfUndividedFleets() {
    gainRole(SchedulingOptions.NONE, SHARD);
    now += LONG_WAIT_MILLIS;
    assertEquals(refusals(submitLate("w")), List.of("dispatcher overloaded"));
    gainRole(STAGED, ShardId.WHOLE_FLEET);
    now += LONG_WAIT_MILLIS;
    assertEquals(refusals(submitLate("w")), List.of("dispatcher overloaded"));
  }

  private void gainRole(SchedulingOptions options, ShardId shard, String... upstreams) {
    dispatcher = new LeaseDispatcher("self", LeaseTiming.DEFAULT, options);
    renewals = new ArrayList<>();
    handle(new LeaseEvent.ShardsChanged(shard, Set.of(shard)));
    for (String upstream : upstreams) {
      handle(new LeaseEvent.Announced(announcement(upstream)));
    }
    handle(new LeaseEvent.RoleGained(TOKEN));
  }

  private static UpstreamAnnouncement announcement(String id) {
    return new UpstreamAnnouncement(
        id, 1, 1, "desk", id + ":1", "north", false, CAPACITY, Set.of());
  }

  private List<LeaseEffect> answerRenewal(String upstream, OrderResult result) {
    LeaseEffect.Renew renew =
        renewals.stream().filter(sent -> sent.upstream().id().equals(upstream)).toList().getLast();
    return handle(
        new LeaseEvent.RenewalAnswered(
            renew.upstream(),
            renew.renewalNumber(),
            result,
            OptionalLong.of(now),
            List.of(),
            List.of()));
  }

  /** Submits more work than the answered upstream can start in time. */
  private List<LeaseEffect> submitMany() {
    List<LeaseEffect> effects = new ArrayList<>();
    for (int i = 0; i < 40; i++) {
      effects.addAll(submit("many" + i, TASK, 100, now));
    }
    return effects;
  }

  /** Submits work that arrived long before it is handled. */
  private List<LeaseEffect> submitLate(String id) {
    return submit(id, TASK, 100, now - LONG_WAIT_MILLIS);
  }

  private List<LeaseEffect> submit(String id, TaskSize size, long estimateMillis, long arrivedAt) {
    WorkStep step = WorkStep.of(1, size, estimateMillis);
    WorkRequest request =
        new WorkRequest(id, "q", "desk", "x", List.of(step), 0, 2, 1.6, 60, 2_500);
    LeaseEvent event = new LeaseEvent.Submitted("entry", TOKEN, 1, request, 0, 0);
    return record(dispatcher.handle(event, arrivedAt, now));
  }

  private void tickUntil(long end) {
    while (now < end) {
      now = Math.min(end, now + 100);
      handle(new LeaseEvent.EntryHostMessageReceived("entry"));
      handle(new LeaseEvent.Tick());
    }
  }

  private List<LeaseEffect> handle(LeaseEvent event) {
    return record(dispatcher.handle(event, now));
  }

  private List<LeaseEffect> record(List<LeaseEffect> handled) {
    List<LeaseEffect> effects = new ArrayList<>(handled);
    effects.addAll(dispatcher.place(now));
    for (LeaseEffect effect : effects) {
      if (effect instanceof LeaseEffect.Renew renew) {
        renewals.add(renew);
      }
    }
    return effects;
  }

  /** Returns the reasons of all refusals. */
  private static List<String> refusals(List<LeaseEffect> effects) {
    List<String> reasons = new ArrayList<>();
    for (LeaseEffect effect : effects) {
      if (effect instanceof LeaseEffect.Report report
          && report.outcome() instanceof WorkOutcome.NotRun notRun) {
        reasons.add(notRun.reason());
      }
    }
    return reasons;
  }
}
