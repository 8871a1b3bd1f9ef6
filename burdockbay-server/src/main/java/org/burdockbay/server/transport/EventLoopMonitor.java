package org.burdockbay.server.transport;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.EventExecutorGroup;
import io.netty.util.concurrent.SingleThreadEventExecutor;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.metrics.WaitMeter;

/**
 * Measures how late an event loop is.
 *
 * <p>What others have sent isn't read in that time, so it is part of how long a message waits here.
 */
public final class EventLoopMonitor {

  /** Time between two measurements, in milliseconds. */
  private static final long MEASUREMENT_INTERVAL_MILLIS = 50;

  private final EventExecutor loop;
  private final Clock clock;
  private final WaitMeter waits;

  private EventLoopMonitor(EventExecutor loop, Clock clock, WaitMeter waits) {
    this.loop = loop;
    this.clock = clock;
    this.waits = waits;
  }

  /** Measures one of the loops from now on, until it is shut down. */
  public static void start(EventExecutorGroup loops, Clock clock, WaitMeter waits) {
    new EventLoopMonitor(loops.next(), clock, waits).scheduleMeasurement();
  }

  private void scheduleMeasurement() {
    long dueAt = clock.millis() + MEASUREMENT_INTERVAL_MILLIS;
    loop.schedule(() -> measure(dueAt), MEASUREMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void measure(long dueAt) {
    long now = clock.millis();
    int waiting = loop instanceof SingleThreadEventExecutor single ? single.pendingTasks() : 0;
    waits.recordWait(Math.max(0, now - dueAt), waiting, now);
    if (!loop.isShuttingDown()) {
      scheduleMeasurement();
    }
  }
}
