package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.burdockbay.core.limits.WorkFootprint;
import org.burdockbay.core.limits.WorkLimits;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the work that isn't answered yet, the entry hosts that wait for it, and recent outcomes.
 *
 * <p>Work that is submitted again joins the work under way, or gets the outcome that was already
 * reported.
 */
final class WorkTable {

  /** How long outcomes are retained for entry hosts that submit again, in milliseconds. */
  private static final long OUTCOME_RETENTION_MILLIS = 5_000;

  /**
   * Maximum number of pieces of work whose run numbers are retained: some minutes' worth at 100
   * pieces of work a second.
   */
  private static final int MAX_RETAINED_RUN_NUMBERS = 20_000;

  /** How long the contact with silent entry hosts is retained, in milliseconds. */
  private static final long CONTACT_RETENTION_MILLIS = 60_000;

  /**
   * Maximum number of refusals that are retained; further work is ignored until some expire, and
   * its entry hosts submit it again.
   */
  private static final int MAX_RETAINED_REFUSALS = 20_000;

  private static final String EVACUATED = "failure domain evacuated";

  private final String self;
  private final DispatchContext context;
  private final RunTable runs;
  private final AdmissionRule admission;
  private final WorkRegistrations registrations;
  private final WorkLimits limits;
  private final Map<String, WorkState> works = new LinkedHashMap<>();

  /** The estimated memory of the unanswered work, in bytes. */
  private final AtomicLong usedBytes = new AtomicLong();

  /** When each entry host last received a message of this host, as far as known. */
  private final Map<String, Long> lastContactByHost = new HashMap<>();

  private final Map<String, RetainedOutcome> outcomes = new LinkedHashMap<>();
  private final Map<RefusedTicket, RetainedOutcome> refusals = new HashMap<>();
  private final Map<String, Long> highestRunNumbers = new LinkedHashMap<>();

  WorkTable(
      String self,
      DispatchContext context,
      RunTable runs,
      AdmissionRule admission,
      WorkRegistrations registrations,
      WorkLimits limits) {
    this.limits = limits;
    this.self = self;
    this.context = context;
    this.runs = runs;
    this.admission = admission;
    this.registrations = registrations;
  }

  /** Returns the work that isn't answered yet. */
  Collection<WorkState> unansweredWork() {
    return works.values();
  }

  /** Returns the estimated memory that the unanswered work takes, in bytes; on any thread. */
  long usedBytes() {
    return usedBytes.get();
  }

  /** Discards all state but the run numbers: answers to these runs may still arrive. */
  void clear() {
    works.values().forEach(this::retainRunNumber);
    works.clear();
    usedBytes.set(0);
    lastContactByHost.clear();
    outcomes.clear();
    refusals.clear();
  }

  /**
   * Ends the work that waits for tasks which only evacuated upstreams could run.
   *
   * <p>Work that has not started is refused, so that its entry host can offer it to another shard.
   * Work that has started in part can't be completed there, and is given up.
   */
  void endEvacuatedWork(LeaseTable leases) {
    List<UpstreamLease> own = leases.ownUpstreams();
    List<UpstreamLease> startable = leases.startableUpstreams();
    if (startable.size() == own.size()) {
      return;
    }
    for (WorkState work : List.copyOf(works.values())) {
      if (mayStart(work) && needsEvacuated(work, own, startable)) {
        if (work.mayHaveStarted) {
          context.logEvent(
              "work-evacuated",
              "work=" + work.request.id() + " age=" + (context.now() - work.arrivedAt));
          answer(work, new WorkOutcome.GivenUp(EVACUATED));
        } else {
          refuse(work, EVACUATED, AdmissionRule.RETRY_AFTER_MILLIS);
        }
      }
    }
  }

  /** Returns whether tasks of the work may start, as far as other dispatchers are concerned. */
  boolean mayStart(WorkState work) {
    return context.now() >= work.quietPeriodEndsAt && registrations.isConfirmed(work);
  }

  private boolean needsEvacuated(
      WorkState work, List<UpstreamLease> own, List<UpstreamLease> startable) {
    return work.steps.stream()
        .flatMap(tasks -> tasks.stream().filter(runs::isWaiting).limit(1))
        .anyMatch(
            task ->
                PlacementPolicy.canEverRun(own, task)
                    && !PlacementPolicy.canEverRun(startable, task));
  }

  /**
   * Records a heartbeat of an entry host.
   *
   * <p>What counts is when the entry host last received a message of this host, since its work
   * moves to another dispatcher with a quiet period counted from then. In a one-way partition its
   * heartbeats go on arriving; if they counted as contact and the partition then became complete,
   * tasks would start here until after that quiet period.
   */
  void recordContact(String entryHost, OptionalLong lastContactAgeMillis) {
    long ageMillis = Math.max(0, lastContactAgeMillis.orElse(0));
    lastContactByHost.put(entryHost, context.arrivedAt() - ageMillis);
  }

  /** Accepts or refuses submitted work. */
  void submit(LeaseEvent.Submitted submitted, LeaseTable leases) {
    String id = submitted.request().id();
    lastContactByHost.putIfAbsent(submitted.entryHost(), context.arrivedAt());
    RetainedOutcome retained = outcomes.get(id);
    if (retained != null && context.now() - retained.decidedAt <= OUTCOME_RETENTION_MILLIS) {
      report(submitted.entryHost(), id, retained.outcome);
      return;
    }
    RefusedTicket ticket = new RefusedTicket(submitted.entryHost(), submitted.ticket());
    RetainedOutcome refused = refusals.get(ticket);
    if (refused != null) {
      // This repetition was sent before the refusal arrived. Starting the work now would contradict
      // the refusal, which promised that nothing runs.
      report(submitted.entryHost(), id, refused.outcome);
      return;
    }
    if (isSilent(submitted.entryHost())) {
      // The entry host may have moved the work already. If not, it repeats the submission.
      context.logEvent(
          "submission-ignored", "work=" + id + " from=" + submitted.entryHost() + " reason=silent");
      return;
    }
    WorkState known = works.get(id);
    if (known != null) {
      // The same work again, from this or another entry host: it joins the work under way.
      known.tickets.put(submitted.entryHost(), submitted.ticket());
      known.quietPeriodEndsAt =
          Math.max(known.quietPeriodEndsAt, context.now() + submitted.quietPeriodMillis());
      known.mayHaveStarted |= submitted.quietPeriodMillis() > 0;
      return;
    }
    boolean mayHaveRun = submitted.quietPeriodMillis() > 0 || highestRunNumbers.containsKey(id);
    if (mayHaveRun && context.waitedMillis() > AdmissionRule.MAX_WAIT_MILLIS) {
      // Such work can't be refused as "not run" and is too old to start; the entry host repeats it.
      context.logEvent("submission-late", "work=" + id + " waited=" + context.waitedMillis());
      return;
    }
    long bytes = WorkFootprint.ofDispatch(submitted.request());
    Optional<String> excess = excess(submitted.request(), bytes);
    if (excess.isPresent()) {
      refuseUnaccepted(submitted, excess.get(), mayHaveRun);
      return;
    }
    WorkState work =
        new WorkState(submitted.request(), context.arrivedAt() - submitted.ageMillis(), bytes);
    work.origin = submitted.origin().isEmpty() ? submitted.entryHost() : submitted.origin();
    work.tickets.put(submitted.entryHost(), submitted.ticket());
    work.quietPeriodEndsAt = context.now() + submitted.quietPeriodMillis();
    // The work may have been dropped here, for an entry host that was lost and is back, or run by
    // another dispatcher, so it can no longer be refused as "not run".
    work.mayHaveStarted = mayHaveRun;
    works.put(id, work);
    usedBytes.addAndGet(bytes);
    long lastRun = highestRunNumbers.getOrDefault(id, 0L);
    work.steps.forEach(tasks -> tasks.forEach(task -> task.lastRunNumber = lastRun));
    runs.adoptRuns(work);
    work.waitedMillis = context.waitedMillis();
    registrations.register(work);
    context.logEvent(
        "work-accepted",
        "work="
            + id
            + " from="
            + submitted.entryHost()
            + " age="
            + submitted.ageMillis()
            + " quiet="
            + submitted.quietPeriodMillis()
            + " registered="
            + registrations.isConfirmed(work));
    if (work.isComplete()) {
      answer(work, new WorkOutcome.Completed());
    } else if (registrations.isConfirmed(work)) {
      admit(work, leases);
    }
  }

  /** Returns why a request isn't accepted for its size; empty if it is. */
  private Optional<String> excess(WorkRequest request, long bytes) {
    return limits
        .violation(request)
        .or(
            () ->
                limits.hasRoom(bytes, usedBytes.get())
                    ? Optional.empty()
                    : Optional.of("no memory at the dispatcher"));
  }

  /**
   * Refuses submitted work that isn't in the table. Work that an earlier dispatcher may have run is
   * given up instead, since a refusal promises that nothing has run.
   */
  private void refuseUnaccepted(LeaseEvent.Submitted submitted, String reason, boolean mayHaveRun) {
    String id = submitted.request().id();
    context.logEvent(
        "work-over-limit",
        "work="
            + id
            + " from="
            + submitted.entryHost()
            + " used="
            + usedBytes.get()
            + " reason="
            + reason.replace(' ', '-'));
    if (mayHaveRun) {
      report(submitted.entryHost(), id, new WorkOutcome.GivenUp(reason));
    } else if (refusals.size() < MAX_RETAINED_REFUSALS) {
      refuse(
          submitted.entryHost(),
          submitted.ticket(),
          id,
          new WorkOutcome.NotRun(reason, AdmissionRule.RETRY_AFTER_MILLIS));
    }
  }

  /** Decides about the work whose registration was confirmed since it was submitted. */
  void admitConfirmed(LeaseTable leases) {
    for (WorkState work : List.copyOf(works.values())) {
      if (!work.admitted && registrations.isConfirmed(work)) {
        admit(work, leases);
      }
    }
  }

  private void admit(WorkState work, LeaseTable leases) {
    work.admitted = true;
    if (leases.mayRefuseForCapacity()
        && !work.mayHaveStarted
        && admission.waitedTooLong(work, work.waitedMillis)) {
      refuse(work, "dispatcher overloaded", AdmissionRule.RETRY_AFTER_MILLIS);
    } else {
      refuseImpossible(work, leases);
    }
  }

  /**
   * Refuses work immediately if no upstream, or none of this shard that isn't evacuated, can run
   * it; in the latter case another shard may be tried.
   */
  private void refuseImpossible(WorkState work, LeaseTable leases) {
    if (leases.allUpstreams().isEmpty() || work.mayHaveStarted) {
      return;
    }
    if (!canEverRun(work, leases.allUpstreams())) {
      refuse(work, "no upstream can run it", AdmissionRule.RETRY_AFTER_MILLIS);
    } else if (!canEverRun(work, leases.ownUpstreams())) {
      refuse(work, "no upstream of the shard can run it", AdmissionRule.RETRY_AFTER_MILLIS);
    } else if (!canEverRun(work, leases.startableUpstreams())) {
      refuse(work, EVACUATED, AdmissionRule.RETRY_AFTER_MILLIS);
    }
  }

  private static boolean canEverRun(WorkState work, Collection<UpstreamLease> upstreams) {
    return work.steps.stream()
        .allMatch(tasks -> PlacementPolicy.canEverRun(upstreams, tasks.getFirst()));
  }

  void abandon(String entryHost, String workId) {
    WorkState work = works.get(workId);
    if (work == null) {
      return;
    }
    work.tickets.remove(entryHost);
    if (work.tickets.isEmpty()) {
      context.logEvent(
          "work-abandoned",
          "work=" + workId + " age=" + (context.now() - work.arrivedAt) + " from=" + entryHost);
      drop(work);
    }
  }

  /**
   * Drops the work of a lost entry host.
   *
   * <p>Its caller retries elsewhere, perhaps through a dispatcher on the other side of a partition.
   * The runs here have to be over by then.
   */
  void entryHostLost(String entryHost) {
    List<String> lost =
        works.values().stream()
            .filter(work -> work.tickets.containsKey(entryHost))
            .map(work -> work.request.id())
            .toList();
    lost.forEach(id -> abandon(entryHost, id));
  }

  @Nullable TaskState findTask(TaskId id) {
    WorkState work = works.get(id.work());
    boolean exists =
        work != null
            && id.step() < work.steps.size()
            && id.index() < work.steps.get(id.step()).size();
    return exists ? work.steps.get(id.step()).get(id.index()) : null;
  }

  /** Handles the result of a run of an earlier dispatcher. */
  void resultFound(TaskId id) {
    TaskState task = findTask(id);
    if (task == null) {
      runs.retainResult(id);
    } else if (task.isWaiting()) {
      finishTask(task);
    }
  }

  void finishTask(TaskState task) {
    task.work.markFinished(task);
    if (task.work.isComplete()) {
      answer(task.work, new WorkOutcome.Completed());
    }
  }

  void answer(WorkState work, WorkOutcome outcome) {
    String id = work.request.id();
    outcomes.put(id, new RetainedOutcome(outcome, context.now()));
    work.tickets.keySet().forEach(host -> report(host, id, outcome));
    drop(work);
  }

  void refuse(WorkState work, String reason, long retryAfterMillis) {
    context.logEvent(
        "work-refused",
        "work="
            + work.request.id()
            + " age="
            + (context.now() - work.arrivedAt)
            + " estimate="
            + work.criticalPathMillis()
            + " reason="
            + reason.replace(' ', '-'));
    remove(work);
    registrations.workEnded(work.request.id());
    WorkOutcome outcome = new WorkOutcome.NotRun(reason, retryAfterMillis);
    work.tickets.forEach((host, ticket) -> refuse(host, ticket, work.request.id(), outcome));
  }

  private void refuse(String host, long ticket, String id, WorkOutcome outcome) {
    refusals.put(new RefusedTicket(host, ticket), new RetainedOutcome(outcome, context.now()));
    report(host, id, outcome);
  }

  private void remove(WorkState work) {
    if (works.remove(work.request.id(), work)) {
      usedBytes.addAndGet(-work.bytes);
    }
  }

  private void report(String host, String id, WorkOutcome outcome) {
    context.emit(new LeaseEffect.Report(host, id, outcome));
  }

  /** Removes work and stops its runs. */
  private void drop(WorkState work) {
    remove(work);
    retainRunNumber(work);
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
    registrations.workEnded(work.request.id());
  }

  /**
   * Retains the highest run number of the work, so that no later run of it gets the same number.
   */
  private void retainRunNumber(WorkState work) {
    long highestRunNumber = 0;
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        highestRunNumber = Math.max(highestRunNumber, task.lastRunNumber);
      }
    }
    if (highestRunNumber > 0) {
      highestRunNumbers.put(work.request.id(), highestRunNumber);
    }
  }

  void tick() {
    dropLostEntryHosts();
    long now = context.now();
    outcomes.values().removeIf(retained -> now - retained.decidedAt > OUTCOME_RETENTION_MILLIS);
    refusals.values().removeIf(retained -> now - retained.decidedAt > OUTCOME_RETENTION_MILLIS);
    lastContactByHost.values().removeIf(contactAt -> now - contactAt > CONTACT_RETENTION_MILLIS);
    Iterator<String> oldest = highestRunNumbers.keySet().iterator();
    for (int i = highestRunNumbers.size(); i > MAX_RETAINED_RUN_NUMBERS; i--) {
      oldest.next();
      oldest.remove();
    }
    List.copyOf(works.values()).forEach(this::expireIfDue);
  }

  private void dropLostEntryHosts() {
    works.values().stream()
        .flatMap(work -> work.tickets.keySet().stream())
        .filter(this::isSilent)
        .collect(Collectors.toSet())
        .forEach(this::entryHostLost);
  }

  /**
   * Returns whether an entry host may have lost contact with this host, and moved its work to
   * another dispatcher.
   */
  private boolean isSilent(String entryHost) {
    Long lastContactAt = lastContactByHost.get(entryHost);
    return lastContactAt != null
        && !entryHost.equals(self)
        && context.now() - lastContactAt > LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS;
  }

  private void expireIfDue(WorkState work) {
    boolean mayRunElsewhere = !registrations.isConfirmed(work);
    if (context.now() >= work.expiresAt()) {
      if (work.mayHaveStarted || mayRunElsewhere) {
        context.logEvent(
            "work-expired",
            "work=" + work.request.id() + " age=" + (context.now() - work.arrivedAt));
        answer(work, new WorkOutcome.GivenUp("not finished in time"));
      } else {
        refuse(work, "not started in time", AdmissionRule.RETRY_AFTER_MILLIS);
      }
    } else if (!work.mayHaveStarted
        && !mayRunElsewhere
        && admission.exceedsTimeout(work, context.now())) {
      refuse(work, "no room in time", AdmissionRule.RETRY_AFTER_MILLIS);
    }
  }

  private record RetainedOutcome(WorkOutcome outcome, long decidedAt) {}

  private record RefusedTicket(String entryHost, long ticket) {}
}
