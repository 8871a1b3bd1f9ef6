package org.burdockbay.server.transport;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.metrics.WaitMeter;

/**
 * Measures the delay with which an event loop runs its scheduled tasks.
 *
 * <p>A delayed loop doesn't read from its connections either, so the delay is part of the time for
 * which a message waits at this host.
 */
public final class EventLoopMonitor {

  private static final long MEASUREMENT_INTERVAL_MILLIS = 50;

  private final EventExecutor loop;
  private final Clock clock;
  private final WaitMeter waitMeter;

  private EventLoopMonitor(EventExecutor loop, Clock clock, WaitMeter waitMeter) {
    this.loop = loop;
    this.clock = clock;
    this.waitMeter = waitMeter;
  }

  /** Starts to measure one of the given loops, until that loop is shut down. */
  public static void start(EventExecutorGroup loops, Clock clock, WaitMeter waitMeter) {
    new EventLoopMonitor(loops.next(), clock, waitMeter).scheduleMeasurement();
  }

  private void scheduleMeasurement() {
    long dueAt = clock.millis() + MEASUREMENT_INTERVAL_MILLIS;
    loop.schedule(() -> measure(dueAt), MEASUREMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void measure(long dueAt) {
    long now = clock.millis();
    int pendingTasks = loop instanceof SingleThreadEventExecutor single ? single.pendingTasks() : 0;
    waitMeter.recordWait(Math.max(0, now - dueAt), pendingTasks, now);
    if (!loop.isShuttingDown()) {
      scheduleMeasurement();
    }
  }
}
