package org.burdockbay.core.lease;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.share.FairShares;

/** Applies {@link FairShares} to waiting work, in a fleet that is divided into shards. */
final class ShareRule {

  private static final String NO_ROOM_IN_TIME = "no room in time";
  private static final String OVER_SHARE = "over share";

  private final DispatchContext context;
  private final FairShares shares = new FairShares();
  private boolean divided;

  ShareRule(DispatchContext context) {
    this.context = context;
  }

  /** Records the shard of this host; the rule is in force if it is a part of the fleet. */
  void shardChanged(ShardId ownShard) {
    divided = !ownShard.equals(ShardId.WHOLE_FLEET);
  }

  /** Forgets what was started for each flow. */
  void clear() {
    shares.clear();
  }

  /** Compares what was started for the flows of the waiting work, before the work is ordered. */
  void compareFlows(Collection<WorkState> works, List<UpstreamLease> upstreams) {
    if (isInForce()) {
      double millicores =
          upstreams.stream().mapToDouble(it -> it.announcement.capacity().cpuMillicores()).sum();
      shares.compare(
          works.stream().filter(this::mayStartPromptly).flatMap(ShareRule::waiting).toList(),
          millicores,
          context.now());
    }
  }

  private boolean mayStartPromptly(WorkState work) {
    return context.now() >= work.quietPeriodEndsAt
        && (work.mayHaveStarted || context.now() <= work.latestStartAt());
  }

  private static Stream<FairShares.WaitingWork> waiting(WorkState work) {
    double demand = waitingDemand(work);
    return demand == 0
        ? Stream.empty()
        : Stream.of(
            new FairShares.WaitingWork(
                work.request.id(),
                flow(work),
                work.request.priority(),
                work.request.share(),
                work.latestStartAt(),
                work.latestStartAt() - work.arrivedAt,
                demand));
  }

  private static FairShares.Flow flow(WorkState work) {
    return new FairShares.Flow(work.origin, work.request.queue());
  }

  /** Returns the demand of the tasks that wait and whose step is ready. */
  private static double waitingDemand(WorkState work) {
    double demand = 0;
    for (int step = 0; step < work.steps.size(); step++) {
      if (work.isReady(step)) {
        for (TaskState task : work.steps.get(step)) {
          demand += task.isWaiting() ? demand(task) : 0;
        }
      }
    }
    return demand;
  }

  private static double demand(TaskState task) {
    return (double) task.step.size().cpuMillicores() * task.step.estimateMillis();
  }

  /** Returns by how much the work is placed behind its latest start, in milliseconds. */
  double delayMillis(WorkState work) {
    return isInForce() ? shares.delayMillis(work.request.id()) : 0;
  }

  /** Records the start of a task for its flow. */
  void recordStart(TaskState task) {
    if (isInForce()) {
      shares.recordStart(flow(task.work), task.work.request.share(), demand(task));
    }
  }

  /** Returns the reason for refusing work that has no room in time, and logs an excess. */
  String refusalReason(WorkState work) {
    Optional<FairShares.Standing> excess =
        isInForce() ? shares.excess(work.request.id()) : Optional.empty();
    excess.ifPresent(standing -> logExcess(work, standing));
    return excess.isPresent() ? OVER_SHARE : NO_ROOM_IN_TIME;
  }

  private void logExcess(WorkState work, FairShares.Standing standing) {
    context.logEvent(
        "work-over-share",
        "work="
            + work.request.id()
            + " origin="
            + standing.flow().origin()
            + " queue="
            + standing.flow().queue()
            + " virtual="
            + Math.round(standing.virtualStart())
            + " least="
            + Math.round(standing.least())
            + " share="
            + work.request.share());
  }

  private boolean isInForce() {
    return divided && context.options().fairShares();
  }
}
