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
 * The single thread that owns all control state of a host.
 *
 * <p>Other threads submit tasks to one of two lanes, each of which preserves the order of its
 * tasks. Control tasks precede all work tasks, so that configuration, roles and liveness don't
 * depend on the amount of work. The thread runs queued tasks in slices and flushes after each
 * slice, so that proposals that arrive together share a message and a disk sync.
 */
public final class ControlThread implements AutoCloseable {

  /** Time between two ticks, in milliseconds. */
  public static final long TICK_INTERVAL_MILLIS = 25;

  /** Maximum time before the next flush, in milliseconds; a fraction of the heartbeat interval. */
  private static final long MAX_SLICE_MILLIS = 25;

  /** Time without progress after which the thread counts as stuck, in milliseconds. */
  private static final long STUCK_TIMEOUT_MILLIS = 1_000;

  /** Time without progress after which no tasks of other parties are queued, in milliseconds. */
  private static final long ACCEPT_TIMEOUT_MILLIS = 3_000;

  private final Clock clock;
  private final EventLog log;
  private final WaitMeter controlWaitMeter;
  private final WaitMeter workWaitMeter;
  private final AtomicLong lastSequence = new AtomicLong();
  private final BlockingQueue<Task> queue = new PriorityBlockingQueue<>();
  private final Queue<Runnable> deferredTasks = new ConcurrentLinkedQueue<>();
  private final Thread thread;
  private volatile boolean stopped;

  /** When the thread last began a task or a wait, in milliseconds. */
  private volatile long progressAt;

  private final AtomicLong progress = new AtomicLong();

  private Runnable tick = () -> {};
  private Runnable flush = () -> {};

  /** Creates the thread without starting it. */
  public ControlThread(Clock clock, EventLog log, MetricRegistry registry) {
    this.clock = clock;
    this.log = log;
    this.controlWaitMeter = new WaitMeter(registry, "control.wait", log, "control-late");
    this.workWaitMeter = new WaitMeter(registry, "work.wait", log, "work-late");
    this.thread = Thread.ofPlatform().name("control").unstarted(this::run);
  }

  /**
   * Starts the thread.
   *
   * @param onTick run at every tick
   * @param onFlush run after each slice
   */
  public void start(Runnable onTick, Runnable onFlush) {
    tick = onTick;
    flush = onFlush;
    progressAt = clock.millis();
    thread.start();
  }

  /** Queues a control task, which has to be short. */
  public void execute(Runnable task) {
    enqueue(Lane.CONTROL, task);
  }

  /**
   * Adds a control task to run at the next tick or before the next queued task.
   *
   * <p>This doesn't wake the thread up, because in a large fleet a wake-up costs more than handling
   * most messages.
   */
  public void executeDeferred(Runnable task) {
    deferredTasks.add(task);
  }

  /** Queues a work task, which runs once no control task is queued. */
  public void executeWork(Runnable task) {
    enqueue(Lane.WORK, task);
  }

  /** Returns the number of queued tasks, without deferred ones. */
  public int backlog() {
    return queue.size();
  }

  /** Returns a number that rises with each task and each wait for tasks. */
  public long progress() {
    return progress.get();
  }

  /** Returns whether the thread runs and isn't stuck in a task. */
  public boolean isResponsive() {
    return thread.isAlive() && clock.millis() - progressAt <= STUCK_TIMEOUT_MILLIS;
  }

  /**
   * Returns whether tasks of other parties may be queued; false once this thread is stuck for
   * longer than callers usually wait.
   *
   * <p>The limit is higher than that of {@link #isResponsive}: a process that was paused may
   * receive requests before this thread continues.
   */
  public boolean acceptsTasks() {
    return thread.isAlive() && clock.millis() - progressAt <= ACCEPT_TIMEOUT_MILLIS;
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

  private void enqueue(Lane lane, Runnable action) {
    queue.add(new Task(lane, lastSequence.incrementAndGet(), clock.millis(), action));
  }

  private void run() {
    long nextTick = clock.millis();
    while (!stopped) {
      long now = clock.millis();
      recordProgress(now);
      if (now >= nextTick) {
        runQueuedControlTasks();
        runSafely(tick);
        nextTick = now + TICK_INTERVAL_MILLIS;
      }
      runSlice(nextTick - now);
      runSafely(flush);
    }
  }

  private void recordProgress(long now) {
    progressAt = now;
    progress.lazySet(progress.get() + 1);
  }

  /**
   * Runs the queued control tasks, for at most one slice.
   *
   * <p>A tick checks which hosts are silent. After a delay of this thread, messages of other hosts
   * may be queued; a tick before these are handled would attribute the delay to those hosts.
   */
  private void runQueuedControlTasks() {
    runDeferred();
    long end = clock.millis() + MAX_SLICE_MILLIS;
    Task first = queue.peek();
    while (first != null && first.lane == Lane.CONTROL && clock.millis() < end) {
      // Only this thread removes tasks, and a task that overtakes this one is a control task, too.
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
    recordProgress(now);
    WaitMeter waitMeter = task.lane == Lane.CONTROL ? controlWaitMeter : workWaitMeter;
    waitMeter.recordWait(now - task.queuedAt, queue.size(), now);
    runSafely(task.action);
  }

  /**
   * Runs a task, and logs its failure so that a defect in one task can't end the thread.
   *
   * <p>An {@link Error} ends the thread, and with it the process: it may occur at any allocation
   * and leave the state inconsistent.
   */
  private void runSafely(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      log.error("control-defect", "", e);
    }
  }

  /** The lanes, in order of precedence. */
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
