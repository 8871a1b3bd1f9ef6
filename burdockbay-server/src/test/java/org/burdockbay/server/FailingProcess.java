package org.burdockbay.server;

import com.codahale.metrics.MetricRegistry;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.host.ControlThread;
import org.burdockbay.server.logging.EventLog;

/** A process whose control thread exhausts the heap. */
final class FailingProcess {

  private FailingProcess() {}

  /** Starts a guarded control thread, and waits for the end of the process. */
  public static void main(String[] arguments) throws InterruptedException {
    EventLog log = new EventLog("test");
    ControlThread control = new ControlThread(Clock.monotonic(), log, new MetricRegistry());
    ProcessGuard guard = new ProcessGuard(log);
    guard.watchProgress("control", control::progress);
    guard.start();
    control.start(() -> {}, () -> {});
    control.execute(
        () -> {
          long[][] blocks = new long[Integer.MAX_VALUE / 8][];
          throw new IllegalStateException("the heap holds " + blocks.length + " references");
        });
    Thread.sleep(Long.MAX_VALUE);
  }
}
