package org.burdockbay.core.share;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Shares scarce capacity among flows of the same priority by virtual-time fair queueing.
 *
 * <p>The virtual time of a flow advances by the demand of what is started for it, divided by its
 * share. Work of a flow that is ahead of the least served flow that waits is delayed: it is placed
 * as if its latest start were later by the time that the capacity takes for the excess. Otherwise
 * the latest start decides, within a flow and among flows.
 *
 * <p>The delay is at most the work's own slack. That places new work of a flow over its share
 * behind all work of the same kind, but not behind long work with much slack.
 *
 * <p>Demand and virtual time are in millicores times milliseconds. Not thread-safe.
 */
public final class FairShares {

  /** Time without waiting work after which the virtual time of a flow is dropped. */
  static final long FLOW_RETENTION_MILLIS = 10_000;

  /**
   * Time without waiting work after which a flow counts as idle. Work waits for some 100 ms at
   * most, so a flow that competes for capacity has no waiting work most of the time.
   */
  static final long IDLE_TIMEOUT_MILLIS = 1_000;

  /**
   * Excess that doesn't count, as time of the whole capacity. Flows with the same traffic differ by
   * about as much at random; without it, their order changes for no reason and more work is late.
   */
  static final double TOLERANCE_MILLIS = 120;

  /**
   * Maximum excess, as time of the whole capacity, so that a flow is soon served as others again.
   */
  static final double MAX_EXCESS_MILLIS = 1_000;

  private final Map<Flow, FlowState> flows = new HashMap<>();
  private final Map<String, Standing> standings = new HashMap<>();

  /**
   * Compares the flows of the waiting work; the results are available until the next call.
   *
   * @param works the work that waits and can still be answered promptly
   * @param millicores the capacity that the flows share
   * @param now the current time in milliseconds
   */
  public void compare(Collection<WaitingWork> works, double millicores, long now) {
    standings.clear();
    flows.values().removeIf(flow -> now - flow.lastWaitedAt > FLOW_RETENTION_MILLIS);
    Map<Integer, Map<Flow, List<WaitingWork>>> priorities = new LinkedHashMap<>();
    for (WaitingWork work : works) {
      priorities
          .computeIfAbsent(work.priority, priority -> new LinkedHashMap<>())
          .computeIfAbsent(work.flow, flow -> new ArrayList<>())
          .add(work);
    }
    priorities.values().forEach(waiting -> compareFlows(waiting, millicores, now));
  }

  private void compareFlows(Map<Flow, List<WaitingWork>> waiting, double millicores, long now) {
    double least = leastVirtualTime(waiting.keySet(), now);
    for (Map.Entry<Flow, List<WaitingWork>> entry : waiting.entrySet()) {
      FlowState flow = flows.computeIfAbsent(entry.getKey(), created -> new FlowState(least, now));
      flow.resume(least, least + MAX_EXCESS_MILLIS * millicores, now);
      double virtualStart = flow.virtualTime;
      entry.getValue().sort(Comparator.comparingLong(WaitingWork::latestStartAt));
      for (WaitingWork work : entry.getValue()) {
        double excessMillis = millicores == 0 ? 0 : (virtualStart - least) / millicores;
        double delayMillis =
            Math.clamp(excessMillis - TOLERANCE_MILLIS, 0.0, (double) work.slackMillis);
        standings.put(work.id, new Standing(work.flow, virtualStart, least, delayMillis));
        virtualStart += work.demand / work.share;
      }
    }
  }

  /**
   * Returns the least virtual time of the flows that wait; 0 if all of them were idle, whose
   * virtual times are then dropped.
   */
  private double leastVirtualTime(Collection<Flow> waiting, long now) {
    double least =
        waiting.stream()
            .map(flows::get)
            .filter(flow -> flow != null && !flow.isIdle(now))
            .mapToDouble(flow -> flow.virtualTime)
            .min()
            .orElse(Double.POSITIVE_INFINITY);
    if (Double.isInfinite(least)) {
      flows.keySet().removeAll(waiting);
      return 0;
    }
    return least;
  }

  /** Advances the virtual time of a flow by the demand of a started task. */
  public void recordStart(Flow flow, double share, double demand) {
    FlowState state = flows.get(flow);
    if (state != null) {
      state.virtualTime += demand / share;
    }
  }

  /** Returns by how much the waiting work is placed behind its latest start, in milliseconds. */
  public double delayMillis(String workId) {
    Standing standing = standings.get(workId);
    return standing == null ? 0 : standing.delayMillis;
  }

  /** Returns the standing of waiting work whose flow is over its share; empty for other work. */
  public Optional<Standing> excess(String workId) {
    return Optional.ofNullable(standings.get(workId)).filter(it -> it.delayMillis > 0);
  }

  /** Drops the virtual times of all flows. */
  public void clear() {
    flows.clear();
    standings.clear();
  }

  /**
   * Work that competes for capacity with other work of its priority.
   *
   * @param origin the failure domain whose entry host accepted the work
   * @param queue the queue of the work
   */
  public record Flow(String origin, String queue) {}

  /**
   * A piece of work that waits.
   *
   * @param share the weight of its queue; over 0
   * @param latestStartAt when it has to start for a prompt answer, in milliseconds
   * @param slackMillis the time from its arrival to its latest start
   * @param demand the demand of its waiting tasks, in millicores times milliseconds
   */
  public record WaitingWork(
      String id,
      Flow flow,
      int priority,
      double share,
      long latestStartAt,
      long slackMillis,
      double demand) {

    /** Raises a slack below 0 to 0. */
    public WaitingWork {
      slackMillis = Math.max(0, slackMillis);
    }
  }

  /**
   * What the flow of waiting work has received, compared with the others of its priority.
   *
   * @param virtualStart the virtual time of the flow when all its earlier work has started
   * @param least the least virtual time of the flows that wait
   * @param delayMillis by how much the work is placed behind its latest start, in milliseconds
   */
  public record Standing(Flow flow, double virtualStart, double least, double delayMillis) {}

  private static final class FlowState {

    private double virtualTime;
    private long lastWaitedAt;

    FlowState(double virtualTime, long now) {
      this.virtualTime = virtualTime;
      this.lastWaitedAt = now;
    }

    boolean isIdle(long now) {
      return now - lastWaitedAt > IDLE_TIMEOUT_MILLIS;
    }

    /** Records that work of the flow waits; idling has earned it no credit. */
    void resume(double least, double most, long now) {
      if (isIdle(now)) {
        virtualTime = Math.max(virtualTime, least);
      }
      virtualTime = Math.min(virtualTime, most);
      lastWaitedAt = now;
    }
  }
}
