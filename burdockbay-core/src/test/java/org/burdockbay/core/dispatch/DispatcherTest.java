package org.burdockbay.core.dispatch;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.statechart.StateChartException;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests single failures of one dispatcher; each test covers a row of docs/PROOFS.md. */
public class DispatcherTest {

  private static final String CONFIGURATION =
      """
      [service desk]
      queue-limit = 50
      [job booking]
      service = desk
      deadline-ms = 5000
      [job check]
      service = desk
      idempotent = true
      deadline-ms = 5000
      run-time-ms = 100
      retries = 2
      [job hedged]
      service = desk
      idempotent = true
      hedge = true
      run-time-ms = 100
      [caller a]
      credential-sha256 = %s
      services = desk
      quota = 100
      [caller b]
      credential-sha256 = %s
      services = desk
      quota = 100
      """
          .formatted("a".repeat(64), "b".repeat(64));

  private Dispatcher dispatcher;
  private long now;
  private List<DispatchEffect> effects;

  /** Creates a dispatcher that has its epoch and two runners with two slots each. */
  @BeforeMethod
  public void makeDispatcher() throws StateChartException, ConfigurationException {
    dispatcher = new Dispatcher("north");
    now = 1_000_000;
    effects = new ArrayList<>();
    handle(
        new DispatchEvent.ConfigurationChanged(
            DispatchConfiguration.parse("test", 1, CONFIGURATION)));
    announce("r1", 1, false);
    announce("r2", 1, false);
    now += 1_600;
    announce("r1", 1, false);
    announce("r2", 1, false);
    takeOver(9, List.of(), List.of());
    completeFencing("r1", List.of());
    completeFencing("r2", List.of());
    tick(10);
  }

  /** Guards against starting tasks in an evacuated domain, and against jobs that wait there. */
  @Test
  public void startsNothingWhileItsDomainIsEvacuated() {
    submitTasks("check", "running", List.of("1", "2", "3", "4"));
    submit("check", "waiting", "x", Arrival.FIRST);
    submit("booking", "booked", "x", Arrival.FIRST);
    grantProposals();
    reportOtherDomain();
    evacuate(Set.of("north"));
    assertEquals(starts().size(), 4);
    assertEquals(returned(), List.of("waiting"));
    grantProposals();
    assertEquals(failureOf("booked").kind(), ErrorKind.NOT_RUN);
    for (DispatchEffect.StartAttempt start : starts()) {
      endAttempt(start, new AttemptOutcome.Succeeded("1"));
    }
    assertEquals(
        reports().getLast().outcome(), new JobOutcome.Completed(List.of("1", "1", "1", "1")));
    submit("check", "new", "x", Arrival.FIRST);
    assertEquals(returned(), List.of("waiting", "new"));
    assertEquals(starts().size(), 4);
    assertEquals(dispatcher.load().freeSlots(), 0);
    evacuate(Set.of());
    submit("check", "after", "x", Arrival.FIRST);
    assertEquals(starts().size(), 5);
  }

  /** Guards against callers that wait although all domains are evacuated. */
  @Test
  public void refusesAtOnceWhenAllDomainsAreEvacuated() {
    reportOtherDomain();
    evacuate(Set.of("north", "south"));
    submit("check", "k", "x", Arrival.FIRST);
    assertTrue(returned().isEmpty());
    assertTrue(failureOf("k").retryAfterMillis() > 0);
    assertTrue(starts().isEmpty());
  }

  /** Guards against "not run" for a key whose home domain an evacuation has just moved. */
  @Test
  public void promisesNothingAboutKeysWhoseHomeDomainHasMoved() {
    tick(700_000);
    announce("r1", 1, false);
    announce("r2", 1, false);
    evacuate(Set.of("south"));
    evacuate(Set.of("south", "north"));
    submit("check", "k", "x", Arrival.FIRST);
    assertEquals(failureOf("k").kind(), ErrorKind.REFUSED);
  }

  private void evacuate(Set<String> domains) {
    handle(new DispatchEvent.EvacuationsChanged(domains));
  }

  private void reportOtherDomain() {
    handle(new DispatchEvent.DomainLoadsReported(Map.of("south", new DomainLoad(0, 500))));
  }

  /** Returns the ids of the submissions that were returned to their entry hosts. */
  private List<String> returned() {
    return effects.stream()
        .filter(DispatchEffect.ReturnJob.class::isInstance)
        .map(effect -> ((DispatchEffect.ReturnJob) effect).key().submission())
        .toList();
  }

  private JobOutcome.Failed failureOf(String submission) {
    return reports().stream()
        .filter(report -> report.key().submission().equals(submission))
        .map(report -> (JobOutcome.Failed) report.outcome())
        .findFirst()
        .orElseThrow();
  }

  /**
   * A caller loses its connection and resubmits a job while the job runs, and again after it is
   * done. Each time the caller must get the same answer, and the runner must get one start.
   */
  @Test
  public void joinsResubmissionsWithoutSecondStarts() {
    submit("check", "k", "x", Arrival.FIRST);
    submit("check", "k", "x", Arrival.FIRST);
    List<DispatchEffect.StartAttempt> starts = starts();
    assertEquals(starts.size(), 1);
    endAttempt(starts.getFirst(), new AttemptOutcome.Succeeded("1"));
    submit("check", "k", "x", Arrival.FIRST);
    assertEquals(starts().size(), 1);
    assertEquals(reports().size(), 2);
    assertEquals(
        reports().getLast().outcome(), new JobOutcome.Completed(List.of("1")), "the same answer");
  }

  /**
   * One task of a job fails permanently while others have answered. The caller must get the failure
   * of the job and none of the answers, since a partial result looks like a complete one.
   */
  @Test
  public void failsWholeJobsWithoutPartialAnswers() {
    submitTasks("booking", "k", List.of("x", "y"));
    grantProposals();
    List<DispatchEffect.StartAttempt> starts = starts();
    assertEquals(starts.size(), 2);
    endAttempt(starts.get(0), new AttemptOutcome.Succeeded("1"));
    endAttempt(starts.get(1), new AttemptOutcome.Failed("no"));
    grantProposals();
    JobOutcome outcome = reports().getLast().outcome();
    assertEquals(((JobOutcome.Failed) outcome).kind(), ErrorKind.TASK_FAILED);
  }

  /**
   * If a job started before its intent was durable and the dispatcher was lost, its successor would
   * find no record and start the job again. Nothing may start before the ledger has granted it.
   */
  @Test
  public void startsNoAtMostOnceTaskBeforeTheLedgerGrants() {
    submit("booking", "k", "x", Arrival.FIRST);
    assertTrue(starts().isEmpty());
    grantProposals();
    assertEquals(starts().size(), 1);
  }

  /**
   * The ledger has no quorum because the domain is partitioned. An at-most-once job must be refused
   * immediately with a kind that doesn't claim "not run", while idempotent jobs are served.
   */
  @Test
  public void refusesAtMostOnceJobsAndServesOthersWithoutQuorum() {
    submit("booking", "k", "x", Arrival.FIRST);
    for (LedgerRequest request : proposals()) {
      if (request instanceof LedgerRequest.Open) {
        handle(new DispatchEvent.LedgerAnswered(request, new LedgerReply.Unavailable()));
      }
    }
    JobOutcome.Failed refused = (JobOutcome.Failed) reports().getLast().outcome();
    assertEquals(refused.kind(), ErrorKind.LEDGER_UNAVAILABLE);
    assertTrue(refused.retryAfterMillis() > 0);
    submit("check", "c", "x", Arrival.FIRST);
    assertEquals(starts().size(), 1);
  }

  /**
   * The connection of a start call becomes silent permanently. The task must not start again; the
   * runner is queried over a new connection, and its answer counts.
   */
  @Test
  public void queriesSilentAttemptsInsteadOfStartingThemAgain() {
    submit("booking", "k", "x", Arrival.FIRST);
    grantProposals();
    DispatchEffect.StartAttempt start = starts().getFirst();
    tick(1_500);
    List<DispatchEffect.QueryAttempt> queries = effectsOf(DispatchEffect.QueryAttempt.class);
    assertEquals(queries.size(), 1);
    handle(
        new DispatchEvent.AttemptQueried(
            start.attempt(),
            start.runner(),
            new AttemptStatus.Finished(new AttemptOutcome.Succeeded("1"))));
    grantProposals();
    assertEquals(starts().size(), 1);
    assertEquals(reports().getLast().outcome(), new JobOutcome.Completed(List.of("1")));
  }

  /**
   * A runner is lost while it runs an at-most-once task. Whether the task ran can't be determined,
   * so it must be reported as unknown and not start on another runner.
   */
  @Test
  public void reportsAtMostOnceTasksOfLostRunnersAsUnknown() {
    submit("booking", "k", "x", Arrival.FIRST);
    grantProposals();
    announce(starts().getFirst().runner().name(), 2, false);
    grantProposals();
    assertEquals(starts().size(), 1);
    JobOutcome.Failed failed = (JobOutcome.Failed) reports().getLast().outcome();
    assertEquals(failed.kind(), ErrorKind.OUTCOME_UNKNOWN);
  }

  /** A runner that is leaving must get no new tasks, and its running tasks must be finished. */
  @Test
  public void startsNothingOnLeavingRunners() {
    submit("check", "first", "x", Arrival.FIRST);
    DispatchEffect.StartAttempt running = starts().getFirst();
    announce(running.runner().name(), 1, true);
    for (int i = 0; i < 5; i++) {
      submit("check", "k" + i, "x", Arrival.FIRST);
    }
    assertTrue(
        starts().stream().skip(1).noneMatch(start -> start.runner().equals(running.runner())));
    endAttempt(running, new AttemptOutcome.Succeeded("1"));
    assertEquals(reports().getFirst().outcome(), new JobOutcome.Completed(List.of("1")));
  }

  /**
   * A runner that fails every task immediately appears idle and attracts all work. It must be
   * ejected after a few failures of jobs that succeed elsewhere.
   */
  @Test
  public void ejectsRunnersThatFailEverything() {
    int startsOnFailing = 0;
    for (int i = 0; i < 40; i++) {
      submit("check", "k" + i, "x", Arrival.FIRST);
      for (DispatchEffect.StartAttempt start :
          starts().subList(starts().size() - 1, starts().size())) {
        boolean failing = start.runner().name().equals("r1");
        startsOnFailing += failing ? 1 : 0;
        endAttempt(
            start, failing ? new AttemptOutcome.Failed("no") : new AttemptOutcome.Succeeded("1"));
      }
      starts().stream()
          .filter(start -> isUnreported(start))
          .forEach(start -> endAttempt(start, new AttemptOutcome.Succeeded("1")));
    }
    assertTrue(startsOnFailing <= 4, "starts on the failing runner: " + startsOnFailing);
  }

  /**
   * A faulty job fails on every runner. No runner may be ejected for it; otherwise one faulty
   * client would empty the pool for all.
   */
  @Test
  public void ejectsNoRunnerForJobsThatFailEverywhere() {
    for (int i = 0; i < 30; i++) {
      submit("booking", "bad" + i, "x", Arrival.FIRST);
      grantProposals();
      DispatchEffect.StartAttempt start = starts().getLast();
      endAttempt(start, new AttemptOutcome.Failed("bad"));
      grantProposals();
    }
    assertEquals(dispatcher.snapshot().ejectedRunners(), 0);
  }

  /**
   * A dispatcher is paused, another one takes over, and the first resumes and starts its queued
   * tasks. A runner rejects a start and returns the higher epoch; the dispatcher must step down.
   */
  @Test
  public void stepsDownWhenFenced() {
    submit("check", "k", "x", Arrival.FIRST);
    endAttempt(starts().getFirst(), new AttemptOutcome.Fenced(12));
    assertEquals(effectsOf(DispatchEffect.StepDown.class).getFirst().higherEpoch(), 12);
  }

  /**
   * An attempt of an earlier dispatcher ends before its job is sent again. If its result is
   * dropped, the task starts a second time.
   */
  @Test
  public void retainsResultsOfOrphanedAttempts() {
    handle(new DispatchEvent.EpochLost());
    takeOver(10, List.of(), List.of());
    AttemptId attempt = AttemptId.of(request("check", "k", List.of("\"x\"")), 0, 1);
    completeFencing("r1", List.of(new AttemptReport(attempt, new AttemptStatus.Running())));
    handle(
        new DispatchEvent.AttemptQueried(
            attempt,
            new RunnerId("r1", 1),
            new AttemptStatus.Finished(new AttemptOutcome.Succeeded("1"))));
    completeFencing("r2", List.of());
    tick(10);
    submit("check", "k", "x", Arrival.RESENT);
    assertTrue(starts().isEmpty());
    assertEquals(reports().getLast().outcome(), new JobOutcome.Completed(List.of("1")));
  }

  /**
   * A dispatcher is lost with an open at-most-once job, and one of its runners is lost too. The
   * successor can't determine whether the job ran there, so it must not start the job.
   */
  @Test
  public void neverRestartsAtMostOnceTasksThatLostRunnersMayHaveRun() {
    handle(new DispatchEvent.EpochLost());
    SubmissionKey key = new SubmissionKey("a", "k");
    takeOver(
        10,
        List.of(new RunnerId("gone", 1)),
        List.of(new LedgerReply.OpenSubmission(key, "digest-x", 1)));
    completeFencing("r1", List.of());
    completeFencing("r2", List.of());
    tick(10);
    submit("booking", "k", "x", Arrival.RESENT);
    grantProposals();
    assertTrue(starts().isEmpty(), "before the roster is complete");
    for (int i = 0; i < 6; i++) {
      announce("r1", 1, false);
      announce("r2", 1, false);
      tick(1_000);
    }
    grantProposals();
    assertTrue(starts().isEmpty(), "after the lost runner is written off");
    JobOutcome.Failed failed = (JobOutcome.Failed) reports().getLast().outcome();
    assertEquals(failed.kind(), ErrorKind.OUTCOME_UNKNOWN);
  }

  /**
   * One caller floods the queue. Another caller's job must get one of the next free slots, and must
   * not be refused for a backlog that isn't its own.
   */
  @Test
  public void servesOtherCallersWhileOneFloodsTheQueue() {
    for (int i = 0; i < 40; i++) {
      submit("check", "flood" + i, "x", Arrival.FIRST);
    }
    JobRequest light =
        new JobRequest(
            new SubmissionKey("b", "light"), "digest-x", "check", List.of("\"x\""), 5_000, true);
    handle(new DispatchEvent.JobSubmitted(light, "h", Arrival.FIRST));
    endAttempt(starts().getFirst(), new AttemptOutcome.Succeeded("1"));
    endAttempt(starts().get(1), new AttemptOutcome.Succeeded("1"));
    assertTrue(
        starts().stream().anyMatch(start -> start.attempt().key().caller().equals("b")),
        "the light caller is served within two starts");
  }

  /** A job that can't meet its deadline is refused immediately, with a retry delay. */
  @Test
  public void refusesJobsThatWouldMissTheirDeadline() {
    for (int i = 0; i < 40; i++) {
      submit("check", "k" + i, "x", Arrival.FIRST);
    }
    JobRequest shortDeadline =
        new JobRequest(
            new SubmissionKey("a", "late"), "digest-x", "check", List.of("\"x\""), 150, false);
    handle(new DispatchEvent.JobSubmitted(shortDeadline, "h", Arrival.FIRST));
    JobOutcome.Failed refused = (JobOutcome.Failed) reports().getLast().outcome();
    assertEquals(refused.kind(), ErrorKind.OVERLOADED);
    assertTrue(refused.retryAfterMillis() >= 200);
  }

  /**
   * Many jobs are cancelled at the same time. Waiting tasks must be removed without a message, and
   * running ones cancelled with one message to each runner.
   */
  @Test
  public void cancelsManyJobsWithOneMessagePerRunner() {
    for (int i = 0; i < 20; i++) {
      submit("check", "k" + i, "x", Arrival.FIRST);
    }
    assertEquals(starts().size(), 4);
    for (int i = 0; i < 20; i++) {
      handle(new DispatchEvent.JobCancelled(new SubmissionKey("a", "k" + i), "h"));
    }
    tick(10);
    List<DispatchEffect.CancelAttempts> cancels = effectsOf(DispatchEffect.CancelAttempts.class);
    assertEquals(cancels.size(), 2);
    assertEquals(cancels.stream().mapToInt(cancel -> cancel.attempts().size()).sum(), 4);
    assertEquals(dispatcher.snapshot().waitingTasks(), 0);
    tick(10);
    assertEquals(effectsOf(DispatchEffect.CancelAttempts.class).size(), 2, "nothing is sent again");
  }

  /**
   * Every task fails for a common cause. Retries must stay within the budget and not multiply the
   * load.
   */
  @Test
  public void boundsRetriesByTheBudget() {
    int jobs = 200;
    int ended = 0;
    for (int i = 0; i < jobs; i++) {
      submit("check", "k" + i, "x", Arrival.FIRST);
      while (ended < starts().size()) {
        endAttempt(starts().get(ended), new AttemptOutcome.Failed("no"));
        ended++;
      }
    }
    assertTrue(ended <= jobs + 10 + jobs / 10 + 1, "starts of " + jobs + " jobs: " + ended);
  }

  /**
   * A straggler of an idempotent job gets a second attempt on another runner, and the slower
   * attempt is cancelled.
   */
  @Test
  public void hedgesStragglersOnce() {
    for (int i = 0; i < 30; i++) {
      submit("hedged", "k" + i, "x", Arrival.FIRST);
      now += 100;
      endAttempt(starts().getLast(), new AttemptOutcome.Succeeded("1"));
      announce("r1", 1, false);
      announce("r2", 1, false);
    }
    submit("hedged", "slow", "x", Arrival.FIRST);
    DispatchEffect.StartAttempt slow = starts().getLast();
    tick(250);
    tick(250);
    DispatchEffect.StartAttempt hedge = starts().getLast();
    assertFalse(hedge.runner().equals(slow.runner()));
    assertEquals(hedge.attempt().key(), slow.attempt().key());
    endAttempt(hedge, new AttemptOutcome.Succeeded("2"));
    tick(10);
    assertEquals(
        effectsOf(DispatchEffect.CancelAttempts.class).getLast().attempts(),
        List.of(slow.attempt()));
  }

  private boolean isUnreported(DispatchEffect.StartAttempt start) {
    return reports().stream().noneMatch(report -> report.key().equals(start.attempt().key()));
  }

  private void submit(String job, String id, String content, Arrival arrival) {
    JobRequest request = request(job, id, List.of("\"" + content + "\""));
    handle(new DispatchEvent.JobSubmitted(request, "h", arrival));
  }

  private void submitTasks(String job, String id, List<String> tasks) {
    handle(new DispatchEvent.JobSubmitted(request(job, id, tasks), "h", Arrival.FIRST));
  }

  private static JobRequest request(String job, String id, List<String> tasks) {
    return new JobRequest(new SubmissionKey("a", id), "digest-x", job, tasks, 5_000, true);
  }

  private void takeOver(long epoch, List<RunnerId> roster, List<LedgerReply.OpenSubmission> open) {
    handle(new DispatchEvent.EpochGranted(epoch));
    handle(
        new DispatchEvent.LedgerAnswered(
            new LedgerRequest.Register(epoch), new LedgerReply.Registered(roster, open)));
  }

  private void completeFencing(String runner, List<AttemptReport> attempts) {
    handle(new DispatchEvent.RunnerFenced(new RunnerId(runner, 1), dispatcher.epoch(), attempts));
    handle(
        new DispatchEvent.LedgerAnswered(
            new LedgerRequest.AddRunner(dispatcher.epoch(), new RunnerId(runner, 1)),
            new LedgerReply.Granted()));
  }

  private void announce(String name, long incarnation, boolean leaving) {
    handle(
        new DispatchEvent.RunnerAnnounced(
            new RunnerAnnouncement(
                new RunnerId(name, incarnation), name, Set.of("desk"), Set.of(), 2, leaving)));
  }

  private void endAttempt(DispatchEffect.StartAttempt start, AttemptOutcome outcome) {
    handle(new DispatchEvent.AttemptEnded(start.attempt(), start.runner(), outcome));
  }

  /** Grants the outstanding proposals that open or close submissions. */
  private void grantProposals() {
    for (LedgerRequest request : proposals()) {
      if (request instanceof LedgerRequest.Open || request instanceof LedgerRequest.Close) {
        handle(new DispatchEvent.LedgerAnswered(request, new LedgerReply.Granted()));
      }
    }
    effects.removeIf(DispatchEffect.ProposeLedger.class::isInstance);
  }

  private void tick(long millis) {
    now += millis;
    handle(new DispatchEvent.DomainLoadsReported(Map.of()));
    handle(new DispatchEvent.Tick());
  }

  private void handle(DispatchEvent event) {
    effects.addAll(dispatcher.handle(event, now));
  }

  private List<DispatchEffect.StartAttempt> starts() {
    return effectsOf(DispatchEffect.StartAttempt.class);
  }

  private List<DispatchEffect.ReportJob> reports() {
    return effectsOf(DispatchEffect.ReportJob.class);
  }

  private List<LedgerRequest> proposals() {
    return effectsOf(DispatchEffect.ProposeLedger.class).stream()
        .map(DispatchEffect.ProposeLedger::request)
        .toList();
  }

  private <T extends DispatchEffect> List<T> effectsOf(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }
}
