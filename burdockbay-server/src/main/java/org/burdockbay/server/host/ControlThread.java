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
  public static final long TICK_MILLIS = 25;

  /** Longest time for tasks before the next flush, in milliseconds; a small part of a heartbeat. */
  private static final long SLICE_MILLIS = 25;

  private final Clock clock;
  private final EventLog log;
  private final WaitMeter controlWaits;
  private final WaitMeter workWaits;
  private final AtomicLong lastNumber = new AtomicLong();
  private final BlockingQueue<Task> queue = new PriorityBlockingQueue<>();
  private final Queue<Runnable> deferred = new ConcurrentLinkedQueue<>();
  private final Thread thread;
  private volatile boolean stopped;
  private Runnable tick = () -> {};
  private Runnable flush = () -> {};

  /** Creates the thread; {@link #start} runs it. */
  public ControlThread(Clock clock, EventLog log, MetricRegistry registry) {
    this.clock = clock;
    this.log = log;
    this.controlWaits = new WaitMeter(registry, "control.wait", log, "control-late");
    this.workWaits = new WaitMeter(registry, "work.wait", log, "work-late");
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
    add(Lane.CONTROL, task);
  }

  /**
   * Runs a control task on the thread at its next tick or before its next queued task.
   *
   * <p>It doesn't wake the thread up, because in a large fleet a wake-up costs more than handling
   * most messages.
   */
  public void executeDeferred(Runnable task) {
    deferred.add(task);
  }

  /** Runs a task of the work on the thread, once no control task waits. */
  public void executeWork(Runnable task) {
    add(Lane.WORK, task);
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

  private void add(Lane lane, Runnable body) {
    queue.add(new Task(lane, lastNumber.incrementAndGet(), clock.millis(), body));
  }

  private void run() {
    long nextTick = clock.millis();
    while (!stopped) {
      long now = clock.millis();
      if (now >= nextTick) {
        runWaitingControl();
        guarded(tick);
        nextTick = now + TICK_MILLIS;
      }
      runSlice(nextTick - now);
      guarded(flush);
    }
  }

  /**
   * Runs the control tasks that wait, for a slice at most.
   *
   * <p>A tick judges who is silent. Where this thread was late, what the others have sent is here
   * and not handled yet; judged before it, the delay would count as theirs.
   */
  private void runWaitingControl() {
    runDeferred();
    long end = clock.millis() + SLICE_MILLIS;
    Task first = queue.peek();
    while (first != null && first.lane == Lane.CONTROL && clock.millis() < end) {
      // No other thread takes tasks, and one added meanwhile that goes first is of control too.
      begin(queue.remove());
      first = queue.peek();
    }
  }

  private void runSlice(long waitMillis) {
    Optional<Task> next = await(waitMillis);
    long end = clock.millis() + SLICE_MILLIS;
    while (next.isPresent()) {
      begin(next.get());
      next = clock.millis() < end ? Optional.ofNullable(queue.poll()) : Optional.empty();
    }
  }

  private Optional<Task> await(long waitMillis) {
    try {
      return Optional.ofNullable(queue.poll(Math.max(0, waitMillis), TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      stopped = true;
      Thread.currentThread().interrupt();
      return Optional.empty();
    }
  }

  private void runDeferred() {
    for (Runnable task = deferred.poll(); task != null; task = deferred.poll()) {
      guarded(task);
    }
  }

  private void begin(Task task) {
    runDeferred();
    long now = clock.millis();
    WaitMeter waits = task.lane == Lane.CONTROL ? controlWaits : workWaits;
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

  /** The lanes, the first one first. */
  private enum Lane {
    CONTROL,
    WORK
  }

  private record Task(Lane lane, long number, long queuedAt, Runnable body)
      implements Comparable<Task> {

    private static final Comparator<Task> ORDER =
        Comparator.comparing(Task::lane).thenComparingLong(Task::number);

    @Override
    public int compareTo(Task other) {
      return ORDER.compare(this, other);
    }
  }
}
