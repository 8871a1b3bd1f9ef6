package org.burdockbay.core.lease;

import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.WorkOutcome;

/** An action that a {@link LeaseDispatcher} requests from its host. */
public sealed interface LeaseEffect {

  /**
   * Starts a run.
   *
   * @param deadlineMillis end of the lease on the upstream's clock
   */
  record Start(
      UpstreamAnnouncement upstream, RunId run, String payload, long token, long deadlineMillis)
      implements LeaseEffect {}

  /** Stops a run. */
  record Stop(UpstreamAnnouncement upstream, RunId run, long token) implements LeaseEffect {}

  /**
   * Renews the lease of an upstream, acknowledges ends of runs and requests the lists of runs and
   * ends.
   *
   * @param renewalNumber number of this call, repeated in its answer
   * @param acknowledgedEnd number of the last end of a run that has been processed
   * @param deadlineMillis end of the lease on the upstream's clock; 0 to leave it unchanged
   * @param waitMillis how long the upstream may wait for the end of a run before it answers
   * @param answerTimeoutMillis silence beyond that wait after which the renewal counts as
   *     unanswered
   */
  record Renew(
      UpstreamAnnouncement upstream,
      long renewalNumber,
      long token,
      long acknowledgedEnd,
      long deadlineMillis,
      long waitMillis,
      long answerTimeoutMillis)
      implements LeaseEffect {}

  /** Reports the outcome of work to an entry host. */
  record Report(String entryHost, String workId, WorkOutcome outcome) implements LeaseEffect {}

  /**
   * Registers work that this dispatcher has accepted; sent again until it is confirmed.
   *
   * @param registrarToken the token under which the registrar dispatches
   * @param token the token of this dispatcher
   * @param underWay whether tasks of the work may have started
   */
  record RegisterWork(
      String registrar, long registrarToken, long token, String workId, boolean underWay)
      implements LeaseEffect {}

  /**
   * Confirms, as the registrar, that no other dispatcher has the work.
   *
   * @param token the token of the dispatcher that registered the work
   * @param quietPeriodMillis how long no task may start, as runs of an earlier dispatcher may go on
   */
  record ConfirmRegistration(String dispatcher, long token, String workId, long quietPeriodMillis)
      implements LeaseEffect {}

  /**
   * Notifies, as the registrar, a dispatcher that another one has the work.
   *
   * @param token the token of the dispatcher that registered the work
   * @param holder the host of the dispatcher that has it; empty if not known yet
   */
  record DeferRegistration(String dispatcher, long token, String workId, String holder)
      implements LeaseEffect {}

  /** Removes the registration of work of which no run is left. */
  record DeregisterWork(String registrar, long token, String workId) implements LeaseEffect {}

  /**
   * Signals that an upstream keeps refusing this host's token because it has seen a higher one.
   *
   * @param acceptedBefore whether the upstream has accepted this token before, so that the higher
   *     one is newer
   */
  record Superseded(long token, boolean acceptedBefore) implements LeaseEffect {}

  /** Signals that this host was paused and has given up the role. */
  record RoleReleased() implements LeaseEffect {}

  /** Logs a decision; {@code fields} are key=value pairs. */
  record LogEvent(String event, String fields) implements LeaseEffect {}
}
