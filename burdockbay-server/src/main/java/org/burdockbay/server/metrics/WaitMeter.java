package org.burdockbay.server.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.burdockbay.server.logging.EventLog;

/**
 * Records how long tasks wait for a thread, and logs a warning about long waits.
 *
 * <p>Not thread-safe: only the measured thread may use it.
 */
public final class WaitMeter {

  /** Longer waits are logged; a heartbeat is due every 150 ms. */
  private static final long WARNING_THRESHOLD_MILLIS = 200;

  /** Minimum interval between two warnings. */
  private static final long WARNING_INTERVAL_MILLIS = 1_000;

  private final Histogram waits;
  private final EventLog log;
  private final String event;
  private long nextWarningAt = Long.MIN_VALUE;

  /**
   * Creates a meter.
   *
   * @param name name of the histogram, whose values are in milliseconds
   * @param event event name of the warnings
   */
  public WaitMeter(MetricRegistry registry, String name, EventLog log, String event) {
    this.waits = registry.histogram(name);
    this.log = log;
    this.event = event;
  }

  /**
   * Records a wait.
   *
   * @param waitMillis duration of the wait
   * @param waitingTasks number of tasks that are waiting now
   * @param now current time in milliseconds
   */
  public void recordWait(long waitMillis, int waitingTasks, long now) {
    waits.update(waitMillis);
    if (waitMillis > WARNING_THRESHOLD_MILLIS && now >= nextWarningAt) {
      nextWarningAt = now + WARNING_INTERVAL_MILLIS;
      log.warn(event, "wait=" + waitMillis + " waiting=" + waitingTasks);
    }
  }
}
