package org.burdockbay.server;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.IntConsumer;
import java.util.function.LongSupplier;
import org.burdockbay.server.logging.EventLog;

/**
 * Ends the process when a thread that owns state has ended or is stuck.
 *
 * <p>An {@link Error} may leave the state of its thread inconsistent, so the state must not be used
 * any more. A process without such a thread would accept requests and answer none of them; one that
 * has ended can be restarted.
 */
public final class ProcessGuard {

  /** Exit code after an error or exception that ended a thread. */
  public static final int EXIT_THREAD_ENDED = 70;

  /** Exit code after a thread was stuck. */
  public static final int EXIT_THREAD_STUCK = 71;

  /** Time between two checks of each thread, in milliseconds. */
  static final long CHECK_INTERVAL_MILLIS = 500;

  /**
   * Number of intervals without progress after which a thread is stuck. Intervals are counted, not
   * measured, so a process that was paused has none to make up for.
   */
  static final int STUCK_INTERVALS = 20;

  /**
   * The same for an executor, whose probes wait behind other tasks: a backlog isn't a stuck thread.
   */
  static final int STUCK_EXECUTOR_INTERVALS = 60;

  private static final int MAX_CAUSE_CHARS = 2_000;

  private static final byte[] FALLBACK_LINE =
      "level=ERROR event=process-ended reason=thread-failed-without-memory-for-a-message\n"
          .getBytes(StandardCharsets.US_ASCII);

  private final EventLog log;
  private final IntConsumer exit;
  private final List<Watch> watches = new CopyOnWriteArrayList<>();
  private final OutputStream output;
  private volatile boolean stopped;
  private volatile int exitCode;

  /** Creates a guard that ends the process without running its shutdown hooks. */
  public ProcessGuard(EventLog log) {
    this(log, Runtime.getRuntime()::halt, new FileOutputStream(FileDescriptor.out));
  }

  /**
   * Creates a guard.
   *
   * @param exit ends the process with an exit code
   * @param output receives the line that says why the process ends
   */
  ProcessGuard(EventLog log, IntConsumer exit, OutputStream output) {
    this.log = log;
    this.exit = exit;
    this.output = output;
  }

  /**
   * Watches a thread.
   *
   * @param name the name of the thread
   * @param progress a number that changes as long as the thread runs, even if it has nothing to do
   */
  public void watchProgress(String name, LongSupplier progress) {
    watches.add(new Watch(name, progress, STUCK_INTERVALS));
  }

  /**
   * Watches an event loop by tasks that it has to run.
   *
   * @param name the name of the thread, for the log
   */
  public void watchExecutor(String name, Executor executor) {
    watches.add(new Watch(name, new Probe(executor)::answers, STUCK_EXECUTOR_INTERVALS));
  }

  /** Ends the process on any uncaught exception from now on, and starts to watch the threads. */
  public void start() {
    Thread.setDefaultUncaughtExceptionHandler(this::threadEnded);
    Thread.ofPlatform().daemon().name("process-guard").start(this::run);
  }

  /** Ends the checks; the threads end in a planned stop. */
  public void stop() {
    stopped = true;
  }

  /** Handles the end of a thread by an exception that nothing has caught. */
  void threadEnded(Thread thread, Throwable cause) {
    if (cause instanceof Error || !thread.isVirtual()) {
      end(EXIT_THREAD_ENDED, thread.getName(), cause);
    } else {
      log.error("thread-failed", "thread=" + thread.getName(), cause);
    }
  }

  /** Checks the progress of each thread. */
  void check() {
    for (Watch watch : watches) {
      if (stopped) {
        return;
      }
      try {
        if (watch.isStuck()) {
          end(EXIT_THREAD_STUCK, watch.name, stackOf(watch.name));
        }
      } catch (RejectedExecutionException e) {
        end(EXIT_THREAD_ENDED, watch.name, e);
      }
    }
  }

  private void run() {
    try {
      while (!stopped) {
        Thread.sleep(CHECK_INTERVAL_MILLIS);
        if (exitCode != 0) {
          // The thread that is ending the process may be blocked in writing the line.
          exit.accept(exitCode);
        }
        checkSafely();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void checkSafely() {
    try {
      check();
    } catch (RuntimeException | OutOfMemoryError e) {
      log.error("thread-check-failed", "", e);
    }
  }

  private void end(int code, String thread, Throwable cause) {
    exitCode = code;
    try {
      String text = cause.toString().replace('\n', ' ');
      StringBuilder line =
          new StringBuilder("level=ERROR event=process-ended exit-code=")
              .append(code)
              .append(" thread=")
              .append(thread)
              .append(" cause=")
              .append(EventLog.quote(text));
      for (StackTraceElement frame : cause.getStackTrace()) {
        if (line.length() < MAX_CAUSE_CHARS) {
          line.append(" at ").append(frame);
        }
      }
      write(line.append('\n').toString().getBytes(StandardCharsets.UTF_8));
    } catch (OutOfMemoryError e) {
      write(FALLBACK_LINE);
    } finally {
      exit.accept(code);
    }
  }

  private void write(byte[] line) {
    try {
      output.write(line);
    } catch (IOException e) {
      // The process ends without a line if nothing reads its output.
    }
  }

  private static Throwable stackOf(String threadName) {
    Throwable cause = new IllegalStateException("no progress");
    Thread.getAllStackTraces().entrySet().stream()
        .filter(entry -> entry.getKey().getName().equals(threadName))
        .findFirst()
        .ifPresent(entry -> cause.setStackTrace(entry.getValue()));
    return cause;
  }

  private static final class Watch {

    private final String name;
    private final LongSupplier progress;
    private final int maxIntervals;
    private long lastProgress = -1;
    private int idleIntervals;

    Watch(String name, LongSupplier progress, int maxIntervals) {
      this.name = name;
      this.progress = progress;
      this.maxIntervals = maxIntervals;
    }

    /** Returns whether there was no progress for too many intervals, this one included. */
    boolean isStuck() {
      long current = progress.getAsLong();
      idleIntervals = current == lastProgress ? idleIntervals + 1 : 0;
      lastProgress = current;
      return idleIntervals >= maxIntervals;
    }
  }

  /** Tasks that an executor has to run, one at a time. */
  private static final class Probe {

    private final Executor executor;
    private final AtomicLong answers = new AtomicLong();
    private long sent;

    Probe(Executor executor) {
      this.executor = executor;
    }

    /** Returns the number of tasks that were run, and adds one if none is waiting. */
    long answers() {
      long answered = answers.get();
      if (answered == sent) {
        executor.execute(answers::incrementAndGet);
        sent++;
      }
      return answered;
    }
  }
}
