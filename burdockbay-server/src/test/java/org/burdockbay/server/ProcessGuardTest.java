package org.burdockbay.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.atomic.AtomicLong;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests when a {@link ProcessGuard} ends the process. */
public class ProcessGuardTest {

  private final List<Integer> exitCodes = new ArrayList<>();
  private final List<Runnable> probes = new ArrayList<>();
  private ByteArrayOutputStream output;
  private ProcessGuard guard;

  /** Creates a guard that records exit codes. */
  @BeforeMethod
  public void setUp() {
    exitCodes.clear();
    probes.clear();
    output = new ByteArrayOutputStream();
    guard = new ProcessGuard(new EventLog("test"), exitCodes::add, output);
  }

  /** Guards against a process that stays up without a thread that owns its state. */
  @Test
  public void endsProcessAfterUncaughtErrors() {
    guard.threadEnded(new Thread("control"), new OutOfMemoryError("test"));
    assertEquals(exitCodes, List.of(ProcessGuard.EXIT_THREAD_ENDED));
    String line = output.toString(UTF_8);
    String cause = "thread=control cause=\"java.lang.OutOfMemoryError: test\"";
    assertTrue(line.startsWith("level=ERROR event=process-ended exit-code=70 " + cause), line);
  }

  /** Guards against a real process that stays up after its control thread exhausted the heap. */
  @Test
  public void endsRealProcessWithCodeAndReason() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx72m",
                "-cp",
                System.getProperty("java.class.path"),
                FailingProcess.class.getName())
            .redirectErrorStream(true)
            .start();
    String lines = new String(process.getInputStream().readAllBytes(), UTF_8);
    assertEquals(process.waitFor(), ProcessGuard.EXIT_THREAD_ENDED, lines);
    assertTrue(lines.contains("event=process-ended exit-code=70 thread=control"), lines);
    assertTrue(lines.contains("OutOfMemoryError"), lines);
  }

  /** Guards against ending the process for a task that owns no state. */
  @Test
  public void keepsProcessAfterExceptionsOfVirtualThreads() {
    guard.threadEnded(Thread.ofVirtual().unstarted(() -> {}), new IllegalStateException("test"));
    assertEquals(exitCodes, List.of());
    guard.threadEnded(Thread.ofVirtual().unstarted(() -> {}), new StackOverflowError("test"));
    assertEquals(exitCodes, List.of(ProcessGuard.EXIT_THREAD_ENDED));
  }

  /** Guards against a process that stays up with a thread that hangs. */
  @Test
  public void endsProcessOnceThreadIsStuck() {
    guard.watchProgress("control", () -> 7);
    for (int i = 0; i < ProcessGuard.STUCK_INTERVALS; i++) {
      guard.check();
    }
    assertEquals(exitCodes, List.of());
    guard.check();
    assertEquals(exitCodes, List.of(ProcessGuard.EXIT_THREAD_STUCK));
  }

  /** Guards against a process that stays up with an event loop that hangs. */
  @Test
  public void endsProcessOnceEventLoopRunsNothing() {
    guard.watchExecutor("event-loop", probes::add);
    for (int i = 0; i < ProcessGuard.STUCK_EXECUTOR_INTERVALS; i++) {
      guard.check();
    }
    assertEquals(exitCodes, List.of());
    guard.check();
    assertEquals(exitCodes, List.of(ProcessGuard.EXIT_THREAD_STUCK));
    assertEquals(probes.size(), 1);
  }

  /** Guards against ending a process whose threads are slow, but go on. */
  @Test
  public void keepsProcessWhoseThreadsGoOn() {
    AtomicLong progress = new AtomicLong();
    guard.watchProgress("control", progress::get);
    guard.watchExecutor("event-loop", probes::add);
    for (int i = 0; i < 10 * ProcessGuard.STUCK_EXECUTOR_INTERVALS; i++) {
      guard.check();
      if (i % (ProcessGuard.STUCK_INTERVALS - 1) == 0) {
        progress.incrementAndGet();
        probes.forEach(Runnable::run);
        probes.clear();
      }
    }
    assertEquals(exitCodes, List.of());
  }

  /** Guards against an event loop that has shut down by itself. */
  @Test
  public void endsProcessOnceEventLoopAcceptsNoTasks() {
    guard.watchExecutor(
        "event-loop",
        task -> {
          throw new RejectedExecutionException("test");
        });
    guard.check();
    assertEquals(exitCodes, List.of(ProcessGuard.EXIT_THREAD_ENDED));
  }

  /** Guards against ending a process during its planned stop. */
  @Test
  public void ignoresThreadsDuringPlannedStop() {
    guard.watchProgress("control", () -> 7);
    guard.stop();
    for (int i = 0; i < 2 * ProcessGuard.STUCK_INTERVALS; i++) {
      guard.check();
    }
    assertEquals(exitCodes, List.of());
  }
}
