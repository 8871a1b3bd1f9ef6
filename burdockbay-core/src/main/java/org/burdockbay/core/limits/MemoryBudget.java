package org.burdockbay.core.limits;

import java.util.concurrent.atomic.AtomicLong;

/**
 * A limit on the memory that one kind of content takes on this host.
 *
 * <p>Thread-safe.
 */
public final class MemoryBudget {

  private final long limitBytes;
  private final AtomicLong usedBytes = new AtomicLong();
  private final AtomicLong refusals = new AtomicLong();

  /** Creates an unused budget with a limit in bytes. */
  public MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /** Returns a budget that never refuses a reservation. */
  public static MemoryBudget unlimited() {
    return new MemoryBudget(Long.MAX_VALUE);
  }

  /**
   * Reserves memory, or counts a refusal if the limit would be exceeded.
   *
   * @return whether the memory was reserved; the caller then has to {@link #release} it
   */
  public boolean tryReserve(long bytes) {
    long used = usedBytes.get();
    while (bytes <= limitBytes - used) {
      if (usedBytes.compareAndSet(used, used + bytes)) {
        return true;
      }
      used = usedBytes.get();
    }
    refusals.incrementAndGet();
    return false;
  }

  /** Returns reserved memory to the budget. */
  public void release(long bytes) {
    usedBytes.addAndGet(-bytes);
  }

  /** Returns the limit, in bytes. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the reserved memory, in bytes. */
  public long usedBytes() {
    return usedBytes.get();
  }

  /** Returns the number of refused reservations. */
  public long refusals() {
    return refusals.get();
  }
}
