package org.burdockbay.core.lease;

import java.util.List;
import org.burdockbay.core.shard.ShardId;

/**
 * Defers refusals for lack of room or for overload while a dispatcher has just got its role.
 *
 * <p>Such a dispatcher knows its capacity only once its upstreams have answered, and messages wait
 * for its processor while its process is cold. After a restart of all hosts, both last for a moment
 * in which capacity is about to come; refusing all work that has waited for it would lose more than
 * starting some of it late.
 *
 * <p>Takes effect in a fleet that is divided into shards.
 */
final class TakeoverGrace {

  /** Longest time from the takeover for which refusals are deferred, in milliseconds. */
  static final long MAX_GRACE_MILLIS = 600;

  private final DispatchContext context;
  private long beganAt;
  private long endsAt;
  private boolean settled = true;

  TakeoverGrace(DispatchContext context) {
    this.context = context;
  }

  /** Begins the grace time of a role that this host has just got. */
  void begin(ShardId shard) {
    boolean takesEffect = context.options().stagedRecovery() && !shard.equals(ShardId.WHOLE_FLEET);
    beganAt = context.now();
    endsAt = takesEffect ? beganAt + MAX_GRACE_MILLIS : beganAt;
    settled = !takesEffect;
  }

  /**
   * Returns whether refusals have to be deferred now.
   *
   * <p>In the grace time, an upstream that hasn't answered counts as capacity that is about to
   * come, and so does a shard without known upstreams.
   */
  boolean defersRefusals(List<UpstreamLease> ownUpstreams) {
    if (settled && context.now() >= endsAt) {
      return false;
    }
    long answered = ownUpstreams.stream().filter(upstream -> upstream.tokenAccepted).count();
    boolean awaitsAnswers = ownUpstreams.isEmpty() || answered < ownUpstreams.size();
    boolean defers = awaitsAnswers && context.now() < endsAt;
    if (!defers && !settled) {
      settled = true;
      context.logEvent(
          "takeover-settled",
          "token="
              + context.token()
              + " millis="
              + (context.now() - beganAt)
              + " upstreams="
              + ownUpstreams.size()
              + " answered="
              + answered);
    }
    return defers;
  }
}
