package org.burdockbay.core.work;

/**
 * One start of a task.
 *
 * @param task the task
 * @param number the number of the start; later starts of the task have higher numbers
 */
public record RunId(TaskId task, long number) {

  @Override
  public String toString() {
    return task + "#" + number;
  }
}
