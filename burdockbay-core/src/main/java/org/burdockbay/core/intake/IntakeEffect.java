package org.burdockbay.core.intake;

import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/** What a {@link WorkIntake} wants done. */
public sealed interface IntakeEffect {

  /** Submits work to a dispatcher. */
  record Submit(
      IntakeEvent.Dispatcher to,
      long ticket,
      WorkRequest request,
      long ageMillis,
      long quietPeriodMillis)
      implements IntakeEffect {}

  /** Tells a dispatcher that the caller has left. */
  record Cancel(IntakeEvent.Dispatcher to, String workId) implements IntakeEffect {}

  /** Answers a caller, finally. */
  record Answer(long ticket, WorkRequest request, long ageMillis, WorkOutcome outcome)
      implements IntakeEffect {}

  /** A decision for the log; {@code fields} are key=value pairs. */
  record LogEvent(String event, String fields) implements IntakeEffect {}
}
