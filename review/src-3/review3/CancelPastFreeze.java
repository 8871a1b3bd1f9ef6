package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A client cancels its job through another frontend while the frontend that took the job is frozen
 * for some seconds. Rule UNASKED.
 */
final class CancelPastFreeze {

  private static final int TASK_MILLIS = 800;
  private static final int STEPS = 10;
  private static final long BUDGET_MILLIS = 10_000;
  private static final long FREEZE_MILLIS = 750;

  private CancelPastFreeze() {}

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
    try (Fleet fleet = new Fleet(record, 2, 6)) {
      fleet.configure(1_500, 60);
      fleet.awaitService();
      // The core, the dispatcher and the frontend that takes the DELETE are undisturbed for longer
      // than contact_ms before anything is judged.
      Runner.pause(4_000);
      Fleet.Machine dispatcher = fleet.holder(fleet.history.getLast().token);
      List<Fleet.Machine> others =
          fleet.fronts.stream().filter(front -> front != dispatcher).toList();
      final Fleet.Machine holder = others.get(0);
      final Fleet.Machine cancelledAt = others.get(1);
      record.line(
          "ROLES starts by " + dispatcher.name + ", POST to " + holder.name + ", DELETE to "
              + cancelledAt.name);
      final String id = "5c0e7a21d94b36f8";
      CompletableFuture<String> answer =
          CompletableFuture.supplyAsync(() -> submit(fleet, holder, id));
      record.line("SENT POST " + id + " to " + holder.name);
      long end = record.now() + 5_000;
      while (fleet.runs(id).isEmpty() && record.now() < end) {
        Runner.pause(10);
      }
      Runner.pause(50);
      if (trouble) {
        fleet.signal(holder, "STOP");
      }
      Runner.pause(250);
      record.line("SENT DELETE " + id + " to " + cancelledAt.name);
      Http.Message cancelled =
          Http.call(
              cancelledAt.ip, fleet.frontPort(), "DELETE", "/q/" + id,
              Map.of("Host", Fleet.HOST, "Deadline-Ms", "1500"), "", 2_000);
      final long acknowledgedAt = record.now();
      record.line("ANSWERED DELETE " + cancelled.status());
      if (cancelled.status() / 100 != 2) {
        return 2;
      }
      Runner.pause(FREEZE_MILLIS - 250);
      if (trouble) {
        fleet.signal(holder, "CONT");
      }
      final long wokenAt = record.now();
      record.line("ANSWERED POST " + answer.join());
      // A start counts by a machine in touch only: the frozen one is again, contact_ms after it woke.
      final long holderInTouchAt = wokenAt + Fleet.CONTACT_MILLIS;
      List<Runner.Run> late =
          fleet.runs(id).stream()
              .filter(run -> run.begunAt > acknowledgedAt + Fleet.CANCEL_MILLIS)
              .filter(run -> fleet.holder(run.token) != holder || run.begunAt > holderInTouchAt)
              .toList();
      late.forEach(
          run ->
              record.line(
                  "BROKEN UNASKED " + run.task + " run=" + run.number + " began "
                      + (run.begunAt - acknowledgedAt) + " ms after the ack of the cancel, order of "
                      + fleet.holder(run.token).name + ", which is in touch"));
      return late.isEmpty() ? 0 : 1;
    }
  }

  private static String submit(Fleet fleet, Fleet.Machine front, String id) {
    try {
      Http.Message answer =
          Http.call(
              front.ip, fleet.frontPort(), "POST", "/q/" + id,
              Map.of("Host", Fleet.HOST, "Deadline-Ms", Long.toString(BUDGET_MILLIS)),
              fleet.job(STEPS, 1, TASK_MILLIS), (int) BUDGET_MILLIS + 3_000);
      return answer.status() + " " + answer.body();
    } catch (IOException e) {
      return e.toString();
    }
  }
}
