import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** A client cancels a job while its first step works; do tasks of later steps still start? */
final class CancelCase {

  private static final long CANCEL_MILLIS = 3_000;
  private static final int STEPS = 7;
  private static final int TASK_MILLIS = 1_000;
  private static final long DEADLINE_MILLIS = 12_000;

  static int run(Path record, boolean trouble) throws Exception {
    try (Harness fleet = new Harness(record, 3, 3)) {
      fleet.startAll();
      fleet.startRunners(6, "desk", 16_000, true);
      if (!fleet.configure(Harness.configuration(1, "q", "desk", 12_000), 20_000)
          || !fleet.awaitReady(20_000)) {
        return 2;
      }
      Thread.sleep(4_000);
      StringBuilder body =
          new StringBuilder("{\"best_effort\":true,\"specification\":\"" + TASK_MILLIS
              + " 1000\",\"steps\":[");
      for (int i = 0; i < STEPS; i++) {
        body.append(i == 0 ? "" : ",")
            .append("{\"count\":2,\"cpu\":1000,\"requested_memory_mb\":64,\"estimated_ms\":")
            .append(TASK_MILLIS)
            .append(i == 0 ? "" : ",\"dependencies\":[" + (i - 1) + "]")
            .append("}");
      }
      body.append("]}");
      String id = "5c0e7a21d94b36f8";
      ExecutorService client = Executors.newVirtualThreadPerTaskExecutor();
      Future<Harness.Reply> answer =
          client.submit(
              () -> fleet.submit(fleet.fronts().get(0), "q", id, body.toString(), DEADLINE_MILLIS));
      Thread.sleep(500);
      if (fleet.runs(id).isEmpty()) {
        return 2;
      }
      long acknowledgedAt = Long.MAX_VALUE;
      if (trouble) {
        String address = fleet.fronts().get(0).frontend();
        Harness.Reply reply = fleet.call("DELETE", address, "/q/" + id, 2_000L, null, 2_000);
        fleet.record("client: DELETE /q/" + id + ": " + reply);
        boolean acknowledged = reply.status() / 100 == 2 || reply.status() == 410;
        if (!acknowledged) {
          return 0;
        }
        acknowledgedAt = Harness.now();
      }
      Harness.Reply outcome = answer.get();
      List<Harness.Run> runs = fleet.runs(id);
      runs.forEach(run -> fleet.record("run: " + run));
      final long limit = trouble ? acknowledgedAt + CANCEL_MILLIS : Long.MAX_VALUE;
      long late = runs.stream().filter(run -> run.begunAt > limit).count();
      fleet.record("starts later than cancel_ms after the cancel's ack: " + late);
      if (!trouble && !outcome.body().contains("completed")) {
        return 2;
      }
      return late > 0 ? 1 : 0;
    }
  }
}
