package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Runners crash and start again under their ids, while the frontend that orders the starts stands
 * still for a fifth of a second. Rule TWICE.
 */
final class RestartedRunner {

  private static final int RUNNERS = 20;
  private static final int RESTARTS = 3;
  private static final int CLIENTS = 40;
  private static final int WIDTH = 8;
  private static final long ROUND_MILLIS = 1_300;
  private static final int TASK_MILLIS = 100;
  private static final long FREEZE_MILLIS = 200;
  private static final long DOWN_MILLIS = 60;
  private static final int ROUNDS = 30;

  private RestartedRunner() {}

  public static void main(String[] arguments) {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int result = 2;
    try (Record record = new Record(Path.of(arguments[0], "record.txt"))) {
      try {
        result = play(record, trouble);
      } catch (IOException | RuntimeException e) {
        record.line("NOT RUN " + e);
      }
      record.line("RESULT " + result);
    } catch (IOException e) {
      System.err.println(e);
    }
    System.exit(result);
  }

  private static int play(Record record, boolean trouble) throws IOException {
    try (Fleet fleet = new Fleet(record, 2, RUNNERS, 1_000)) {
      fleet.configure(1_500, 60);
      fleet.awaitService();
      Runner.pause(2_000);
      final Fleet.Machine dispatcher = fleet.holder(fleet.history.getLast().token);
      record.line("ROLES starts by " + dispatcher.name);
      AtomicBoolean over = new AtomicBoolean();
      Map<Integer, Integer> answers = new HashMap<>();
      for (int i = 0; i < CLIENTS; i++) {
        Random random = new Random(i);
        Thread.ofVirtual().start(() -> callOften(fleet, dispatcher, random, over, answers));
      }
      Runner.pause(3_000);
      for (int round = 0; round < ROUNDS; round++) {
        if (trouble) {
          final List<Runner> chosen = lastOrdered(fleet).subList(0, RESTARTS);
          fleet.signal(dispatcher, "STOP");
          Runner.pause(20);
          chosen.forEach(runner -> Thread.ofPlatform().start(() -> restart(runner)));
          Runner.pause(FREEZE_MILLIS - 20);
          fleet.signal(dispatcher, "CONT");
        }
        Runner.pause(ROUND_MILLIS);
      }
      over.set(true);
      Runner.pause(3_000);
      record.line("ANSWERS by status " + answers);
      return check(fleet) ? 1 : 0;
    }
  }

  /** Returns the runners, first those that were last told to start a task. */
  private static List<Runner> lastOrdered(Fleet fleet) {
    Map<String, Long> lastStart = new HashMap<>();
    List.copyOf(fleet.history).forEach(run -> lastStart.put(run.runner, run.begunAt));
    return fleet.runners.stream()
        .sorted(Comparator.comparing(runner -> -lastStart.getOrDefault(runner.id, 0L)))
        .toList();
  }

  private static void restart(Runner runner) {
    try {
      runner.restart(DOWN_MILLIS);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Sends jobs one after the other, each of them once, at frontends that aren't disturbed. */
  private static void callOften(
      Fleet fleet, Fleet.Machine dispatcher, Random random, AtomicBoolean over,
      Map<Integer, Integer> answers) {
    List<Fleet.Machine> fronts =
        fleet.fronts.stream().filter(front -> front != dispatcher).toList();
    while (!over.get()) {
      String id = String.format("%016x", random.nextLong());
      Fleet.Machine front = fronts.get(random.nextInt(fronts.size()));
      int status;
      try {
        status =
            Http.call(
                    front.ip, fleet.frontPort(), "POST", "/q/" + id,
                    Map.of("Host", Fleet.HOST, "Deadline-Ms", "2500"),
                    fleet.job(1, WIDTH, TASK_MILLIS), 3_000)
                .status();
      } catch (IOException e) {
        status = 0;
      }
      synchronized (answers) {
        answers.merge(status, 1, Integer::sum);
      }
      Runner.pause(random.nextInt(40));
    }
  }

  /** Returns whether two runs of a task were under way at the same time. */
  private static boolean check(Fleet fleet) {
    Map<String, List<Runner.Run>> byTask = new HashMap<>();
    for (Runner.Run run : List.copyOf(fleet.history)) {
      byTask.computeIfAbsent(run.task, task -> new ArrayList<>()).add(run);
    }
    boolean broken = false;
    for (List<Runner.Run> runs : byTask.values()) {
      for (int i = 1; i < runs.size(); i++) {
        Runner.Run earlier = runs.get(i - 1);
        Runner.Run later = runs.get(i);
        if (later.begunAt < earlier.endedAt) {
          broken = true;
          fleet.record.line(
              "BROKEN TWICE " + later.task + " run=" + earlier.number + " on " + earlier.runner
                  + " from " + earlier.begunAt + " to " + earlier.endedAt + " " + earlier.how
                  + ", run=" + later.number + " on " + later.runner + " from " + later.begunAt
                  + " to " + later.endedAt + " " + later.how);
        }
      }
    }
    return broken;
  }
}
