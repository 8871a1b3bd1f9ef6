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
 * <p>The gateway keeps a job until its outcome is known, and sends it again when the dispatcher
 * changed or a connection was lost. That is safe because the receiving dispatcher deduplicates: an
 * idempotent job by its key's home domain, a guarded one by the ledger.
 */
public final class EntryGateway {

  private static final long NO_DISPATCHER_TIMEOUT_MILLIS = 7_000;
  private static final long DOMAIN_LOSS_TIMEOUT_MILLIS = 6_000;
  private static final long RESEND_INTERVAL_MILLIS = 50;
  private static final long DEADLINE_GRACE_MILLIS = 300;
  private static final long RETRY_AFTER_MILLIS = 1_000;
  private static final int MAX_REDIRECTS = 8;

  /** A time that isn't reached, with room to add to it. */
  private static final long NEVER = Long.MAX_VALUE / 2;

  private final Map<PendingKey, PendingSubmission> pending = new HashMap<>();
  private final Map<Long, PendingKey> keyByTicket = new HashMap<>();
  private List<EntryEffect> effects = new ArrayList<>();
  private RouteView routes;
  private long now;

  /** Creates a gateway that knows no dispatcher yet. */
  public EntryGateway(String domain) {
    this.routes = RouteView.empty(domain);
  }

  /** Handles one event at the given time in milliseconds and returns what is to be done. */
  public List<EntryEffect> handle(EntryEvent event, long time) {
    now = Math.max(now, time);
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
    // Other content under the same id is another entry: which of the two the id belongs to is for
    // the dispatcher and the ledger to say.
    PendingKey pendingKey = PendingKey.forSubmission(request.key(), request.digest());
    PendingSubmission known = pending.get(pendingKey);
    if (known != null) {
      addTicket(known, pendingKey, event.ticket(), now + request.remainingMillis());
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
    PendingSubmission known = pending.get(pendingKey);
    if (known == null) {
      known = new PendingSubmission(key, purpose, null, false, now, NEVER);
      // The submission may be known here; its dispatcher is then the one to ask.
      known.domain =
          pendingFor(key).stream()
              .filter(other -> other.domain != null)
              .map(other -> other.domain)
              .findFirst()
              .orElse(null);
      pending.put(pendingKey, known);
      addTicket(known, pendingKey, ticket, now + waitMillis);
      route(known);
    } else {
      addTicket(known, pendingKey, ticket, now + waitMillis);
    }
  }

  private void addTicket(PendingSubmission to, PendingKey key, long ticket, long until) {
    to.tickets.put(ticket, until);
    keyByTicket.put(ticket, key);
  }

  private void abandon(long ticket) {
    PendingKey key = keyByTicket.remove(ticket);
    PendingSubmission known = key == null ? null : pending.get(key);
    if (known != null) {
      known.tickets.remove(ticket);
      if (known.tickets.isEmpty() && known.purpose != PendingSubmission.Purpose.SUBMIT) {
        pending.remove(key);
      }
    }
  }

  /**
   * Completes those who wait for this content, and those who follow the key.
   *
   * <p>The same id may be in use with other content at another host. Matching by the key alone
   * would give one caller's request the answer to the other content.
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
    for (PendingSubmission known : pendingFor(event.key())) {
      known.redirects++;
      if (known.redirects > MAX_REDIRECTS) {
        known.nextSendAt = now + RETRY_AFTER_MILLIS;
        continue;
      }
      known.domain = event.domain();
      known.arrival = known.arrival == Arrival.RESENT ? Arrival.RESENT : Arrival.REDIRECTED;
      known.sentTo = null;
      known.unroutedSince = now;
      route(known);
    }
  }

  private void jobReturned(EntryEvent.Returned event) {
    for (PendingSubmission known : pendingFor(event.key())) {
      if (known.sentTo != null && known.sentTo.host().equals(event.host())) {
        known.arrival = Arrival.RESENT;
        known.sentTo = null;
        known.unroutedSince = now;
        known.nextSendAt = now + RESEND_INTERVAL_MILLIS;
      }
    }
  }

  private void resend(String host) {
    for (PendingSubmission known : List.copyOf(pending.values())) {
      if (known.sentTo != null && known.sentTo.host().equals(host)) {
        send(known, known.sentTo);
      }
    }
  }

  private void routesChanged(RouteView changed) {
    routes = changed;
    for (PendingSubmission known : List.copyOf(pending.values())) {
      if (known.sentTo != null && known.domain != null) {
        Optional<RouteView.ActiveDispatcher> current = routes.dispatcher(known.domain);
        if (current.isEmpty() || current.get().epoch() != known.sentTo.epoch()) {
          known.sentTo = null;
          known.arrival = Arrival.RESENT;
          known.unroutedSince = now;
        }
      }
      if (known.sentTo == null && now >= known.nextSendAt) {
        route(known);
      }
    }
  }

  private void tick() {
    for (PendingSubmission known : List.copyOf(pending.values())) {
      expireTickets(known);
      if (now >= known.deadlineAt + DEADLINE_GRACE_MILLIS) {
        complete(PendingKey.of(known), deadlineOutcome(known));
      } else if (known.sentTo == null && now >= known.nextSendAt) {
        route(known);
      }
    }
  }

  private void expireTickets(PendingSubmission known) {
    if (known.purpose == PendingSubmission.Purpose.SUBMIT) {
      return;
    }
    Iterator<Map.Entry<Long, Long>> tickets = known.tickets.entrySet().iterator();
    while (tickets.hasNext()) {
      Map.Entry<Long, Long> ticket = tickets.next();
      if (now >= ticket.getValue()) {
        tickets.remove();
        keyByTicket.remove(ticket.getKey());
        String detail = "the submission is not finished";
        answer(
            ticket.getKey(), known.key, failed(ErrorKind.UNAVAILABLE, detail, RETRY_AFTER_MILLIS));
      }
    }
    if (known.tickets.isEmpty()) {
      pending.remove(PendingKey.of(known));
    }
  }

  /** Sends the submission to the dispatcher of its domain, or gives it up where there is none. */
  private void route(PendingSubmission known) {
    if (known.domain == null) {
      known.domain = chooseDomain(known).orElse(null);
    }
    Optional<RouteView.ActiveDispatcher> target =
        known.domain == null ? Optional.empty() : routes.dispatcher(known.domain);
    if (target.isPresent()) {
      send(known, target.get());
      return;
    }
    long unrouted = now - known.unroutedSince;
    if (unrouted >= DOMAIN_LOSS_TIMEOUT_MILLIS) {
      // The domain is cut off or lost. Its runners' leases to it have run out; for a guarded job
      // the ledger still says whether it may run anywhere else.
      known.domain = HomeDomainResolver.resolve(known.key, routes.acceptingDomains()).orElse(null);
      if (known.domain != null) {
        route(known);
        return;
      }
    }
    if (unrouted >= NO_DISPATCHER_TIMEOUT_MILLIS && !known.sent) {
      complete(PendingKey.of(known), noDispatcherOutcome(known));
    }
  }

  private Optional<String> chooseDomain(PendingSubmission known) {
    boolean keyed = known.request == null || known.request.keyed();
    boolean local = routes.acceptingDomains().contains(routes.domain());
    if ((known.atMostOnce || !keyed) && local) {
      return Optional.of(routes.domain());
    }
    return routes.settled()
        ? HomeDomainResolver.resolve(known.key, routes.openDomains())
        : Optional.empty();
  }

  private void send(PendingSubmission known, RouteView.ActiveDispatcher target) {
    known.sentTo = target;
    known.sent = true;
    effects.add(
        switch (known.purpose) {
          case SUBMIT ->
              new EntryEffect.SendJob(target.host(), withRemainingTime(known), known.arrival);
          case FOLLOW -> new EntryEffect.SendFollow(target.host(), known.key);
          case CANCEL -> new EntryEffect.SendCancel(target.host(), known.key);
        });
  }

  private JobRequest withRemainingTime(PendingSubmission known) {
    JobRequest request = known.request;
    if (request == null) {
      throw new IllegalStateException("submission " + known.key + " has no content to send");
    }
    return new JobRequest(
        request.key(),
        request.digest(),
        request.job(),
        request.tasks(),
        Math.max(1, known.deadlineAt - now),
        request.keyed());
  }

  private static JobOutcome deadlineOutcome(PendingSubmission known) {
    if (known.sent) {
      String detail = "no outcome was known at the deadline";
      return failed(ErrorKind.DEADLINE_EXCEEDED, detail, 0);
    }
    return noDispatcherOutcome(known);
  }

  private static JobOutcome noDispatcherOutcome(PendingSubmission known) {
    // A keyed submission may have reached another host before, so it can't be called not run.
    boolean keyed = known.request == null || known.request.keyed();
    ErrorKind kind = keyed ? ErrorKind.UNAVAILABLE : ErrorKind.NOT_RUN;
    return failed(kind, "no dispatcher can be reached", RETRY_AFTER_MILLIS);
  }

  private List<PendingSubmission> pendingFor(SubmissionKey key) {
    return pending.values().stream().filter(known -> known.key.equals(key)).toList();
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

    static PendingKey of(PendingSubmission known) {
      String digest = known.request == null ? "" : known.request.digest();
      return new PendingKey(known.key, known.purpose, digest);
    }
  }
}
