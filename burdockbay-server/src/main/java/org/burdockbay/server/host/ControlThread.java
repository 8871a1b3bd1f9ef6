package org.burdockbay.server.host;

import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.PriorityBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.WaitMeter;

/**
 * The one thread that owns all control state.
 *
 * <p>Other threads hand it tasks in two lanes, each of which keeps its order. A control task goes
 * before all work, so that configuration, roles and liveness don't depend on how much work there
 * is. The thread runs what waits in slices and flushes after each one, so that proposals that
 * arrive together share a message and a sync.
 */
public final class ControlThread implements AutoCloseable {

  /** Time between two ticks, in milliseconds. */
  public static final long TICK_INTERVAL_MILLIS = 25;

  /** Longest time for tasks before the next flush, in milliseconds; a small part of a heartbeat. */
  private static final long MAX_SLICE_MILLIS = 25;

  private final Clock clock;
  private final EventLog log;
  private final WaitMeter controlWaitMeter;
  private final WaitMeter workWaitMeter;
  private final AtomicLong lastSequence = new AtomicLong();
  private final BlockingQueue<Task> queue = new PriorityBlockingQueue<>();
  private final Queue<Runnable> deferredTasks = new ConcurrentLinkedQueue<>();
  private final Thread thread;
  private volatile boolean stopped;
  private Runnable tick = () -> {};
  private Runnable flush = () -> {};

  /** Creates the thread; {@link #start} runs it. */
  public ControlThread(Clock clock, EventLog log, MetricRegistry registry) {
    this.clock = clock;
    this.log = log;
    this.controlWaitMeter = new WaitMeter(registry, "control.wait", log, "control-late");
    this.workWaitMeter = new WaitMeter(registry, "work.wait", log, "work-late");
    this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
  }

  /** Starts the thread with what it does at each tick and after each slice. */
  public void start(Runnable onTick, Runnable afterSlice) {
    tick = onTick;
    flush = afterSlice;
    thread.start();
  }

  /** Runs a control task on the thread, later; it has to be short. */
  public void execute(Runnable task) {
    enqueue(Lane.CONTROL, task);
  }

  /**
   * Runs a control task on the thread at its next tick or before its next queued task.
   *
   * <p>It doesn't wake the thread up, because in a large fleet a wake-up costs more than handling
   * most messages.
   */
  public void executeDeferred(Runnable task) {
    deferredTasks.add(task);
  }

  /** Runs a task of the work on the thread, once no control task waits. */
  public void executeWork(Runnable task) {
    enqueue(Lane.WORK, task);
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

  private void enqueue(Lane lane, Runnable body) {
    queue.add(new Task(lane, lastSequence.incrementAndGet(), clock.millis(), body));
  }

  private void run() {
    long nextTick = clock.millis();
    while (!stopped) {
      long now = clock.millis();
      if (now >= nextTick) {
        runQueuedControlTasks();
        runSafely(tick);
        nextTick = now + TICK_INTERVAL_MILLIS;
      }
      runSlice(nextTick - now);
      runSafely(flush);
    }
  }

  /**
   * Runs the control tasks that wait, for a slice at most.
   *
   * <p>A tick judges who is silent. Where this thread was late, what the others have sent is here
   * and not handled yet; judged before it, the delay would count as theirs.
   */
  private void runQueuedControlTasks() {
    runDeferred();
    long end = clock.millis() + MAX_SLICE_MILLIS;
    Task first = queue.peek();
    while (first != null && first.lane == Lane.CONTROL && clock.millis() < end) {
      // No other thread takes tasks, and one added meanwhile that goes first is of control too.
      runTask(queue.remove());
      first = queue.peek();
    }
  }

  private void runSlice(long waitMillis) {
    Optional<Task> next = awaitTask(waitMillis);
    long end = clock.millis() + MAX_SLICE_MILLIS;
    while (next.isPresent()) {
      runTask(next.get());
      next = clock.millis() < end ? Optional.ofNullable(queue.poll()) : Optional.empty();
    }
  }

  private Optional<Task> awaitTask(long waitMillis) {
    try {
      return Optional.ofNullable(queue.poll(Math.max(0, waitMillis), TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      stopped = true;
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void runDeferred() {
    for (Runnable task = deferredTasks.poll(); task != null; task = deferredTasks.poll()) {
      runSafely(task);
    }
  }

  private void runTask(Task task) {
    runDeferred();
    long now = clock.millis();
    WaitMeter waits = task.lane == Lane.CONTROL ? controlWaitMeter : workWaitMeter;
    waits.recordWait(now - task.queuedAt, queue.size(), now);
    runSafely(task.action);
  }

  /** Runs a task; a defect in one event must not end the host's whole control. */
  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("control-defect", "", e);
    }
  }

  /** The lanes, the first one first. */
  private enum Lane {
    CONTROL,
    WORK
  }

  private record Task(Lane lane, long sequence, long queuedAt, Runnable action)
      implements Comparable<Task> {

    private static final Comparator<Task> ORDER =
        Comparator.comparing(Task::lane).thenComparingLong(Task::sequence);

    @Override
    public int compareTo(Task other) {
      return ORDER.compare(this, other);
    }
  }
}
