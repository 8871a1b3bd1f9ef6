import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * A client submits a job of short steps and cancels it while its first step runs. Arguments: the
 * file of the record, and whether the job is cancelled.
 */
public final class CancelCase {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/",\
      "kind":"unsafe","timeout_ms":12000,"target_latency_ms":60,"priority":0,"service":"huvo11a",\
      "max_attempts":4,"stretch":1.6}],"services":[{"name":"huvo11a","health_path":"/health",\
      "max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],\
      "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,\
      "idle_timeout_ms":15000}}""";

  private static final String QUEUE_HOST = "nony24.example";
  private static final String JOB = "5c0e7a21d94b36f8";
  private static final int STEPS = 9;
  private static final int STEP_MILLIS = 800;
  private static final int PATIENCE_MILLIS = 12_000;
  private static final int CANCEL_MILLIS = 3_000;
  private static final int STOP_TIMEOUT_MILLIS = 50;

  private CancelCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean cancels = Boolean.parseBoolean(arguments[1]);
    int exit = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
      exit = play(fleet, cancels);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int play(Fleet fleet, boolean cancels) throws Exception {
    fleet.startAll();
    fleet.putConfiguration(CONFIGURATION, 20_000);
    try (Runners runners = new Runners(fleet, "huvo11a", 6)) {
      for (Fleet.Host host : fleet.entryHosts()) {
        fleet.awaitReady(host, 20_000);
      }
      Thread.sleep(6_000);
      Fleet.Host first = fleet.entryHosts().get(0);
      Fleet.Host second = fleet.entryHosts().get(1);
      CompletableFuture<Fleet.Response> outcome =
          CompletableFuture.supplyAsync(() -> post(fleet, first));
      Thread.sleep(500);
      if (runners.runs(JOB).isEmpty()) {
        fleet.log("check", "the job has not begun; answer " + outcome.getNow(null));
        return 2;
      }
      long ackedAt = Long.MAX_VALUE;
      if (cancels) {
        fleet.log("client", "DELETE " + JOB + " at " + second.name());
        Fleet.Response response =
            Fleet.call(
                fleet.callerAddress(second), "DELETE", "/lohu930/" + JOB, QUEUE_HOST, "", "", 2_000);
        fleet.log("client", "the answer to DELETE is " + response.status());
        if (response.status() != 410 && response.status() / 100 != 2) {
          return 2;
        }
        ackedAt = fleet.millis();
      }
      Fleet.Response response = outcome.join();
      Thread.sleep(1_500);
      return check(fleet, runners.runs(JOB), ackedAt, response);
    }
  }

  private static Fleet.Response post(Fleet fleet, Fleet.Host host) {
    StringBuilder steps = new StringBuilder();
    for (int step = 0; step < STEPS; step++) {
      steps.append(step == 0 ? "" : ",");
      steps.append("{\"count\":2,\"cpu\":14000,\"requested_memory_mb\":64,\"estimated_ms\":");
      steps.append(STEP_MILLIS);
      steps.append(step == 0 ? "}" : ",\"dependencies\":[" + (step - 1) + "]}");
    }
    String job =
        "{\"specification\":\"" + STEP_MILLIS + "\",\"best_effort\":true,\"steps\":[" + steps + "]}";
    fleet.log("client", "POST " + JOB + " at " + host.name() + ": " + job);
    Fleet.Response response =
        Fleet.call(
            fleet.callerAddress(host),
            "POST",
            "/lohu930/" + JOB,
            QUEUE_HOST,
            "Deadline-Ms: " + PATIENCE_MILLIS + "\r\n",
            job,
            PATIENCE_MILLIS);
    fleet.log("client", "the answer to POST is " + response.status() + " " + response.body());
    return response;
  }

  private static int check(
      Fleet fleet, List<Runners.Run> runs, long ackedAt, Fleet.Response response) {
    long late =
        ackedAt == Long.MAX_VALUE
            ? 0
            : runs.stream().filter(run -> run.begunAt > ackedAt + CANCEL_MILLIS).count();
    long ranOn =
        ackedAt == Long.MAX_VALUE
            ? 0
            : runs.stream()
                .filter(run -> run.endsAt > ackedAt + CANCEL_MILLIS + STOP_TIMEOUT_MILLIS)
                .count();
    fleet.log(
        "check",
        "%d runs; begun later than %d ms after the cancelling was acknowledged: %d; at work later"
                .formatted(runs.size(), CANCEL_MILLIS, late)
            + " than %d ms after it: %d; POST answered %d"
                .formatted(CANCEL_MILLIS + STOP_TIMEOUT_MILLIS, ranOn, response.status()));
    if (late + ranOn > 0) {
      fleet.log("check", "UNASKED is broken");
      return 1;
    }
    if (ackedAt == Long.MAX_VALUE && !response.body().contains("completed")) {
      return 2;
    }
    fleet.log("check", "the rule held");
    return 0;
  }
}
