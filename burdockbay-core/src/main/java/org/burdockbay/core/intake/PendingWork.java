package org.burdockbay.core.intake;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkRequest;

/**
 * Work that callers wait for at this host, or waited for until recently.
 *
 * <p>Points in time are in milliseconds of the clock of {@link WorkIntake}.
 */
final class PendingWork {

  final String id;

  /** The waiting callers by ticket, in the order of their arrival. */
  final Map<Long, Caller> callers = new LinkedHashMap<>();

  /** The shard to which the work is assigned while that shard has a dispatcher. */
  Optional<ShardId> shard = Optional.empty();

  /** The dispatcher that has the work; empty before submission and after a refusal. */
  Optional<IntakeEvent.Dispatcher> submittedTo = Optional.empty();

  /** The ids of the hosts that have refused the work. */
  final Set<String> refusedBy = new HashSet<>();

  /** The time of the last message from the dispatcher that has the work. */
  long lastContactAt;

  /** The time of the last submission to a dispatcher, for any of the callers. */
  long lastSubmittedAt;

  /** The time until which runs that an earlier dispatcher started may continue. */
  long quietPeriodEndsAt;

  /** Whether the work was moved away from a dispatcher that hadn't reported an outcome. */
  boolean mayHaveRun;

  /** Number of dispatchers that fell silent while they had the work. */
  int lostDispatchers;

  /** The time at which a caller was last answered or disconnected. */
  long idleSince;

  PendingWork(String id) {
    this.id = id;
  }

  /** A waiting caller. */
  static final class Caller {

    final long ticket;
    final WorkRequest request;
    final long arrivedAt;
    long lastSubmittedAt;

    Caller(long ticket, WorkRequest request, long arrivedAt) {
      this.ticket = ticket;
      this.request = request;
      this.arrivedAt = arrivedAt;
    }
  }
}
