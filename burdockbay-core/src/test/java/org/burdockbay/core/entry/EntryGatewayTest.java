package org.burdockbay.core.entry;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests routing and answering at an entry host. */
public class EntryGatewayTest {

  private static final SubmissionKey KEY = new SubmissionKey("clerk", "session-9");
  private static final JobOutcome OUTCOME = new JobOutcome.Completed(List.of("1"));
  private EntryGateway gateway;
  private List<EntryEffect> effects;
  private long now;

  /** Creates a gateway of domain north, where host n is the dispatcher. */
  @BeforeMethod
  public void makeGateway() {
    gateway = new EntryGateway("north");
    effects = new ArrayList<>();
    now = 1_000;
    routes(Map.of("north", new RouteView.ActiveDispatcher("n", 5, false)));
  }

  /**
   * A cancellation has no deadline, but was once answered immediately, as if its deadline had
   * passed. It must wait for the outcome that the dispatcher reports.
   */
  @Test
  public void waitsForTheOutcomeOfCancellations() {
    handle(new EntryEvent.Cancelled(1, KEY, 5_000));
    tick(1_000);
    assertTrue(answers().isEmpty());
    handle(new EntryEvent.Reported(KEY, "", OUTCOME));
    assertEquals(answers().getFirst().outcome(), OUTCOME);
  }

  /** When the wait of a follow request ends, the caller is informed that the job is unfinished. */
  @Test
  public void endsFollowsAtTheirWaitTimeout() {
    handle(new EntryEvent.Followed(1, KEY, 500));
    tick(499);
    assertTrue(answers().isEmpty());
    tick(1);
    assertEquals(kind(answers().getFirst()), ErrorKind.UNAVAILABLE);
  }

  /**
   * The dispatcher is lost while a caller waits. The job must be sent to its successor, marked as
   * one that may have started, and the caller gets one answer although both report.
   */
  @Test
  public void resendsJobsWhenTheDispatcherChanges() {
    submit(1, "digest");
    routes(Map.of("north", new RouteView.ActiveDispatcher("m", 9, false)));
    assertEquals(sends().stream().map(EntryEffect.SendJob::host).toList(), List.of("n", "m"));
    assertEquals(sends().getLast().arrival(), Arrival.RESENT);
    handle(new EntryEvent.Reported(KEY, "digest", OUTCOME));
    handle(new EntryEvent.Reported(KEY, "digest", OUTCOME));
    assertEquals(answers().size(), 1);
  }

  /**
   * Two requests use one id for different content. Each may only get the outcome that was reported
   * for its own content.
   */
  @Test
  public void matchesOutcomesByContent() {
    submit(1, "one");
    submit(2, "two");
    handle(new EntryEvent.Reported(KEY, "two", OUTCOME));
    assertEquals(answers().size(), 1);
    assertEquals(answers().getFirst().ticket(), 2);
  }

  /**
   * Without a dispatcher, a job with an id must not be reported as "not run": it may have run
   * before.
   */
  @Test
  public void reportsUnavailableRatherThanNotRunWithoutDispatcher() {
    routes(Map.of());
    submit(1, "digest");
    for (int i = 0; i < 80; i++) {
      tick(100);
    }
    EntryEffect.Answer answer = answers().getFirst();
    assertEquals(kind(answer), ErrorKind.UNAVAILABLE);
    assertTrue(((JobOutcome.Failed) answer.outcome()).retryAfterMillis() > 0);
  }

  /** Guards against sending new or returned jobs to an evacuated domain. */
  @Test
  public void sendsJobsOfEvacuatedDomainElsewhere() {
    RouteView both =
        new RouteView(
            "north",
            Map.of(
                "north",
                new RouteView.ActiveDispatcher("n", 5, false),
                "south",
                new RouteView.ActiveDispatcher("s", 6, false)),
            Set.of("north", "south"),
            true);
    handle(new EntryEvent.RoutesChanged(both));
    submit(1, "one");
    handle(new EntryEvent.RoutesChanged(both.withoutDomains(Set.of("north"))));
    handle(new EntryEvent.Returned(KEY, "n"));
    tick(100);
    submit(2, "two");
    assertEquals(sends().stream().map(EntryEffect.SendJob::host).toList(), List.of("n", "s", "s"));
  }

  /** Guards against callers that wait for an open domain when all of them are evacuated. */
  @Test
  public void keepsRoutesWhenAllDomainsAreEvacuated() {
    RouteView view =
        new RouteView(
            "north",
            Map.of("north", new RouteView.ActiveDispatcher("n", 5, false)),
            Set.of("north"),
            true);
    assertEquals(view.withoutDomains(Set.of("north")), view);
  }

  private void submit(long ticket, String digest) {
    JobRequest request = new JobRequest(KEY, digest, "booking", List.of("1"), 60_000, true);
    handle(new EntryEvent.Submitted(ticket, request, true));
  }

  private void routes(Map<String, RouteView.ActiveDispatcher> dispatchers) {
    handle(
        new EntryEvent.RoutesChanged(new RouteView("north", dispatchers, Set.of("north"), true)));
  }

  private void tick(long millis) {
    now += millis;
    handle(new EntryEvent.Tick());
  }

  private void handle(EntryEvent event) {
    effects.addAll(gateway.handle(event, now));
  }

  private static ErrorKind kind(EntryEffect.Answer answer) {
    return ((JobOutcome.Failed) answer.outcome()).kind();
  }

  private List<EntryEffect.Answer> answers() {
    return effectsOf(EntryEffect.Answer.class);
  }

  private List<EntryEffect.SendJob> sends() {
    return effectsOf(EntryEffect.SendJob.class);
  }

  private <T extends EntryEffect> List<T> effectsOf(Class<T> type) {
    return effects.stream().filter(type::isInstance).map(type::cast).toList();
  }
}
