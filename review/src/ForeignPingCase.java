import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * While the tasks of a job run, pings of another writer arrive under the ids of the runners.
 * Arguments: the file of the record, and whether these pings are sent.
 */
public final class ForeignPingCase {

  private static final String CONFIGURATION =
      """
      {"version":1,"routes":[{"name":"r-1","host":"nony24.example","path_prefix":"/lohu930/",\
      "kind":"unsafe","timeout_ms":1500,"target_latency_ms":60,"priority":0,"service":"huvo11a",\
      "max_attempts":4,"stretch":1.6}],"services":[{"name":"huvo11a","health_path":"/health",\
      "max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":true,"standby":false}],\
      "limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,\
      "idle_timeout_ms":15000}}""";

  private static final String QUEUE_HOST = "nony24.example";
  private static final int JOBS = 5;
  private static final int TASK_MILLIS = 900;
  private static final int PATIENCE_MILLIS = 2_800;

  private ForeignPingCase() {}

  public static void main(String[] arguments) throws Exception {
    boolean disturbed = Boolean.parseBoolean(arguments[1]);
    int exit = 2;
    try (Fleet fleet = new Fleet(Path.of(arguments[0]))) {
      exit = play(fleet, disturbed);
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.exit(exit);
  }

  private static int play(Fleet fleet, boolean disturbed) throws Exception {
    fleet.startAll();
    fleet.putConfiguration(CONFIGURATION, 20_000);
    try (Runners runners = new Runners(fleet, "huvo11a", 6)) {
      for (Fleet.Host host : fleet.entryHosts()) {
        fleet.awaitReady(host, 20_000);
      }
      Thread.sleep(6_000);
      int completed = 0;
      List<List<Runners.Run>> overlaps = new ArrayList<>();
      for (int job = 0; job < JOBS; job++) {
        String id = "%016x".formatted(0x5c0e7a21d94b3600L + job);
        Fleet.Host host = fleet.entryHosts().get(job % 3);
        CompletableFuture<Fleet.Response> outcome =
            CompletableFuture.supplyAsync(() -> post(fleet, host, id));
        Thread.sleep(300);
        if (disturbed) {
          for (Runners.Run run : runners.runs(id)) {
            ping(fleet, run.runner);
          }
        }
        completed += outcome.join().body().contains("completed") ? 1 : 0;
        Thread.sleep(2_500);
        overlaps.addAll(overlaps(runners.runs(id)));
      }
      return check(fleet, overlaps, completed, disturbed);
    }
  }

  private static Fleet.Response post(Fleet fleet, Fleet.Host host, String id) {
    String job =
        "{\"specification\":\"%d\",\"best_effort\":true,\"steps\":[{\"count\":2,\"cpu\":14000,"
                .formatted(TASK_MILLIS)
            + "\"requested_memory_mb\":64,\"estimated_ms\":%d}]}".formatted(TASK_MILLIS);
    fleet.log("client", "POST " + id + " at " + host.name() + ": " + job);
    Fleet.Response response =
        Fleet.call(
            fleet.callerAddress(host),
            "POST",
            "/lohu930/" + id,
            QUEUE_HOST,
            "Deadline-Ms: " + PATIENCE_MILLIS + "\r\n",
            job,
            PATIENCE_MILLIS);
    fleet.log("client", "the answer to POST " + id + " is " + response.status() + " " + response.body());
    return response;
  }

  /** Sends a ping of another writer: its service isn't configured, and slots has another type. */
  private static void ping(Fleet fleet, String runner) {
    String body =
        """
        {"service":"lab7","address":"%s:9","zone":"nairobi-a","version":"v1","slots":"8",\
        "state":"ready","cold_remaining_ms":0,"capacity":{"cpu":32000,"requested_memory_mb":65536,\
        "gpu":0},"labels":["a","r1-1"],"clock_ms":%d,"sequence":1,"born":%d}"""
            .formatted(fleet.subnet + ".3.1", fleet.millis(), System.currentTimeMillis());
    Fleet.Host host = fleet.controlHosts().get(0);
    Fleet.Response response =
        Fleet.call(
            fleet.controlAddress(host), "PUT", "/-/instances/" + runner, "", "", body, 1_000);
    fleet.log("writer", "PUT /-/instances/" + runner + " " + body + ": " + response.status());
  }

  private static List<List<Runners.Run>> overlaps(List<Runners.Run> runs) {
    List<List<Runners.Run>> overlaps = new ArrayList<>();
    for (Runners.Run later : runs) {
      for (Runners.Run earlier : runs) {
        if (earlier != later
            && earlier.task.equals(later.task)
            && earlier.begunAt <= later.begunAt
            && earlier.endsAt > later.begunAt) {
          overlaps.add(List.of(earlier, later));
        }
      }
    }
    return overlaps;
  }

  private static int check(
      Fleet fleet, List<List<Runners.Run>> overlaps, int completed, boolean disturbed) {
    for (List<Runners.Run> pair : overlaps) {
      fleet.log("check", "at the same time: " + pair.get(0) + " and " + pair.get(1));
    }
    fleet.log(
        "check", "%d of %d jobs completed, %d overlaps".formatted(completed, JOBS, overlaps.size()));
    if (!overlaps.isEmpty()) {
      fleet.log("check", "TWICE is broken");
      return 1;
    }
    if (!disturbed && completed < JOBS) {
      return 2;
    }
    fleet.log("check", "the rule held");
    return 0;
  }
}
