package org.burdockbay.core.ledger;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import org.burdockbay.core.dispatch.LedgerRequest;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.error.RunGuarantee;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;
import org.jspecify.annotations.Nullable;

/**
 * Records the submissions that must run at most once and the failure domain that may run each.
 *
 * <p>Three rules prevent a task from starting twice:
 *
 * <ul>
 *   <li>A key is open in one domain only.
 *   <li>In that domain, only the dispatcher with the registered epoch may open submissions, and it
 *       starts at-most-once tasks only on runners of the roster.
 *   <li>A dispatcher that takes over receives the roster and fences every runner on it before it
 *       starts tasks of submissions that an earlier dispatcher opened.
 * </ul>
 *
 * <p>A closed record is retained for {@link #RETENTION_MILLIS}; after that, its key counts as new.
 * An open record never expires: a full ledger rejects new submissions instead.
 */
public final class Ledger {

  /** Time for which the outcome of a closed submission is retained, in milliseconds. */
  public static final long RETENTION_MILLIS = 3_600_000;

  /** Maximum number of records, open and closed. */
  public static final int MAX_RECORDS = 200_000;

  /** Total characters of the retained outcomes at which new submissions are rejected. */
  public static final long MAX_CHARACTERS = 24_000_000;

  /** Maximum characters of a retained outcome; larger answers are reported but not retained. */
  public static final int MAX_CHARACTERS_PER_RECORD = 262_144;

  private final Map<String, DomainState> domains = new HashMap<>();
  private final Map<SubmissionKey, Submission> submissions = new LinkedHashMap<>();
  private final Queue<Submission> closedOldestFirst = new ArrayDeque<>();
  private long retainedCharacters;

  /**
   * Applies a command. The result depends only on the commands applied so far and their times.
   *
   * @param now time that the leader assigned to the command, in milliseconds
   */
  public LedgerReply apply(LedgerCommand command, long now) {
    expireClosed(now);
    DomainState domain = domains.computeIfAbsent(command.domain(), name -> new DomainState(name));
    return switch (command.request()) {
      case LedgerRequest.Register register -> register(domain, register);
      case LedgerRequest.AddRunner add -> changeRoster(domain, add.epoch(), add.runner(), true);
      case LedgerRequest.RemoveRunner remove ->
          changeRoster(domain, remove.epoch(), remove.runner(), false);
      case LedgerRequest.Open open -> open(domain, open);
      case LedgerRequest.Lookup lookup -> lookUp(lookup);
      case LedgerRequest.Close close -> closeSubmission(domain, close, now);
    };
  }

  /** Returns the number of records, open and closed. */
  public int size() {
    return submissions.size();
  }

  /** Returns a copy of the complete state. */
  public LedgerImage image() {
    List<LedgerImage.DomainRecord> domainRecords = new ArrayList<>();
    domains.values().stream()
        .sorted((a, b) -> a.name.compareTo(b.name))
        .forEach(
            domain ->
                domainRecords.add(
                    new LedgerImage.DomainRecord(
                        domain.name, domain.epoch, List.copyOf(domain.roster))));
    List<LedgerImage.SubmissionRecord> records = new ArrayList<>();
    submissions.values().stream()
        .filter(submission -> submission.outcome == null)
        .forEach(submission -> records.add(submission.image()));
    closedOldestFirst.forEach(submission -> records.add(submission.image()));
    return new LedgerImage(domainRecords, records);
  }

  /** Replaces the complete state. */
  public void restore(LedgerImage image) {
    domains.clear();
    submissions.clear();
    closedOldestFirst.clear();
    retainedCharacters = 0;
    for (LedgerImage.DomainRecord record : image.domains()) {
      DomainState domain = new DomainState(record.domain());
      domain.epoch = record.epoch();
      domain.roster.addAll(record.roster());
      domains.put(record.domain(), domain);
    }
    for (LedgerImage.SubmissionRecord record : image.records()) {
      Submission submission =
          new Submission(record.key(), record.digest(), record.tasks(), record.domain());
      submissions.put(record.key(), submission);
      record.outcome().ifPresent(outcome -> markClosed(submission, outcome, record.closedAt()));
    }
  }

  private LedgerReply register(DomainState domain, LedgerRequest.Register register) {
    if (register.epoch() < domain.epoch) {
      return new LedgerReply.Fenced(domain.epoch);
    }
    domain.epoch = register.epoch();
    List<LedgerReply.OpenSubmission> open = new ArrayList<>();
    for (Submission submission : submissions.values()) {
      if (submission.outcome == null && submission.domain.equals(domain.name)) {
        open.add(
            new LedgerReply.OpenSubmission(submission.key, submission.digest, submission.tasks));
      }
    }
    return new LedgerReply.Registered(List.copyOf(domain.roster), open);
  }

  private static LedgerReply changeRoster(
      DomainState domain, long epoch, RunnerId runner, boolean add) {
    if (epoch != domain.epoch) {
      return new LedgerReply.Fenced(domain.epoch);
    }
    if (add) {
      domain.roster.add(runner);
    } else {
      domain.roster.remove(runner);
    }
    return new LedgerReply.Granted();
  }

  private LedgerReply open(DomainState domain, LedgerRequest.Open open) {
    if (open.epoch() != domain.epoch) {
      return new LedgerReply.Fenced(domain.epoch);
    }
    Submission existing = submissions.get(open.key());
    if (existing == null) {
      if (submissions.size() >= MAX_RECORDS || retainedCharacters >= MAX_CHARACTERS) {
        return new LedgerReply.Full();
      }
      submissions.put(
          open.key(), new Submission(open.key(), open.digest(), open.tasks(), domain.name));
      return new LedgerReply.Granted();
    }
    LedgerReply reply = replyForExisting(existing, open.digest());
    boolean openHere =
        reply instanceof LedgerReply.OpenElsewhere elsewhere
            && elsewhere.domain().equals(domain.name);
    // A grant doesn't distinguish new submissions from those already open. The dispatcher does: it
    // has its own open jobs in memory and received those of earlier epochs when it registered.
    return openHere ? new LedgerReply.Granted() : reply;
  }

  private LedgerReply lookUp(LedgerRequest.Lookup lookup) {
    Submission existing = submissions.get(lookup.key());
    return existing == null
        ? new LedgerReply.Unknown()
        : replyForExisting(existing, lookup.digest());
  }

  private static LedgerReply replyForExisting(Submission existing, String digest) {
    if (!digest.equals(LedgerRequest.ANY_DIGEST) && !digest.equals(existing.digest)) {
      return new LedgerReply.ContentMismatch();
    }
    if (existing.outcome != null) {
      return new LedgerReply.Closed(existing.outcome);
    }
    return new LedgerReply.OpenElsewhere(existing.domain);
  }

  private LedgerReply closeSubmission(DomainState domain, LedgerRequest.Close close, long now) {
    if (close.epoch() != domain.epoch) {
      return new LedgerReply.Fenced(domain.epoch);
    }
    Submission existing = submissions.get(close.key());
    if (existing == null || !existing.domain.equals(domain.name)) {
      return new LedgerReply.Granted();
    }
    if (existing.outcome != null) {
      return new LedgerReply.Closed(existing.outcome);
    }
    boolean neverRan =
        close.outcome() instanceof JobOutcome.Failed failed
            && failed.kind().runGuarantee() == RunGuarantee.NOT_RUN;
    if (neverRan) {
      // The reply allows the caller to resubmit with the same key, so the key is released.
      submissions.remove(close.key());
    } else {
      markClosed(existing, withinSizeLimit(close.outcome()), now);
    }
    return new LedgerReply.Granted();
  }

  private void markClosed(Submission submission, JobOutcome outcome, long closedAt) {
    submission.outcome = outcome;
    submission.closedAt = closedAt;
    closedOldestFirst.add(submission);
    retainedCharacters += countCharacters(outcome);
  }

  private void expireClosed(long now) {
    while (!closedOldestFirst.isEmpty()
        && closedOldestFirst.peek().closedAt + RETENTION_MILLIS <= now) {
      Submission expired = closedOldestFirst.remove();
      submissions.remove(expired.key);
      retainedCharacters -= countCharacters(Optional.ofNullable(expired.outcome).orElseThrow());
    }
  }

  private static JobOutcome withinSizeLimit(JobOutcome outcome) {
    if (countCharacters(outcome) <= MAX_CHARACTERS_PER_RECORD) {
      return outcome;
    }
    String detail = "the job completed; its answer was too large to be kept";
    return new JobOutcome.Failed(ErrorKind.ANSWER_NOT_KEPT, detail, 0);
  }

  private static long countCharacters(JobOutcome outcome) {
    return switch (outcome) {
      case JobOutcome.Completed completed ->
          completed.answers().stream().mapToLong(String::length).sum();
      case JobOutcome.Failed failed -> failed.detail().length();
    };
  }

  private static final class DomainState {

    private final String name;
    private final Set<RunnerId> roster = new LinkedHashSet<>();
    private long epoch;

    DomainState(String name) {
      this.name = name;
    }
  }

  private static final class Submission {

    private final SubmissionKey key;
    private final String digest;
    private final int tasks;
    private final String domain;
    private @Nullable JobOutcome outcome;
    private long closedAt;

    Submission(SubmissionKey key, String digest, int tasks, String domain) {
      this.key = key;
      this.digest = digest;
      this.tasks = tasks;
      this.domain = domain;
    }

    LedgerImage.SubmissionRecord image() {
      return new LedgerImage.SubmissionRecord(
          key, digest, tasks, domain, closedAt, Optional.ofNullable(outcome));
    }
  }
}
