package org.burdockbay.core.work;

/**
 * Identifies one task of a piece of work.
 *
 * @param work the id of the work
 * @param step the number of the step, from 0
 * @param index the number of the task in its step, from 0
 */
public record TaskId(String work, int step, int index) {

  @Override
  public String toString() {
    return work + "/" + step + "/" + index;
  }
}
