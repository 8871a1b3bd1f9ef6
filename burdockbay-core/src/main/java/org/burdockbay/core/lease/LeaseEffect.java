package org.burdockbay.core.lease;

import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.WorkOutcome;

/** What a {@link LeaseDispatcher} wants done. */
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
   * Renews the lease, acknowledges ends and reads the lists.
   *
   * @param renewalNumber number of this call, for its answer
   * @param acknowledgedEnd the last end that is dealt with
   * @param deadlineMillis end of the lease on the upstream's clock; 0 to leave it as it is
   * @param waitMillis how long the upstream may wait for an end before it answers
   * @param answerTimeoutMillis silence beyond the wait after which the renewal counts as missed
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

  /** Tells an entry host the outcome of its work. */
  record Report(String entryHost, String workId, WorkOutcome outcome) implements LeaseEffect {}

  /**
   * An upstream goes on refusing this host's token, as it has seen a higher one.
   *
   * @param acceptedBefore whether it has obeyed this token, so that the higher one is newer
   */
  record Superseded(long token, boolean acceptedBefore) implements LeaseEffect {}

  /** This host stood still and has given the role up. */
  record RoleReleased() implements LeaseEffect {}

  /** A decision for the log; {@code fields} are key=value pairs. */
  record LogEvent(String event, String fields) implements LeaseEffect {}
}
