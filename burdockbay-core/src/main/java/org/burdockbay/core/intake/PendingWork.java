package org.burdockbay.core.intake;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkRequest;

/** Work that callers wait for at this host, or have just ceased to wait for. */
final class PendingWork {

  final String id;

  /** The callers that wait, by ticket. */
  final Map<Long, Caller> callers = new LinkedHashMap<>();

  /** The shard that it was given to; it stays there as long as the shard has a dispatcher. */
  Optional<ShardId> shard = Optional.empty();

  /** The dispatcher that has it; empty before it was submitted and after a refusal. */
  Optional<IntakeEvent.Dispatcher> submittedTo = Optional.empty();

  /** The hosts that have refused it. */
  final Set<String> refusedBy = new HashSet<>();

  /** When the dispatcher that has it was heard last, in milliseconds. */
  long lastContactAt;

  /** When it was submitted last, by any of its callers, in milliseconds. */
  long lastSubmittedAt;

  /** Until when runs that an earlier dispatcher started may go on, in milliseconds. */
  long quietPeriodEndsAt;

  /** Whether a dispatcher that gave no answer had it. */
  boolean mayHaveRun;

  /** When the last caller was answered or left, in milliseconds. */
  long idleSince;

  PendingWork(String id) {
    this.id = id;
  }

  /** A caller that waits. */
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
