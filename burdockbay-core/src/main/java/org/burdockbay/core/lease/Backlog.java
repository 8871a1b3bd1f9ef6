package org.burdockbay.core.lease;

import java.util.List;
import org.burdockbay.core.profile.UpstreamProfiles;

/**
 * Sums up waiting tasks in the order of their placement and estimates how long the upstreams take
 * to run them.
 */
final class Backlog {

  /**
   * The share of the upstreams' processors that tasks use while others wait. Two or three tasks
   * fill an upstream, so a part of each upstream stays unused.
   */
  private static final double USABLE_CPU_SHARE = 0.7;

  private final double usableMillicores;
  private double waitingMillicoreMillis;

  /** Creates an empty backlog for the given upstreams, which count by their speeds. */
  Backlog(List<UpstreamLease> upstreams, UpstreamProfiles profiles) {
    double sum = 0;
    for (UpstreamLease upstream : upstreams) {
      sum +=
          upstream.announcement.capacity().cpuMillicores() * profiles.speed(upstream.announcement);
    }
    usableMillicores = sum * USABLE_CPU_SHARE;
  }

  /** Adds the waiting tasks of a piece of work. */
  void add(WorkState work) {
    waitingMillicoreMillis += waitingMillicoreMillisOf(work);
  }

  /** Returns how long the upstreams take to run the whole backlog, in milliseconds. */
  double waitMillis() {
    return toMillis(waitingMillicoreMillis);
  }

  /**
   * Returns how long the upstreams would take to run the waiting tasks of this work alone, in
   * milliseconds.
   */
  double processingMillis(WorkState work) {
    return toMillis(waitingMillicoreMillisOf(work));
  }

  /**
   * Returns the time that the upstreams take for a demand, in milliseconds; 0 without any upstream,
   * since there is nothing to estimate from. Work then waits until its own latest start has passed.
   */
  private double toMillis(double demand) {
    return usableMillicores == 0 ? 0 : demand / usableMillicores;
  }

  private static double waitingMillicoreMillisOf(WorkState work) {
    double demand = 0;
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        if (task.isWaiting()) {
          demand += (double) task.step.size().cpuMillicores() * task.step.estimateMillis();
        }
      }
    }
    return demand;
  }
}
