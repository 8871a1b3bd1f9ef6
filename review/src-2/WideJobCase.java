import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** One job that can never be done has very many tasks; is any other request served afterwards? */
final class WideJobCase {

  private static final int WIDE_COUNT = 100_000;
  private static final int NORMAL_COUNT = 8;
  private static final int STEPS = 10;
  private static final long DEADLINE_MILLIS = 1_500;
  private static final long RESEND_INTERVAL_MILLIS = 1_300;
  private static final int ROUNDS = 4;
  private static final int JOBS_PER_ROUND = 6;

  static int run(Path record, boolean trouble) throws Exception {
    try (Harness fleet = new Harness(record, 3, 3)) {
      fleet.startAll();
      fleet.startRunners(6, "desk", 16_000, true);
      if (!fleet.configure(Harness.configuration(1, "q", "desk", 1_500), 20_000)
          || !fleet.awaitReady(20_000)) {
        return 2;
      }
      Thread.sleep(3_000);
      submitWideJob(fleet, trouble ? WIDE_COUNT : NORMAL_COUNT);
      Thread.sleep(5_000);
      for (Harness.Node front : fleet.fronts()) {
        fleet.record(
            front.name
                + ": process alive "
                + front.process.isAlive()
                + ", GET /-/ready is 200: "
                + front.isReady());
      }
      int served = 0;
      int answered = 0;
      for (int round = 0; round < ROUNDS; round++) {
        for (Harness.Reply reply : submitNormalJobs(fleet, round)) {
          served += reply.body().contains("completed") ? 1 : 0;
          answered += reply.status() != 0 ? 1 : 0;
        }
        Thread.sleep(2_000);
      }
      fleet.record(
          "of " + ROUNDS * JOBS_PER_ROUND + " other requests " + answered + " were answered and "
              + served + " served");
      return served == 0 ? 1 : 0;
    }
  }

  /** Sends the job, and again to another node after no response, as clients do. */
  private static void submitWideJob(Harness fleet, int count) throws InterruptedException {
    List<String> steps = new ArrayList<>();
    for (int i = 0; i < STEPS; i++) {
      steps.add("{\"count\":%d,\"cpu\":64000,\"estimated_ms\":100}".formatted(count));
    }
    String body =
        "{\"best_effort\":true,\"specification\":\"100 64000\",\"steps\":["
            + String.join(",", steps)
            + "]}";
    for (Harness.Node front : fleet.fronts()) {
      Harness.Reply reply = fleet.submit(front, "q", "00000000000b0000", body, DEADLINE_MILLIS);
      if (reply.status() != 0 && reply.status() != 502 && reply.status() != 504) {
        return;
      }
      Thread.sleep(RESEND_INTERVAL_MILLIS);
    }
  }

  private static List<Harness.Reply> submitNormalJobs(Harness fleet, int round) throws Exception {
    ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
    List<Future<Harness.Reply>> replies = new ArrayList<>();
    for (int i = 0; i < JOBS_PER_ROUND; i++) {
      Harness.Node front = fleet.fronts().get(i % fleet.fronts().size());
      String id = "%016x".formatted(0xc0000L + 16 * round + i);
      String body =
          "{\"best_effort\":true,\"specification\":\"100 1000\",\"steps\":[{\"count\":2,"
              + "\"cpu\":1000,\"requested_memory_mb\":64,\"estimated_ms\":100}]}";
      replies.add(clients.submit(() -> fleet.submit(front, "q", id, body, DEADLINE_MILLIS)));
    }
    List<Harness.Reply> results = new ArrayList<>();
    for (Future<Harness.Reply> reply : replies) {
      results.add(reply.get());
    }
    return results;
  }
}
