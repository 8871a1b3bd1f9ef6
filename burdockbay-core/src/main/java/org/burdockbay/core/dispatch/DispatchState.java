package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** State that the parts of one {@link Dispatcher} share; confined to the control thread. */
final class DispatchState {

  final String domain;
  final RunnerPool pool = new RunnerPool();
  final Map<String, RunTimeEstimator> runTimes = new HashMap<>();
  private final Map<String, RecentSuccesses> recentSuccesses = new HashMap<>();
  DispatchConfiguration configuration = DispatchConfiguration.EMPTY;
  Map<String, DomainLoad> otherDomainLoads = Map.of();
  Set<String> evacuatedDomains = Set.of();

  /** The epoch under which this host dispatches; 0 while it is passive. */
  long epoch;

  /**
   * Time of the last change to the set of failure domains or of evacuated ones, which may change
   * the home domain of a key, or of the grant of the epoch, whichever is later.
   */
  long homeDomainsStableSince;

  /** Time at which the process began to receive announcements. */
  long startedAt;

  long now;
  private List<DispatchEffect> effects = new ArrayList<>();

  DispatchState(String domain) {
    this.domain = domain;
  }

  boolean isDispatching() {
    return epoch != 0;
  }

  /** Returns whether this failure domain is evacuated. */
  boolean isEvacuated() {
    return evacuatedDomains.contains(domain);
  }

  /** Returns whether another failure domain has a dispatcher and isn't evacuated. */
  boolean hasOtherOpenDomain() {
    return !evacuatedDomains.containsAll(otherDomainLoads.keySet());
  }

  void emit(DispatchEffect effect) {
    effects.add(effect);
  }

  void logEvent(String event, String fields) {
    emit(new DispatchEffect.LogEvent(event, fields));
  }

  void propose(LedgerRequest request) {
    emit(new DispatchEffect.ProposeLedger(request));
  }

  void reportOutcome(String host, SubmissionKey key, String digest, JobOutcome outcome) {
    logEvent("job-reported", "job=" + key + " host=" + host + " outcome=" + outcome.code());
    emit(new DispatchEffect.ReportJob(host, key, digest, outcome));
  }

  List<DispatchEffect> takeEffects() {
    List<DispatchEffect> taken = effects;
    effects = new ArrayList<>();
    return taken;
  }

  RecentSuccesses recentSuccesses(JobRule rule) {
    return recentSuccesses.computeIfAbsent(rule.name(), name -> new RecentSuccesses());
  }

  RunTimeEstimator runTime(JobRule rule) {
    return runTimes.computeIfAbsent(
        rule.name(), name -> new RunTimeEstimator(rule.runTimeMillis()));
  }
}
