package org.burdockbay.app;

import static org.testng.Assert.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Failures of host processes, tested with the real program. */
public class ProcessFailureTest {

  private static final int JOBS = 6;
  private static final int TASKS_PER_JOB = 2;
  private TestCluster cluster;

  /** Starts the hosts once for all tests. */
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

  /** Resumes or restarts every host, also after a failed test. */
  @AfterMethod(alwaysRun = true)
  public void restoreAllHosts() throws Exception {
    cluster.restoreAll();
  }

  /**
   * The dispatcher of a domain is killed, as by a power loss, while at-most-once jobs run. Callers
   * connected to the other host of the domain must receive complete answers, and no task may start
   * twice.
   */
  @Test
  public void finishesBookingsWhenTheDispatcherIsKilled() throws Exception {
    String dispatcher = awaitDispatcher();
    final int startedBefore = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers =
        submitAll(otherNorthHost(dispatcher), "kill", 1_500);
    cluster.await(
        "tasks run", () -> cluster.startedTasks() >= startedBefore + JOBS * TASKS_PER_JOB);
    cluster.kill(dispatcher);
    assertAllAnswered(answers);
    assertEquals(cluster.startedTasks(), startedBefore + JOBS * TASKS_PER_JOB);
    cluster.start(dispatcher);
    awaitReady(dispatcher);
  }

  /**
   * The dispatcher's process is paused until another host has taken over and answered, then resumes
   * with its old state. Neither dispatcher may start a task that the other has started.
   */
  @Test
  public void finishesBookingsWhenTheDispatcherIsPausedAndResumed() throws Exception {
    String dispatcher = awaitDispatcher();
    final int startedBefore = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers =
        submitAll(otherNorthHost(dispatcher), "freeze", 1_500);
    cluster.await(
        "tasks run", () -> cluster.startedTasks() >= startedBefore + JOBS * TASKS_PER_JOB);
    cluster.sendSignal(dispatcher, "STOP");
    assertAllAnswered(answers);
    cluster.sendSignal(dispatcher, "CONT");
    assertAllAnswered(submitAll(otherNorthHost(dispatcher), "freeze", 1_500));
    assertEquals(cluster.startedTasks(), startedBefore + JOBS * TASKS_PER_JOB);
    awaitReady(dispatcher);
  }

  /**
   * A host receives SIGTERM while callers wait for running jobs. It must answer all of them before
   * it exits with code 0.
   */
  @Test
  public void answersAllCallersBeforePlannedStop() throws Exception {
    String dispatcher = awaitDispatcher();
    final int startedBefore = cluster.startedTasks();
    List<CompletableFuture<TestCluster.Answer>> answers = submitAll(dispatcher, "stop", 1_500);
    cluster.await(
        "tasks run", () -> cluster.startedTasks() >= startedBefore + JOBS * TASKS_PER_JOB);
    cluster.sendSignal(dispatcher, "TERM");
    assertAllAnswered(answers);
    assertEquals(cluster.awaitExit(dispatcher), 0);
    assertEquals(cluster.startedTasks(), startedBefore + JOBS * TASKS_PER_JOB);
    cluster.start(dispatcher);
    awaitReady(dispatcher);
  }

  /**
   * A voter restarts with an empty data folder after the loss of its disk. It must become a voter
   * again under a new incarnation, without operator action, and have the configuration in force.
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
    cluster.await("the dispatcher can start jobs", () -> cluster.canStartJobs(dispatcher));
    return dispatcher;
  }

  private static String otherNorthHost(String host) {
    return host.equals("a") ? "b" : "a";
  }

  private List<CompletableFuture<TestCluster.Answer>> submitAll(
      String host, String keyPrefix, int runMillis) {
    List<CompletableFuture<TestCluster.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      answers.add(cluster.submit(host, "booking", keyPrefix + "-" + i, runMillis));
    }
    return answers;
  }

  private static void assertAllAnswered(List<CompletableFuture<TestCluster.Answer>> answers) {
    for (CompletableFuture<TestCluster.Answer> answer : answers) {
      TestCluster.Answer received = answer.join();
      assertEquals(received.code(), 200, received.body().toString());
      assertEquals(received.body().path("answers").size(), TASKS_PER_JOB);
    }
  }

  private void awaitReady(String host) throws Exception {
    cluster.await(host + " is ready", () -> cluster.get(host, "/ready", "").code() == 200);
    // A newly started host first waits for contact from the runners and from every domain.
    cluster.await(
        host + " lists both other hosts as live",
        () -> cluster.statusReport(host).path("live").size() == 2);
  }
}
