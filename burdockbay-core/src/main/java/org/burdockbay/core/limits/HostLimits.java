package org.burdockbay.core.limits;

/**
 * Limits on the memory of a host that runs leased work, by what fills it.
 *
 * @param work limits on work at the dispatcher
 * @param waitingWorkBytes memory of the requests whose callers wait at this host, in bytes
 * @param receivedWorkBytes memory of submissions by other hosts that aren't handled yet, in bytes
 * @param upstreamBytes memory of the registered upstreams, in bytes
 * @param newsBytes memory of news of upstreams that is kept for hosts that reconnect, in bytes
 * @param queuedTasks number of queued tasks of the control thread above which requests are refused
 */
public record HostLimits(
    WorkLimits work,
    long waitingWorkBytes,
    long receivedWorkBytes,
    long upstreamBytes,
    long newsBytes,
    long queuedTasks) {

  /** No limits. */
  public static final HostLimits UNLIMITED =
      new HostLimits(
          WorkLimits.UNLIMITED,
          Long.MAX_VALUE,
          Long.MAX_VALUE,
          Long.MAX_VALUE,
          Long.MAX_VALUE,
          Long.MAX_VALUE);

  private static final long WAITING_WORK_DIVISOR = 16;
  private static final long RECEIVED_WORK_DIVISOR = 32;
  private static final long UPSTREAM_DIVISOR = 16;
  private static final long NEWS_DIVISOR = 32;
  private static final long HEAP_BYTES_PER_QUEUED_TASK = 4 * 1024;

  /** Returns the limits of a host with the given maximum heap size, in bytes. */
  public static HostLimits ofHeap(long heapBytes) {
    return new HostLimits(
        WorkLimits.ofHeap(heapBytes),
        heapBytes / WAITING_WORK_DIVISOR,
        heapBytes / RECEIVED_WORK_DIVISOR,
        heapBytes / UPSTREAM_DIVISOR,
        heapBytes / NEWS_DIVISOR,
        heapBytes / HEAP_BYTES_PER_QUEUED_TASK);
  }
}
