package org.burdockbay.bench.load;

import java.util.List;

/**
 * A job of the generated load.
 *
 * @param offsetMillis arrival time, in milliseconds since the start of the run
 * @param job name of the job's kind
 * @param taskRunMillis run time of each task, in milliseconds
 */
public record Arrival(double offsetMillis, String job, List<Integer> taskRunMillis) {

  /** Copies the run times. */
  public Arrival {
    taskRunMillis = List.copyOf(taskRunMillis);
  }
}
