import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** The host that dispatches is killed under load; does a start overfill a runner afterwards? */
final class TakeoverCase {

  private static final int RUNNERS = 12;
  private static final int RUNNER_CPU = 16_000;
  private static final int TASK_CPU = 12_000;
  private static final int ROUNDS = 13;

  static int run(Path record, boolean trouble) throws Exception {
    try (Harness fleet = new Harness(record, 3, 3)) {
      fleet.startAll();
      fleet.startRunners(RUNNERS, "open-desk", RUNNER_CPU, false);
      if (!fleet.configure(Harness.configuration(1, "q", "open-desk", 8_000), 20_000)
          || !fleet.awaitReady(20_000)) {
        return 2;
      }
      Thread.sleep(4_000);
      ExecutorService clients = Executors.newVirtualThreadPerTaskExecutor();
      for (int round = 0; round < ROUNDS && fleet.overfills.isEmpty(); round++) {
        Harness.Node victim = dispatcher(fleet);
        for (int i = 0; i < RUNNERS; i++) {
          String id = newId("a");
          clients.submit(() -> fleet.submit(victim, "q", id, job(3_000, 3_000), 6_000));
          // The runners' leases are then extended in turn, as under usual traffic, not all at once.
          Thread.sleep(150 / RUNNERS);
        }
        Thread.sleep(1_000 + ThreadLocalRandom.current().nextInt(150));
        if (trouble) {
          fleet.record("kill " + victim.name);
          victim.kill();
        }
        submitAtOthers(fleet, clients, victim);
        if (trouble) {
          victim.start(false);
        }
        Thread.sleep(3_500);
      }
      fleet.overfills.forEach(it -> fleet.record("over capacity: " + it));
      fleet.record("starts over capacity: " + fleet.overfills.size());
      return fleet.overfills.isEmpty() ? 0 : 1;
    }
  }

  private static void submitAtOthers(
      Harness fleet, ExecutorService clients, Harness.Node victim) throws InterruptedException {
    List<Harness.Node> others = fleet.fronts().stream().filter(it -> it != victim).toList();
    long end = Harness.now() + 1_200;
    for (int i = 0; Harness.now() < end; i++) {
      Harness.Node front = others.get(i % others.size());
      String id = newId("b");
      clients.submit(() -> fleet.submit(front, "q", id, job(300, 1_000), 1_500));
      Thread.sleep(8);
    }
  }

  /** Returns the entry host that says last in its log that it has gained the role. */
  private static Harness.Node dispatcher(Harness fleet) throws IOException {
    Harness.Node found = fleet.fronts().get(0);
    String newest = "";
    for (Harness.Node front : fleet.fronts()) {
      for (String line : Files.readAllLines(front.log())) {
        String time = line.split(" ")[0];
        if (line.contains("event=role-gained") && time.compareTo(newest) > 0) {
          newest = time;
          found = front;
        }
      }
    }
    return found;
  }

  private static String newId(String prefix) {
    return prefix + "%015x".formatted(ThreadLocalRandom.current().nextLong(1L << 50));
  }

  private static String job(int millis, int estimate) {
    return "{\"best_effort\":true,\"specification\":\"%d %d\",\"steps\":[{\"count\":1,\"cpu\":%d,"
            .formatted(millis, TASK_CPU, TASK_CPU)
        + "\"requested_memory_mb\":64,\"estimated_ms\":%d}]}".formatted(estimate);
  }
}
