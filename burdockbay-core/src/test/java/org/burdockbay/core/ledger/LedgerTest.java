package org.burdockbay.core.ledger;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import org.burdockbay.core.dispatch.LedgerRequest;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;
import org.testng.annotations.Test;

/** Tests the replies of the ledger to competing, fenced and restarted dispatchers. */
public class LedgerTest {

  private static final SubmissionKey KEY = new SubmissionKey("clerk", "session-9");
  private static final JobOutcome DONE = new JobOutcome.Completed(List.of("\"booked\""));
  private final Ledger ledger = new Ledger();

  /**
   * Guards against running a submission in two domains: a caller resubmits it to another domain
   * while the first domain still runs it.
   */
  @Test
  public void opensKeyInOneDomainOnly() {
    Ledger fresh = new Ledger();
    apply(fresh, "north", new LedgerRequest.Register(5));
    apply(fresh, "south", new LedgerRequest.Register(6));
    assertEquals(apply(fresh, "north", open(5)), new LedgerReply.Granted());
    assertEquals(apply(fresh, "south", open(6)), new LedgerReply.OpenElsewhere("north"));
    apply(fresh, "north", new LedgerRequest.Close(5, KEY, DONE));
    assertEquals(apply(fresh, "south", open(6)), new LedgerReply.Closed(DONE));
  }

  /**
   * Guards against commands of a superseded dispatcher taking effect: it was paused, another one
   * took over its domain, and it resumes with its old epoch. The successor must receive the roster
   * and all open submissions.
   */
  @Test
  public void fencesEarlierEpochsAndHandsOverOpenSubmissions() {
    RunnerId runner = new RunnerId("r", 1);
    apply(ledger, "north", new LedgerRequest.Register(5));
    apply(ledger, "north", new LedgerRequest.AddRunner(5, runner));
    apply(ledger, "north", open(5));
    LedgerReply takeover = apply(ledger, "north", new LedgerRequest.Register(8));
    assertEquals(
        takeover,
        new LedgerReply.Registered(
            List.of(runner), List.of(new LedgerReply.OpenSubmission(KEY, "digest", 2))));
    LedgerReply fenced = new LedgerReply.Fenced(8);
    assertEquals(apply(ledger, "north", open(5)), fenced);
    assertEquals(apply(ledger, "north", new LedgerRequest.Close(5, KEY, DONE)), fenced);
    assertEquals(apply(ledger, "north", new LedgerRequest.AddRunner(5, runner)), fenced);
    assertEquals(apply(ledger, "north", new LedgerRequest.Register(5)), fenced);
  }

  /** Guards against a key that stays in use after the caller was told that nothing ran. */
  @Test
  public void releasesKeyClosedAsNotRun() {
    Ledger fresh = new Ledger();
    apply(fresh, "north", new LedgerRequest.Register(5));
    apply(fresh, "north", open(5));
    JobOutcome notRun = new JobOutcome.Failed(ErrorKind.NOT_RUN, "expired in the queue", 100);
    apply(fresh, "north", new LedgerRequest.Close(5, KEY, notRun));
    assertEquals(
        apply(fresh, "south", new LedgerRequest.Lookup(KEY, "digest")), new LedgerReply.Unknown());
  }

  /** Guards against answering a submission with the state of one that has different content. */
  @Test
  public void rejectsReusedKeyWithDifferentContent() {
    Ledger fresh = new Ledger();
    apply(fresh, "north", new LedgerRequest.Register(5));
    apply(fresh, "north", open(5));
    assertEquals(
        apply(fresh, "north", new LedgerRequest.Open(5, KEY, "other", 2)),
        new LedgerReply.ContentMismatch());
  }

  /** Guards against closed records that never expire and open records that do. */
  @Test
  public void expiresClosedRecordsAfterRetention() {
    Ledger fresh = new Ledger();
    apply(fresh, "north", new LedgerRequest.Register(5));
    apply(fresh, "north", open(5));
    SubmissionKey other = new SubmissionKey("clerk", "session-10");
    apply(fresh, "north", new LedgerRequest.Open(5, other, "digest", 1));
    apply(fresh, "north", new LedgerRequest.Close(5, other, DONE));
    LedgerRequest.Lookup closed = new LedgerRequest.Lookup(other, "digest");
    LedgerCommand command = new LedgerCommand("north", closed);
    assertEquals(fresh.apply(command, Ledger.RETENTION_MILLIS), new LedgerReply.Closed(DONE));
    assertEquals(fresh.apply(command, Ledger.RETENTION_MILLIS + 1), new LedgerReply.Unknown());
    assertEquals(fresh.size(), 1);
  }

  /** Guards against state that is missing from snapshots. */
  @Test
  public void restoresCompleteStateFromImage() {
    Ledger fresh = new Ledger();
    apply(fresh, "north", new LedgerRequest.Register(5));
    apply(fresh, "north", new LedgerRequest.AddRunner(5, new RunnerId("r", 1)));
    apply(fresh, "north", open(5));
    Ledger copy = new Ledger();
    copy.restore(fresh.image());
    assertEquals(copy.image(), fresh.image());
    assertTrue(apply(copy, "north", open(4)) instanceof LedgerReply.Fenced);
  }

  private static LedgerRequest open(long epoch) {
    return new LedgerRequest.Open(epoch, KEY, "digest", 2);
  }

  private static LedgerReply apply(Ledger target, String domain, LedgerRequest request) {
    return target.apply(new LedgerCommand(domain, request), 1);
  }
}
