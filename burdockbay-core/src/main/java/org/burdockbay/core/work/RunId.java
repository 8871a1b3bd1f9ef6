package org.burdockbay.core.work;

/**
 * Identifies one run of a task.
 *
 * @param task the task
 * @param number the number of the run; later runs of the task have higher numbers
 */
public record RunId(TaskId task, long number) {

  @Override
  public String toString() {
    return task + "#" + number;
  }
}
