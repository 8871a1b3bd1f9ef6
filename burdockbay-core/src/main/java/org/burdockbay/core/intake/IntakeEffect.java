package org.burdockbay.core.intake;

import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/** An action that a {@link WorkIntake} requests from its host. */
public sealed interface IntakeEffect {

  /**
   * Submits work to a dispatcher.
   *
   * @param ageMillis the time since the caller's request arrived, in milliseconds
   * @param quietPeriodMillis the time during which the dispatcher must start no run of the work,
   *     because runs of an earlier dispatcher may continue, in milliseconds
   * @param origin the failure domain of this host
   */
  record Submit(
      IntakeEvent.Dispatcher to,
      long ticket,
      WorkRequest request,
      long ageMillis,
      long quietPeriodMillis,
      String origin)
      implements IntakeEffect {}

  /**
   * Notifies a dispatcher that this host no longer waits for the work there, because no caller
   * waits any longer or because the work was moved to another dispatcher.
   */
  record Cancel(IntakeEvent.Dispatcher to, String workId) implements IntakeEffect {}

  /**
   * Sends a caller its only answer.
   *
   * @param ageMillis the time since the caller's request arrived, in milliseconds
   */
  record Answer(long ticket, WorkRequest request, long ageMillis, WorkOutcome outcome)
      implements IntakeEffect {}

  /**
   * Writes an event to the log.
   *
   * @param fields the event's attributes as {@code key=value} pairs
   */
  record LogEvent(String event, String fields) implements IntakeEffect {}
}
