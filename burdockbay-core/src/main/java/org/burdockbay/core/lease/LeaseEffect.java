package org.burdockbay.core.lease;

import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.WorkOutcome;

/** What a {@link LeaseDispatcher} wants done. */
public sealed interface LeaseEffect {

  /**
   * Starts a run.
   *
   * @param deadlineMillis end of the lease on the upstream's clock
   */
  record Start(UpstreamNotice upstream, RunId run, String payload, long token, long deadlineMillis)
      implements LeaseEffect {}

  /** Stops a run. */
  record Stop(UpstreamNotice upstream, RunId run, long token) implements LeaseEffect {}

  /**
   * Renews the lease, acknowledges ends and reads the lists.
   *
   * @param renewal number of this call, for its answer
   * @param acknowledged the last end that is dealt with
   * @param deadlineMillis end of the lease on the upstream's clock; 0 to leave it as it is
   * @param waitMillis how long the upstream may wait for an end before it answers
   * @param answerMillis silence beyond the wait after which the renewal counts as missed
   */
  record Renew(
      UpstreamNotice upstream,
      long renewal,
      long token,
      long acknowledged,
      long deadlineMillis,
      long waitMillis,
      long answerMillis)
      implements LeaseEffect {}

  /** Tells an entry host the outcome of its work. */
  record Report(String entryHost, String workId, WorkOutcome outcome) implements LeaseEffect {}

  /**
   * An upstream goes on refusing this host's token, as it has seen a higher one.
   *
   * @param obeyedBefore whether it has obeyed this token, so that the higher one is newer
   */
  record Outranked(long token, boolean obeyedBefore) implements LeaseEffect {}

  /** This host stood still and has given the role up. */
  record Stalled() implements LeaseEffect {}

  /** A decision for the log; {@code fields} are key=value pairs. */
  record Note(String event, String fields) implements LeaseEffect {}
}
