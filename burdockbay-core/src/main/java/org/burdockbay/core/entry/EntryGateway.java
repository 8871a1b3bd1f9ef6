package org.burdockbay.core.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * Routes submissions to dispatchers and answers each waiting caller once.
 *
 * <p>The gateway keeps a job until its outcome is known, and sends it again after a change of the
 * dispatcher or the loss of a connection. This is safe because the receiving dispatcher
 * deduplicates: an idempotent job by the home domain of its key, an at-most-once job by the ledger.
 */
public final class EntryGateway {

  private static final long NO_DISPATCHER_TIMEOUT_MILLIS = 7_000;
  private static final long DOMAIN_LOSS_TIMEOUT_MILLIS = 6_000;
  private static final long RESEND_INTERVAL_MILLIS = 50;
  private static final long DEADLINE_GRACE_MILLIS = 300;
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int MAX_REDIRECTS = 8;

  /** A time that isn't reached; half of the maximum, so that adding to it can't overflow. */
  private static final long NEVER = Long.MAX_VALUE / 2;

  private final Map<PendingKey, PendingSubmission> pending = new HashMap<>();
  private final Map<Long, PendingKey> keyByTicket = new HashMap<>();
  private List<EntryEffect> effects = new ArrayList<>();
  private RouteView routes;
  private long now;

  /** Creates a gateway without any routes. */
  public EntryGateway(String domain) {
    this.routes = RouteView.empty(domain);
  }

  /** Handles an event at the given time in milliseconds and returns the resulting effects. */
  public List<EntryEffect> handle(EntryEvent event, long timeMillis) {
    now = Math.max(now, timeMillis);
    switch (event) {
      case EntryEvent.Submitted submitted -> submit(submitted);
      case EntryEvent.Followed followed ->
          query(
              PendingSubmission.Purpose.FOLLOW,
              followed.ticket(),
              followed.key(),
              followed.waitMillis());
      case EntryEvent.Cancelled cancelled ->
          query(
              PendingSubmission.Purpose.CANCEL,
              cancelled.ticket(),
              cancelled.key(),
              cancelled.waitMillis());
      case EntryEvent.Abandoned abandoned -> abandon(abandoned.ticket());
      case EntryEvent.Reported reported -> outcomeReported(reported);
      case EntryEvent.Redirected redirected -> jobRedirected(redirected);
      case EntryEvent.Returned returned -> jobReturned(returned);
      case EntryEvent.PeerReset reset -> resend(reset.host());
      case EntryEvent.RoutesChanged changed -> routesChanged(changed.routes());
      case EntryEvent.Tick tick -> tick();
    }
    List<EntryEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  /** Returns the number of submissions for which callers wait. */
  public int pendingCount() {
    return pending.size();
  }

  private void submit(EntryEvent.Submitted event) {
    JobRequest request = event.request();
    // The same id with other content is a separate entry: the dispatcher and the ledger decide
    // which content the id belongs to.
    PendingKey pendingKey = PendingKey.forSubmission(request.key(), request.digest());
    PendingSubmission submission = pending.get(pendingKey);
    if (submission != null) {
      addTicket(submission, pendingKey, event.ticket(), now + request.remainingMillis());
      return;
    }
    PendingSubmission added =
        new PendingSubmission(
            request.key(),
            PendingSubmission.Purpose.SUBMIT,
            request,
            event.atMostOnce(),
            now,
            now + request.remainingMillis());
    pending.put(pendingKey, added);
    addTicket(added, pendingKey, event.ticket(), added.deadlineAt);
    route(added);
  }

  private void query(
      PendingSubmission.Purpose purpose, long ticket, SubmissionKey key, long waitMillis) {
    PendingKey pendingKey = PendingKey.forQuery(key, purpose);
    PendingSubmission submission = pending.get(pendingKey);
    if (submission == null) {
      submission = new PendingSubmission(key, purpose, null, false, now, NEVER);
      // If the submission is pending here, its domain is the one to query.
      submission.domain =
          pendingFor(key).stream()
              .filter(other -> other.domain != null)
              .map(other -> other.domain)
              .findFirst()
              .orElse(null);
      pending.put(pendingKey, submission);
      addTicket(submission, pendingKey, ticket, now + waitMillis);
      route(submission);
    } else {
      addTicket(submission, pendingKey, ticket, now + waitMillis);
    }
  }

  private void addTicket(PendingSubmission to, PendingKey key, long ticket, long until) {
    to.tickets.put(ticket, until);
    keyByTicket.put(ticket, key);
  }

  private void abandon(long ticket) {
    PendingKey key = keyByTicket.remove(ticket);
    PendingSubmission submission = key == null ? null : pending.get(key);
    if (submission != null) {
      submission.tickets.remove(ticket);
      if (submission.tickets.isEmpty() && submission.purpose != PendingSubmission.Purpose.SUBMIT) {
        pending.remove(key);
      }
    }
  }

  /**
   * Completes the requests that wait for this content, and unless the outcome only states that the
   * key was used with other content, also those that follow or cancel the key.
   *
   * <p>The same id may be in use with other content at another host. Matching by the key alone
   * would answer a request with the outcome of other content.
   */
  private void outcomeReported(EntryEvent.Reported event) {
    complete(PendingKey.forSubmission(event.key(), event.digest()), event.outcome());
    boolean otherContent =
        event.outcome() instanceof JobOutcome.Failed failed
            && failed.kind() == ErrorKind.KEY_REUSED;
    if (!otherContent) {
      complete(PendingKey.forQuery(event.key(), PendingSubmission.Purpose.FOLLOW), event.outcome());
      complete(PendingKey.forQuery(event.key(), PendingSubmission.Purpose.CANCEL), event.outcome());
    }
  }

  private void complete(PendingKey key, JobOutcome outcome) {
    PendingSubmission done = pending.remove(key);
    if (done == null) {
      return;
    }
    for (long ticket : done.tickets.keySet()) {
      keyByTicket.remove(ticket);
      answer(ticket, done.key, outcome);
    }
  }

  private void jobRedirected(EntryEvent.Redirected event) {
    for (PendingSubmission submission : pendingFor(event.key())) {
      submission.redirects++;
      if (submission.redirects > MAX_REDIRECTS) {
        submission.nextSendAt = now + RETRY_AFTER_MILLIS;
        continue;
      }
      submission.domain = event.domain();
      submission.arrival =
          submission.arrival == Arrival.RESENT ? Arrival.RESENT : Arrival.REDIRECTED;
      submission.sentTo = null;
      submission.unroutedSince = now;
      route(submission);
    }
  }

  private void jobReturned(EntryEvent.Returned event) {
    for (PendingSubmission submission : pendingFor(event.key())) {
      if (submission.sentTo != null && submission.sentTo.host().equals(event.host())) {
        if (!routes.openDomains().contains(submission.domain)) {
          submission.domain = null;
        }
        submission.arrival = Arrival.RESENT;
        submission.sentTo = null;
        submission.unroutedSince = now;
        submission.nextSendAt = now + RESEND_INTERVAL_MILLIS;
      }
    }
  }

  private void resend(String host) {
    for (PendingSubmission submission : List.copyOf(pending.values())) {
      if (submission.sentTo != null && submission.sentTo.host().equals(host)) {
        send(submission, submission.sentTo);
      }
    }
  }

  private void routesChanged(RouteView changed) {
    routes = changed;
    for (PendingSubmission submission : List.copyOf(pending.values())) {
      if (submission.sentTo != null && submission.domain != null) {
        Optional<RouteView.ActiveDispatcher> current = routes.dispatcher(submission.domain);
        if (current.isEmpty() || current.get().epoch() != submission.sentTo.epoch()) {
          submission.sentTo = null;
          submission.arrival = Arrival.RESENT;
          submission.unroutedSince = now;
        }
      }
      if (submission.sentTo == null && now >= submission.nextSendAt) {
        route(submission);
      }
    }
  }

  private void tick() {
    for (PendingSubmission submission : List.copyOf(pending.values())) {
      expireTickets(submission);
      if (now >= submission.deadlineAt + DEADLINE_GRACE_MILLIS) {
        complete(PendingKey.of(submission), deadlineOutcome(submission));
      } else if (submission.sentTo == null && now >= submission.nextSendAt) {
        route(submission);
      }
    }
  }

  private void expireTickets(PendingSubmission submission) {
    if (submission.purpose == PendingSubmission.Purpose.SUBMIT) {
      return;
    }
    Iterator<Map.Entry<Long, Long>> tickets = submission.tickets.entrySet().iterator();
    while (tickets.hasNext()) {
      Map.Entry<Long, Long> ticket = tickets.next();
      if (now >= ticket.getValue()) {
        tickets.remove();
        keyByTicket.remove(ticket.getKey());
        String detail = "the submission is not finished";
        answer(
            ticket.getKey(),
            submission.key,
            failed(ErrorKind.UNAVAILABLE, detail, RETRY_AFTER_MILLIS));
      }
    }
    if (submission.tickets.isEmpty()) {
      pending.remove(PendingKey.of(submission));
    }
  }

  /**
   * Sends the submission to the dispatcher of its domain, or completes it after a timeout if there
   * is none.
   */
  private void route(PendingSubmission submission) {
    if (submission.domain == null) {
      submission.domain = chooseDomain(submission).orElse(null);
    }
    Optional<RouteView.ActiveDispatcher> target =
        submission.domain == null ? Optional.empty() : routes.dispatcher(submission.domain);
    if (target.isPresent()) {
      send(submission, target.get());
      return;
    }
    long unroutedMillis = now - submission.unroutedSince;
    if (unroutedMillis >= DOMAIN_LOSS_TIMEOUT_MILLIS) {
      // The domain is partitioned or lost, and the leases of its runners have expired. For an
      // at-most-once job the ledger still decides whether it may run elsewhere.
      submission.domain =
          HomeDomainResolver.resolve(submission.key, routes.acceptingDomains()).orElse(null);
      if (submission.domain != null) {
        route(submission);
        return;
      }
    }
    if (unroutedMillis >= NO_DISPATCHER_TIMEOUT_MILLIS && !submission.sent) {
      complete(PendingKey.of(submission), noDispatcherOutcome(submission));
    }
  }

  private Optional<String> chooseDomain(PendingSubmission submission) {
    boolean keyed = submission.request == null || submission.request.keyed();
    boolean local = routes.acceptingDomains().contains(routes.domain());
    if ((submission.atMostOnce || !keyed) && local) {
      return Optional.of(routes.domain());
    }
    return routes.settled()
        ? HomeDomainResolver.resolve(submission.key, routes.openDomains())
        : Optional.empty();
  }

  private void send(PendingSubmission submission, RouteView.ActiveDispatcher target) {
    submission.sentTo = target;
    submission.sent = true;
    effects.add(
        switch (submission.purpose) {
          case SUBMIT ->
              new EntryEffect.SendJob(
                  target.host(), withRemainingTime(submission), submission.arrival);
          case FOLLOW -> new EntryEffect.SendFollow(target.host(), submission.key);
          case CANCEL -> new EntryEffect.SendCancel(target.host(), submission.key);
        });
  }

  private JobRequest withRemainingTime(PendingSubmission submission) {
    JobRequest request = submission.request;
    if (request == null) {
      throw new IllegalStateException("submission " + submission.key + " has no content to send");
    }
    return new JobRequest(
        request.key(),
        request.digest(),
        request.job(),
        request.tasks(),
        Math.max(1, submission.deadlineAt - now),
        request.keyed());
  }

  private static JobOutcome deadlineOutcome(PendingSubmission submission) {
    if (submission.sent) {
      String detail = "no outcome was known at the deadline";
      return failed(ErrorKind.DEADLINE_EXCEEDED, detail, 0);
    }
    return noDispatcherOutcome(submission);
  }

  private static JobOutcome noDispatcherOutcome(PendingSubmission submission) {
    // A keyed submission may have reached another host before, so it can't be reported as not run.
    boolean keyed = submission.request == null || submission.request.keyed();
    ErrorKind kind = keyed ? ErrorKind.UNAVAILABLE : ErrorKind.NOT_RUN;
    return failed(kind, "no dispatcher can be reached", RETRY_AFTER_MILLIS);
  }

  private List<PendingSubmission> pendingFor(SubmissionKey key) {
    return pending.values().stream().filter(submission -> submission.key.equals(key)).toList();
  }

  private void answer(long ticket, SubmissionKey key, JobOutcome outcome) {
    effects.add(new EntryEffect.Answer(ticket, key, outcome));
  }

  private static JobOutcome.Failed failed(ErrorKind kind, String detail, long retryAfterMillis) {
    return new JobOutcome.Failed(kind, detail, retryAfterMillis);
  }

  private record PendingKey(SubmissionKey key, PendingSubmission.Purpose purpose, String digest) {

    static PendingKey forSubmission(SubmissionKey key, String digest) {
      return new PendingKey(key, PendingSubmission.Purpose.SUBMIT, digest);
    }

    static PendingKey forQuery(SubmissionKey key, PendingSubmission.Purpose purpose) {
      return new PendingKey(key, purpose, "");
    }

    static PendingKey of(PendingSubmission submission) {
      String digest = submission.request == null ? "" : submission.request.digest();
      return new PendingKey(submission.key, submission.purpose, digest);
    }
  }
}
