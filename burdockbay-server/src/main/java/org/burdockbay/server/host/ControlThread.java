package org.burdockbay.server.host;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.WaitMeter;

/**
 * The one thread that owns all control state.
 *
 * <p>Other threads hand it tasks. It runs what has queued up as one batch and then flushes, so that
 * proposals that arrive together share a message and a sync.
 */
public final class ControlThread implements AutoCloseable {

  /** Time between two ticks, in milliseconds. */
  public static final long TICK_MILLIS = 25;

  private static final int BATCH = 1_000;

  private final Clock clock;
  private final EventLog log;
  private final WaitMeter waits;
  private final BlockingQueue<Task> queue = new LinkedBlockingQueue<>();
  private final Thread thread;
  private volatile boolean stopped;
  private Runnable tick = () -> {};
  private Runnable flush = () -> {};

  /** Creates the thread; {@link #start} runs it. */
  public ControlThread(Clock clock, EventLog log, MetricRegistry registry) {
    this.clock = clock;
    this.log = log;
    this.waits = new WaitMeter(registry, "control.wait", log, "control-late");
    this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
  }

  /** Starts the thread with what it does at each tick and after each batch. */
  public void start(Runnable onTick, Runnable afterBatch) {
    tick = onTick;
    flush = afterBatch;
    thread.start();
  }

  /** Runs a task on the thread, later. */
  public void execute(Runnable task) {
    queue.add(new Task(task, clock.millis()));
  }

  /** Returns the number of tasks that wait. */
  public int backlog() {
    return queue.size();
  }

  @Override
  public void close() {
    stopped = true;
    thread.interrupt();
    try {
      thread.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    long nextTick = clock.millis();
    List<Task> batch = new ArrayList<>();
    while (!stopped) {
      long now = clock.millis();
      if (now >= nextTick) {
        guarded(tick);
        nextTick = now + TICK_MILLIS;
      }
      collect(batch, nextTick - now);
      batch.forEach(this::begin);
      batch.clear();
      guarded(flush);
    }
  }

  private void collect(List<Task> batch, long waitMillis) {
    try {
      Task first = queue.poll(Math.max(0, waitMillis), TimeUnit.MILLISECONDS);
      if (first != null) {
        batch.add(first);
        queue.drainTo(batch, BATCH);
      }
    } catch (InterruptedException e) {
      stopped = true;
      Thread.currentThread().interrupt();
    }
  }

  private void begin(Task task) {
    long now = clock.millis();
    waits.waited(now - task.queuedAt, queue.size(), now);
    guarded(task.body);
  }

  /** Runs a task; a defect in one event must not end the host's whole control. */
  private void guarded(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("control-defect", "", e);
    }
  }

  private record Task(Runnable body, long queuedAt) {}
}
