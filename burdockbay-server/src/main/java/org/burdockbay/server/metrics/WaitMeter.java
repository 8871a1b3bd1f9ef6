package org.burdockbay.server.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import org.burdockbay.server.logging.EventLog;

/**
 * Measures how long tasks wait for a thread, and says so in the log when it is long.
 *
 * <p>Used by the thread that is measured only.
 */
public final class WaitMeter {

  /** A longer wait is logged, in milliseconds; a heartbeat is due every 150 ms. */
  private static final long WARNING_THRESHOLD_MILLIS = 200;

  /** Time between two lines, in milliseconds. */
  private static final long WARNING_INTERVAL_MILLIS = 1_000;

  private final Histogram waits;
  private final EventLog log;
  private final String event;
  private long nextWarningAt = Long.MIN_VALUE;

  /**
   * Creates a meter.
   *
   * @param name the name of the histogram, in milliseconds
   * @param event the name of the log line
   */
  public WaitMeter(MetricRegistry registry, String name, EventLog log, String event) {
    this.waits = registry.histogram(name);
    this.log = log;
    this.event = event;
  }

  /**
   * Records a wait.
   *
   * @param millis the wait, in milliseconds
   * @param waiting the number of tasks that wait now
   */
  public void recordWait(long millis, int waiting, long now) {
    waits.update(millis);
    if (millis > WARNING_THRESHOLD_MILLIS && now >= nextWarningAt) {
      nextWarningAt = now + WARNING_INTERVAL_MILLIS;
      log.warn(event, "wait=" + millis + " waiting=" + waiting);
    }
  }
}
