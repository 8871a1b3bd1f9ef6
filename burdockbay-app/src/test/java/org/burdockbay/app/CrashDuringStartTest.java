package org.burdockbay.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** A host process that repeatedly crashes in native code during startup. */
public class CrashDuringStartTest {

  /** Delays from the start of the process to the crash; startup takes about a second. */
  private static final List<Integer> CRASH_DELAYS_MILLIS = List.of(150, 300, 500, 700, 900, 1_100);

  /** Exit codes after SIGILL: before the JVM installs its signal handlers (132) and after (134). */
  private static final Set<Integer> CRASH_EXIT_CODES = Set.of(132, 134);

  private static final int TASKS_PER_JOB = 2;
  private static final int RUN_MILLIS = 400;
  private TestCluster cluster;

  /** Starts the hosts. */
  @BeforeClass
  public void startCluster() throws Exception {
    cluster = new TestCluster();
  }

  /** Stops the hosts and the runners. */
  @AfterClass(alwaysRun = true)
  public void stopCluster() throws Exception {
    if (cluster != null) {
      cluster.close();
    }
  }

  /**
   * Jobs submitted at another host during the crashes must complete, with no task started twice.
   * The crashed host must become ready again, with the same voters and configuration version.
   */
  @Test
  public void losesNoSubmissionWhenHostCrashesRepeatedlyDuringStart() throws Exception {
    final String voters = voters();
    final int startedBefore = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers = new ArrayList<>();
    cluster.kill("c");
    for (int delayMillis : CRASH_DELAYS_MILLIS) {
      answers.add(cluster.submit("a", "booking", "crash-" + delayMillis, RUN_MILLIS));
      cluster.start("c");
      Thread.sleep(delayMillis);
      cluster.sendSignal("c", "ILL");
      int code = cluster.awaitExit("c");
      assertTrue(CRASH_EXIT_CODES.contains(code), "exit code " + code);
    }
    cluster.start("c");
    cluster.await("c is ready", () -> cluster.get("c", "/ready", "").code() == 200);
    for (CompletableFuture<TestCluster.Answer> answer : answers) {
      TestCluster.Answer received = answer.join();
      assertEquals(received.code(), 200, received.body().toString());
      assertEquals(received.body().path("answers").size(), TASKS_PER_JOB);
    }
    assertEquals(
        cluster.startedTasks(),
        startedBefore + CRASH_DELAYS_MILLIS.size() * TASKS_PER_JOB,
        "a task ran twice");
    assertEquals(voters(), voters);
    assertEquals(cluster.statusReport("c").path("self").path("configurationVersion").asLong(), 1);
  }

  private String voters() {
    return cluster.statusReport("a").path("agreement").path("voters").toString();
  }
}
