package org.burdockbay.core.lease;

import java.util.List;

/** The tasks that wait, in the order in which they are placed, and how long they will take. */
final class Backlog {

  /**
   * The share of the upstreams' processors that tasks use while others wait. Two or three tasks
   * fill an upstream, so a part of each stays unused.
   */
  private static final double USABLE_SHARE = 0.7;

  private final double cpuMillicores;
  private double waitingWork;

  /** Creates an empty backlog of the given upstreams. */
  Backlog(List<UpstreamLease> open) {
    long sum = 0;
    for (UpstreamLease upstream : open) {
      sum += upstream.notice.capacity().cpuMillicores();
    }
    cpuMillicores = sum * USABLE_SHARE;
  }

  /** Adds the tasks of a piece of work that wait. */
  void add(WorkState work) {
    waitingWork += waiting(work);
  }

  /** Returns for how long the upstreams are busy with all this, in milliseconds. */
  double waitMillis() {
    return millis(waitingWork);
  }

  /** Returns for how long the upstreams would be busy with just this work, in milliseconds. */
  double millisFor(WorkState work) {
    return millis(waiting(work));
  }

  /** Without any upstream nothing can be said; the work then waits until it is late by itself. */
  private double millis(double work) {
    return cpuMillicores == 0 ? 0 : work / cpuMillicores;
  }

  private static double waiting(WorkState work) {
    double sum = 0;
    for (List<TaskState> tasks : work.steps) {
      for (TaskState task : tasks) {
        if (task.waits()) {
          sum += (double) task.step.size().cpuMillicores() * task.step.estimateMillis();
        }
      }
    }
    return sum;
  }
}
