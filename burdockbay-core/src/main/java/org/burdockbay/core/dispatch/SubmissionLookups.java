package org.burdockbay.core.dispatch;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.ledger.LedgerReply;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/**
 * Looks up in the ledger the submissions that hosts follow or cancel and that this dispatcher
 * doesn't hold.
 */
final class SubmissionLookups {

  private final DispatchState state;
  private final DispatchRecovery recovery;
  private final Map<SubmissionKey, Set<String>> hostsByKey = new HashMap<>();

  SubmissionLookups(DispatchState state, DispatchRecovery recovery) {
    this.state = state;
    this.recovery = recovery;
  }

  void lookUp(SubmissionKey key, String host) {
    if (!recovery.isRegistered()) {
      report(host, key, notFound(key));
      return;
    }
    boolean lookupPending = hostsByKey.containsKey(key);
    hostsByKey.computeIfAbsent(key, unknown -> new LinkedHashSet<>()).add(host);
    if (!lookupPending) {
      state.propose(new LedgerRequest.Lookup(key, LedgerRequest.ANY_DIGEST));
    }
  }

  void lookupAnswered(SubmissionKey key, LedgerReply reply) {
    Set<String> hosts = hostsByKey.remove(key);
    if (hosts == null) {
      return;
    }
    for (String host : hosts) {
      switch (reply) {
        case LedgerReply.Closed closed -> report(host, key, closed.outcome());
        case LedgerReply.OpenElsewhere elsewhere when elsewhere.domain().equals(state.domain) ->
            state.emit(new DispatchEffect.ReturnJob(host, key));
        case LedgerReply.OpenElsewhere elsewhere ->
            state.emit(new DispatchEffect.RedirectJob(host, key, elsewhere.domain()));
        case LedgerReply.Unknown unknown -> report(host, key, notFound(key));
        default -> report(host, key, JobLifecycle.ledgerUnavailable());
      }
    }
  }

  void epochLost() {
    hostsByKey.forEach(
        (key, hosts) -> hosts.forEach(host -> state.emit(new DispatchEffect.ReturnJob(host, key))));
    hostsByKey.clear();
  }

  private void report(String host, SubmissionKey key, JobOutcome outcome) {
    state.reportOutcome(host, key, LedgerRequest.ANY_DIGEST, outcome);
  }

  private static JobOutcome.Failed notFound(SubmissionKey key) {
    String detail = "there is no submission " + key.submission();
    return new JobOutcome.Failed(ErrorKind.NOT_FOUND, detail, 0);
  }
}
