package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkOutcome;
import org.jspecify.annotations.Nullable;

/**
 * The work that isn't answered yet, who waits for it, and what was answered lately.
 *
 * <p>The same work submitted again joins what is under way, or gets the outcome that was told
 * before.
 */
final class WorkBook {

  /** Outcomes are kept for entry hosts that ask again, in milliseconds. */
  private static final long KEPT_OUTCOME_MILLIS = 5_000;

  /** Numbers of runs are kept for so many pieces of work; at 100 a second for some minutes. */
  private static final int KEPT_RUN_NUMBERS = 20_000;

  private final String self;
  private final DispatchContext context;
  private final RunBook runs;
  private final AdmissionRule admission;
  private final Map<String, WorkState> works = new LinkedHashMap<>();
  private final Map<String, Long> entriesHeard = new HashMap<>();
  private final Map<String, KeptOutcome> outcomes = new LinkedHashMap<>();
  private final Map<RefusedTicket, KeptOutcome> refusals = new HashMap<>();
  private final Map<String, Long> highestRuns = new LinkedHashMap<>();

  WorkBook(String self, DispatchContext context, RunBook runs, AdmissionRule admission) {
    this.self = self;
    this.context = context;
    this.runs = runs;
    this.admission = admission;
  }

  /** Returns the work that isn't answered. */
  Collection<WorkState> unanswered() {
    return works.values();
  }

  /** Forgets everything but the numbers of runs: answers to them may still come. */
  void clear() {
    works.values().forEach(this::keepRunNumber);
    works.clear();
    entriesHeard.clear();
    outcomes.clear();
    refusals.clear();
  }

  /** Notes that an entry host is alive. */
  void entryHeard(String entryHost) {
    entriesHeard.merge(entryHost, context.arrivedAt(), Math::max);
  }

  /** Takes submitted work up, or refuses it. */
  void submitted(LeaseEvent.Submitted submitted, LeaseBook leases) {
    String id = submitted.request().id();
    entryHeard(submitted.entryHost());
    KeptOutcome kept = outcomes.get(id);
    if (kept != null && context.now() - kept.at <= KEPT_OUTCOME_MILLIS) {
      report(submitted.entryHost(), id, kept.outcome);
      return;
    }
    RefusedTicket ticket = new RefusedTicket(submitted.entryHost(), submitted.ticket());
    KeptOutcome refused = refusals.get(ticket);
    if (refused != null) {
      // A repetition that crossed the refusal on its way. Starting it now would make the refusal,
      // which promised that nothing runs, untrue.
      report(submitted.entryHost(), id, refused.outcome);
      return;
    }
    WorkState known = works.get(id);
    if (known != null) {
      // The same work again, from this or another entry host: it joins what is under way.
      known.tickets.put(submitted.entryHost(), submitted.ticket());
      known.quietUntil = Math.max(known.quietUntil, context.now() + submitted.quietMillis());
      known.offered |= submitted.quietMillis() > 0;
      return;
    }
    boolean mayHaveRun = submitted.quietMillis() > 0 || highestRuns.containsKey(id);
    if (mayHaveRun && context.waitedMillis() > AdmissionRule.MOST_WAIT_MILLIS) {
      // It can't be refused as "not run", and is too old to start; the entry host repeats it.
      context.note("submission-late", "work=" + id + " waited=" + context.waitedMillis());
      return;
    }
    WorkState work =
        new WorkState(submitted.request(), context.arrivedAt() - submitted.ageMillis());
    work.tickets.put(submitted.entryHost(), submitted.ticket());
    work.quietUntil = context.now() + submitted.quietMillis();
    // Dropped before, for an entry host that was lost and is back, or run by another dispatcher:
    // "not run" can't be promised any more.
    work.offered = mayHaveRun;
    works.put(id, work);
    long lastRun = highestRuns.getOrDefault(id, 0L);
    work.steps.forEach(tasks -> tasks.forEach(task -> task.lastRun = lastRun));
    runs.adoptAll(work);
    if (work.complete()) {
      answer(work, new WorkOutcome.Completed());
    } else if (leases.allHeard()
        && !work.offered
        && admission.overdue(work, context.waitedMillis())) {
      refuse(work, "dispatcher overloaded", AdmissionRule.RETRY_MILLIS);
    } else {
      refuseImpossible(work, leases);
    }
  }

  /** Refuses at once what no upstream can run, or none of this shard; others may then be asked. */
  private void refuseImpossible(WorkState work, LeaseBook leases) {
    if (leases.all().isEmpty() || work.offered) {
      return;
    }
    if (!possible(work, leases.all())) {
      refuse(work, "no upstream can run it", AdmissionRule.RETRY_MILLIS);
    } else if (!possible(work, leases.inScope())) {
      refuse(work, "no upstream of the shard can run it", AdmissionRule.RETRY_MILLIS);
    }
  }

  private static boolean possible(WorkState work, Collection<UpstreamLease> upstreams) {
    return work.steps.stream()
        .allMatch(tasks -> PlacementPolicy.possible(upstreams, tasks.getFirst()));
  }

  void abandon(String entryHost, String workId) {
    WorkState work = works.get(workId);
    if (work == null) {
      return;
    }
    work.tickets.remove(entryHost);
    if (work.tickets.isEmpty()) {
      context.note("work-abandoned", "work=" + workId + " age=" + (context.now() - work.arrivedAt));
      drop(work);
    }
  }

  /**
   * Drops the work of a lost entry host.
   *
   * <p>Its caller comes again elsewhere, perhaps to a dispatcher on the other side of a partition.
   * What runs here has to be over by then.
   */
  void entryLost(String entryHost) {
    List<String> lost =
        works.values().stream()
            .filter(work -> work.tickets.containsKey(entryHost))
            .map(work -> work.request.id())
            .toList();
    lost.forEach(id -> abandon(entryHost, id));
  }

  @Nullable TaskState task(TaskId id) {
    WorkState work = works.get(id.work());
    boolean exists =
        work != null
            && id.step() < work.steps.size()
            && id.index() < work.steps.get(id.step()).size();
    return exists ? work.steps.get(id.step()).get(id.index()) : null;
  }

  /** Takes the result of a run of an earlier dispatcher. */
  void foundFinished(TaskId id) {
    TaskState task = task(id);
    if (task == null) {
      runs.keepFinished(id);
    } else if (task.waits()) {
      finish(task);
    }
  }

  void finish(TaskState task) {
    task.work.finished(task);
    if (task.work.complete()) {
      answer(task.work, new WorkOutcome.Completed());
    }
  }

  void answer(WorkState work, WorkOutcome outcome) {
    String id = work.request.id();
    outcomes.put(id, new KeptOutcome(outcome, context.now()));
    work.tickets.keySet().forEach(host -> report(host, id, outcome));
    drop(work);
  }

  void refuse(WorkState work, String reason, long retryAfterMillis) {
    context.note(
        "work-refused",
        "work="
            + work.request.id()
            + " age="
            + (context.now() - work.arrivedAt)
            + " estimate="
            + work.chainMillis()
            + " reason="
            + reason.replace(' ', '-'));
    works.remove(work.request.id());
    WorkOutcome outcome = new WorkOutcome.NotRun(reason, retryAfterMillis);
    work.tickets.forEach(
        (host, ticket) -> {
          refusals.put(new RefusedTicket(host, ticket), new KeptOutcome(outcome, context.now()));
          report(host, work.request.id(), outcome);
        });
  }

  private void report(String host, String id, WorkOutcome outcome) {
    context.emit(new LeaseEffect.Report(host, id, outcome));
  }

  /** Forgets work and stops what runs of it. */
  private void drop(WorkState work) {
    works.remove(work.request.id());
    keepRunNumber(work);
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        LeasedRun run = task.run;
        if (run != null) {
          run.task = null;
          task.run = null;
          runs.stop(run);
        }
      }
    }
  }

  /** Keeps the highest number of a run, so that no later run of the work gets the same one. */
  private void keepRunNumber(WorkState work) {
    long highest = 0;
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        highest = Math.max(highest, task.lastRun);
      }
    }
    if (highest > 0) {
      highestRuns.put(work.request.id(), highest);
    }
  }

  void tick() {
    dropLostEntries();
    long now = context.now();
    outcomes.values().removeIf(kept -> now - kept.at > KEPT_OUTCOME_MILLIS);
    refusals.values().removeIf(kept -> now - kept.at > KEPT_OUTCOME_MILLIS);
    if (highestRuns.size() > KEPT_RUN_NUMBERS) {
      highestRuns.remove(highestRuns.keySet().iterator().next());
    }
    List.copyOf(works.values()).forEach(this::expire);
  }

  private void dropLostEntries() {
    List<String> silent =
        entriesHeard.entrySet().stream()
            .filter(heard -> context.now() - heard.getValue() > LeaseTerms.ENTRY_LOST_MILLIS)
            .map(Map.Entry::getKey)
            .filter(host -> !host.equals(self))
            .toList();
    for (String host : silent) {
      entriesHeard.remove(host);
      entryLost(host);
    }
  }

  private void expire(WorkState work) {
    if (context.now() >= work.expiresAt()) {
      if (work.offered) {
        context.note(
            "work-expired",
            "work=" + work.request.id() + " age=" + (context.now() - work.arrivedAt));
        answer(work, new WorkOutcome.GivenUp("not finished in time"));
      } else {
        refuse(work, "not started in time", AdmissionRule.RETRY_MILLIS);
      }
    } else if (!work.offered && admission.hopeless(work, context.now())) {
      refuse(work, "no room in time", AdmissionRule.RETRY_MILLIS);
    }
  }

  private record KeptOutcome(WorkOutcome outcome, long at) {}

  private record RefusedTicket(String entryHost, long ticket) {}
}
