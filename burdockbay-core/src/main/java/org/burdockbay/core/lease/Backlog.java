package org.burdockbay.core.lease;

import java.util.List;

/** The tasks that wait, in the order in which they are placed, and how long they will take. */
final class Backlog {

  /**
   * The share of the upstreams' processors that tasks use while others wait. Two or three tasks
   * fill an upstream, so a part of each stays unused.
   */
  private static final double USABLE_CPU_SHARE = 0.7;

  private final double usableMillicores;
  private double waitingMillicoreMillis;

  /** Creates an empty backlog of the given upstreams. */
  Backlog(List<UpstreamLease> open) {
    long sum = 0;
    for (UpstreamLease upstream : open) {
      sum += upstream.announcement.capacity().cpuMillicores();
    }
    usableMillicores = sum * USABLE_CPU_SHARE;
  }

  /** Adds the tasks of a piece of work that wait. */
  void add(WorkState work) {
    waitingMillicoreMillis += waitingMillicoreMillisOf(work);
  }

  /** Returns for how long the upstreams are busy with all this, in milliseconds. */
  double waitMillis() {
    return toMillis(waitingMillicoreMillis);
  }

  /** Returns for how long the upstreams would be busy with just this work, in milliseconds. */
  double processingMillis(WorkState work) {
    return toMillis(waitingMillicoreMillisOf(work));
  }

  /** Without any upstream nothing can be said; the work then waits until it is late by itself. */
  private double toMillis(double work) {
    return usableMillicores == 0 ? 0 : work / usableMillicores;
  }

  private static double waitingMillicoreMillisOf(WorkState work) {
    double sum = 0;
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        if (task.isWaiting()) {
          sum += (double) task.step.size().cpuMillicores() * task.step.estimateMillis();
        }
      }
    }
    return sum;
  }
}
