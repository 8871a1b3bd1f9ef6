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

/** A process that crashes in native code while it starts, several times in a row. */
public class CrashDuringStartTest {

  /** Times after the beginning of the process; a start takes about a second. */
  private static final List<Integer> CRASH_DELAYS_MILLIS = List.of(150, 300, 500, 700, 900, 1_100);

  /** Exit codes after a fatal signal, before the runtime handles signals and since then. */
  private static final Set<Integer> CRASH_EXIT_CODES = Set.of(132, 134);

  private static final int TASKS_PER_JOB = 2;
  private static final int RUN_MILLIS = 400;
  private TestCluster cluster;

  /** Starts the hosts. */
  @BeforeClass
  public void startCluster() throws Exception {
    cluster = new TestCluster();
  }

  /** Stops everything. */
  @AfterClass(alwaysRun = true)
  public void stopCluster() throws Exception {
    if (cluster != null) {
      cluster.close();
    }
  }

  /**
   * Callers of other hosts must lose nothing, and the host must come back with what it promised.
   */
  @Test
  public void losesNoSubmissionWhenHostCrashesRepeatedlyDuringStart() throws Exception {
    final String voters = voters();
    final int before = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers = new ArrayList<>();
    cluster.kill("c");
    for (int moment : CRASH_DELAYS_MILLIS) {
      answers.add(cluster.submit("a", "booking", "crash-" + moment, RUN_MILLIS));
      cluster.start("c");
      Thread.sleep(moment);
      cluster.sendSignal("c", "ILL");
      int code = cluster.awaitExit("c");
      assertTrue(CRASH_EXIT_CODES.contains(code), "exit code " + code);
    }
    cluster.start("c");
    cluster.await("c is ready", () -> cluster.get("c", "/ready", "").code() == 200);
    for (CompletableFuture<TestCluster.Answer> answer : answers) {
      TestCluster.Answer got = answer.join();
      assertEquals(got.code(), 200, got.body().toString());
      assertEquals(got.body().path("answers").size(), TASKS_PER_JOB);
    }
    assertEquals(
        cluster.startedTasks(),
        before + CRASH_DELAYS_MILLIS.size() * TASKS_PER_JOB,
        "a task ran twice");
    assertEquals(voters(), voters);
    assertEquals(cluster.statusReport("c").path("self").path("configurationVersion").asLong(), 1);
  }

  private String voters() {
    return cluster.statusReport("a").path("agreement").path("voters").toString();
  }
}
