package org.burdockbay.core.work;

/**
 * What a task asks for, or what an upstream has.
 *
 * @param cpuMillicores processor, in thousandths of a core
 * @param memoryMegabytes memory, in megabytes
 * @param accelerators number of accelerators
 */
public record TaskSize(int cpuMillicores, int memoryMegabytes, int accelerators) {

  /** No room at all. */
  public static final TaskSize ZERO = new TaskSize(0, 0, 0);

  /** Returns whether this fits into the given room. */
  public boolean fitsInto(TaskSize room) {
    return cpuMillicores <= room.cpuMillicores
        && memoryMegabytes <= room.memoryMegabytes
        && accelerators <= room.accelerators;
  }

  /** Returns how many of this size fit into the given room together. */
  public int maxCountIn(TaskSize room) {
    int times = Integer.MAX_VALUE;
    times = Math.min(times, maxCount(cpuMillicores, room.cpuMillicores));
    times = Math.min(times, maxCount(memoryMegabytes, room.memoryMegabytes));
    return Math.min(times, maxCount(accelerators, room.accelerators));
  }

  private static int maxCount(int each, int room) {
    return each == 0 ? Integer.MAX_VALUE : Math.max(0, room / each);
  }

  /** Returns the sum. */
  public TaskSize plus(TaskSize other) {
    return new TaskSize(
        cpuMillicores + other.cpuMillicores,
        memoryMegabytes + other.memoryMegabytes,
        accelerators + other.accelerators);
  }

  /** Returns the difference. */
  public TaskSize minus(TaskSize other) {
    return new TaskSize(
        cpuMillicores - other.cpuMillicores,
        memoryMegabytes - other.memoryMegabytes,
        accelerators - other.accelerators);
  }

  /** Returns the larger of both in each respect. */
  public TaskSize max(TaskSize other) {
    return new TaskSize(
        Math.max(cpuMillicores, other.cpuMillicores),
        Math.max(memoryMegabytes, other.memoryMegabytes),
        Math.max(accelerators, other.accelerators));
  }
}
