package org.burdockbay.app;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Failures of whole processes of the real program. */
public class ProcessFailureTest {

  private static final int JOBS = 6;
  private static final int TASKS_PER_JOB = 2;
  private TestCluster cluster;

  /** Starts the hosts once for all tests. */
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

  /** Brings every host back, also after a test that failed half way. */
  @AfterMethod(alwaysRun = true)
  public void restoreAllHosts() throws Exception {
    cluster.restoreAll();
  }

  /**
   * The host that dispatches a domain loses power while bookings run. The callers wait at the other
   * host of the domain; each must get its whole answer, and no booking may be made twice.
   */
  @Test
  public void finishesBookingsWhenTheDispatcherIsKilled() throws Exception {
    String dispatcher = awaitDispatcher();
    final int before = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers =
        submitAll(otherNorthHost(dispatcher), "kill", 1_500);
    cluster.await("tasks run", () -> cluster.startedTasks() >= before + JOBS * TASKS_PER_JOB);
    cluster.kill(dispatcher);
    assertAllAnswered(answers);
    assertEquals(cluster.startedTasks(), before + JOBS * TASKS_PER_JOB);
    cluster.start(dispatcher);
    awaitReady(dispatcher);
  }

  /**
   * The dispatching host freezes for longer than its peers wait, another one takes over, and the
   * first comes back and goes on where it was. Nothing may be booked twice by the two.
   */
  @Test
  public void finishesBookingsWhenTheDispatcherIsPausedAndResumed() throws Exception {
    String dispatcher = awaitDispatcher();
    final int before = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers =
        submitAll(otherNorthHost(dispatcher), "freeze", 1_500);
    cluster.await("tasks run", () -> cluster.startedTasks() >= before + JOBS * TASKS_PER_JOB);
    cluster.sendSignal(dispatcher, "STOP");
    assertAllAnswered(answers);
    cluster.sendSignal(dispatcher, "CONT");
    assertAllAnswered(submitAll(otherNorthHost(dispatcher), "freeze", 1_500));
    assertEquals(cluster.startedTasks(), before + JOBS * TASKS_PER_JOB);
    awaitReady(dispatcher);
  }

  /**
   * A host is stopped as planned while callers wait at it for running bookings. It must answer them
   * all before it exits with 0.
   */
  @Test
  public void answersAllCallersBeforePlannedStop() throws Exception {
    String dispatcher = awaitDispatcher();
    final int before = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers = submitAll(dispatcher, "stop", 1_500);
    cluster.await("tasks run", () -> cluster.startedTasks() >= before + JOBS * TASKS_PER_JOB);
    cluster.sendSignal(dispatcher, "TERM");
    assertAllAnswered(answers);
    assertEquals(cluster.awaitExit(dispatcher), 0);
    assertEquals(cluster.startedTasks(), before + JOBS * TASKS_PER_JOB);
    cluster.start(dispatcher);
    awaitReady(dispatcher);
  }

  /**
   * A host's disk is lost and the host comes back with an empty one. It must become a voter again
   * under a new identity, without an operator, and the configuration must be in force on it.
   */
  @Test
  public void readmitsHostWithLostDiskAsNewVoter() throws Exception {
    cluster.kill("c");
    cluster.deleteDataFolder("c");
    cluster.start("c");
    awaitReady("c");
    cluster.await(
        "c votes under a new incarnation",
        () -> {
          String voters = cluster.statusReport("a").path("agreement").path("voters").toString();
          return voters.contains("\"c#") && !voters.contains("\"c#1\"");
        });
    assertEquals(cluster.statusReport("c").path("self").path("configurationVersion").asLong(), 1);
  }

  private String awaitDispatcher() throws Exception {
    cluster.await("domain north has a dispatcher", () -> !cluster.northDispatcher().isEmpty());
    String dispatcher = cluster.northDispatcher();
    cluster.await(
        "the dispatcher guards",
        () -> cluster.statusReport(dispatcher).path("dispatch").path("guarding").asBoolean());
    return dispatcher;
  }

  private static String otherNorthHost(String host) {
    return host.equals("a") ? "b" : "a";
  }

  private List<CompletableFuture<TestCluster.Answer>> submitAll(
      String host, String name, int runMillis) {
    List<CompletableFuture<TestCluster.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      answers.add(cluster.submit(host, "booking", name + "-" + i, runMillis));
    }
    return answers;
  }

  private static void assertAllAnswered(List<CompletableFuture<TestCluster.Answer>> answers) {
    for (CompletableFuture<TestCluster.Answer> answer : answers) {
      TestCluster.Answer got = answer.join();
      assertEquals(got.code(), 200, got.body().toString());
      assertEquals(got.body().path("answers").size(), TASKS_PER_JOB);
    }
  }

  private void awaitReady(String host) throws Exception {
    cluster.await(host + " is ready", () -> cluster.get(host, "/ready", "").code() == 200);
    // A host that has just started waits until it has heard of the runners and of every domain.
    cluster.await(
        host + " hears the others", () -> cluster.statusReport(host).path("live").size() == 2);
  }
}
