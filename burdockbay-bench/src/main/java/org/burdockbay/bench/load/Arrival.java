package org.burdockbay.bench.load;

import java.util.List;

/**
 * One job of the load.
 *
 * @param offsetMillis when it arrives, from the start of the run
 * @param job kind of job
 * @param taskRunMillis run time of each task
 */
public record Arrival(double offsetMillis, String job, List<Integer> taskRunMillis) {

  /** Copies the run times. */
  public Arrival {
    taskRunMillis = List.copyOf(taskRunMillis);
  }
}
