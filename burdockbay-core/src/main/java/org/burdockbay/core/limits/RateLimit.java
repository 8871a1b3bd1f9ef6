package org.burdockbay.core.limits;

/**
 * Limits the number of operations in each second.
 *
 * <p>Not thread-safe.
 */
public final class RateLimit {

  private static final long WINDOW_MILLIS = 1_000;

  private final int maxPerSecond;
  private long windowStartedAt = Long.MIN_VALUE / 2;
  private int count;

  /** Creates a limit on the operations a second. */
  public RateLimit(int maxPerSecond) {
    this.maxPerSecond = maxPerSecond;
  }

  /**
   * Counts an operation, unless the limit is reached.
   *
   * @param now current time, in milliseconds
   * @return whether the operation may be done
   */
  public boolean tryAdd(long now) {
    if (now - windowStartedAt >= WINDOW_MILLIS) {
      windowStartedAt = now;
      count = 0;
    }
    if (count >= maxPerSecond) {
      return false;
    }
    count++;
    return true;
  }
}
