package org.burdockbay.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The evacuation of a failure domain, tested with the real program and its commands. */
public class EvacuationTest {

  private static final int JOBS = 6;
  private static final int RUN_MILLIS = 50;
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

  /** Guards against tasks that start in an evacuated domain, and callers that aren't served. */
  @Test
  public void servesCallersOfEvacuatedDomainElsewhere() throws Exception {
    assertEquals(cluster.runCommand("c", "evacuate", "north"), 0);
    awaitEvacuations("[\"north\"]");
    final int startedBefore = cluster.startedTasksIn("north");
    assertAllServed("evacuated");
    cluster.kill("a");
    cluster.start("a");
    cluster.await("a is ready", () -> cluster.get("a", "/ready", "").code() == 200);
    awaitEvacuations("[\"north\"]");
    assertAllServed("restarted");
    assertEquals(cluster.startedTasksIn("north"), startedBefore);
    assertEquals(cluster.runCommand("a", "restore", "north"), 0);
    awaitEvacuations("[]");
    assertAllServed("restored");
    assertTrue(cluster.startedTasksIn("north") > startedBefore);
  }

  /** Guards against an order for a domain that doesn't exist and is accepted without effect. */
  @Test
  public void rejectsUnknownDomains() throws Exception {
    assertTrue(cluster.runCommand("c", "evacuate", "nowhere") != 0);
  }

  private void awaitEvacuations(String domains) throws Exception {
    for (String host : List.of("a", "b", "c")) {
      cluster.await(
          host + " has evacuated " + domains,
          () ->
              cluster
                  .statusReport(host)
                  .path("self")
                  .path("evacuations")
                  .path("domains")
                  .toString()
                  .equals(domains));
    }
  }

  private void assertAllServed(String keyPrefix) {
    List<CompletableFuture<TestCluster.Answer>> answers = new ArrayList<>();
    for (int i = 0; i < JOBS; i++) {
      String job = i % 2 == 0 ? "booking" : "check";
      answers.add(cluster.submit("a", job, keyPrefix + "-" + i, RUN_MILLIS));
    }
    for (CompletableFuture<TestCluster.Answer> answer : answers) {
      assertEquals(answer.join().code(), 200, answer.join().body().toString());
    }
  }
}
