package org.burdockbay.core.work;

/**
 * The resources that a task needs or that an upstream has.
 *
 * @param cpuMillicores processor, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators
 */
public record TaskSize(int cpuMillicores, int memoryMegabytes, int accelerators) {

  /** No resources at all. */
  public static final TaskSize ZERO = new TaskSize(0, 0, 0);

  /** Returns whether this size fits into the given capacity. */
  public boolean fitsInto(TaskSize capacity) {
    return cpuMillicores <= capacity.cpuMillicores
        && memoryMegabytes <= capacity.memoryMegabytes
        && accelerators <= capacity.accelerators;
  }

  /** Returns how many tasks of this size fit into the given capacity together. */
  public int maxCountIn(TaskSize capacity) {
    int count = Integer.MAX_VALUE;
    count = Math.min(count, maxCount(cpuMillicores, capacity.cpuMillicores));
    count = Math.min(count, maxCount(memoryMegabytes, capacity.memoryMegabytes));
    return Math.min(count, maxCount(accelerators, capacity.accelerators));
  }

  private static int maxCount(int size, int capacity) {
    return size == 0 ? Integer.MAX_VALUE : Math.max(0, capacity / size);
  }

  /** Returns the sum in each dimension. */
  public TaskSize plus(TaskSize other) {
    return new TaskSize(
        cpuMillicores + other.cpuMillicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns the difference in each dimension, which may be negative. */
  public TaskSize minus(TaskSize other) {
    return new TaskSize(
        cpuMillicores - other.cpuMillicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns the larger value in each dimension. */
  public TaskSize max(TaskSize other) {
    return new TaskSize(
        Math.max(cpuMillicores, other.cpuMillicores),
        Math.max(memoryMegabytes, other.memoryMegabytes),
        Math.max(accelerators, other.accelerators));
  }
}
