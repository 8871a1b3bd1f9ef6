package review3;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * A frontend gets a SIGTERM, and takes a job that has to wait for room longer than the grace period
 * lasts, but not longer than its time budget. Rule LOST.
 */
final class WaitingJobAtStop {

  private static final long BUDGET_MILLIS = 12_000;
  private static final long TARGET_MILLIS = 9_000;
  private static final int RUNNERS = 2;
  private static final int CORES = 16;
  private static final int LONG_TASK_MILLIS = 8_000;

  private WaitingJobAtStop() {}

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
    try (Fleet fleet = new Fleet(record, 2, RUNNERS)) {
      fleet.configure(BUDGET_MILLIS, TARGET_MILLIS);
      fleet.awaitService();
      Runner.pause(4_000);
      Fleet.Machine dispatcher = fleet.holder(fleet.history.getLast().token);
      List<Fleet.Machine> others =
          fleet.fronts.stream().filter(front -> front != dispatcher).toList();
      final Fleet.Machine stopped = others.get(0);
      final Fleet.Machine other = others.get(1);
      record.line(
          "ROLES starts by " + dispatcher.name + ", SIGTERM to " + stopped.name
              + ", long job at " + other.name);
      final String longId = "00000000000000aa";
      CompletableFuture<String> longAnswer =
          CompletableFuture.supplyAsync(
              () -> submit(fleet, other, longId, fleet.job(1, RUNNERS * CORES, LONG_TASK_MILLIS)));
      record.line("SENT POST " + longId + " to " + other.name);
      long end = record.now() + 5_000;
      while (fleet.runs(longId).size() < RUNNERS * CORES && record.now() < end) {
        Runner.pause(10);
      }
      if (fleet.runs(longId).size() < RUNNERS * CORES) {
        return 2;
      }
      final String id = "5c0e7a21d94b36f8";
      try (Http.Channel channel =
          new Http.Channel(stopped.ip, fleet.frontPort(), (int) BUDGET_MILLIS + 3_000)) {
        // A first call on the channel, which then stays open.
        channel.send("GET", "/q/", Map.of("Host", Fleet.HOST), "");
        record.line("ANSWERED GET " + channel.receive().status());
        final long terminatedAt = record.now();
        if (trouble) {
          fleet.signal(stopped, "TERM");
        }
        Runner.pause(500);
        channel.send(
            "POST", "/q/" + id,
            Map.of("Host", Fleet.HOST, "Deadline-Ms", Long.toString(BUDGET_MILLIS)),
            fleet.job(1, 1, 300));
        final long sentAt = record.now();
        record.line("SENT POST " + id + " to " + stopped.name);
        Http.Message answer;
        String failure = "";
        try {
          answer = channel.receive();
        } catch (IOException e) {
          answer = null;
          failure = " " + e;
        }
        final long endedAt = record.now();
        if (answer != null) {
          record.line("ANSWERED POST " + id + " " + answer.status() + " " + answer.body());
        } else {
          record.line("CHANNEL ENDED without an answer to POST " + id + failure);
        }
        record.line("STARTS of " + id + ": " + fleet.runs(id).size());
        record.line("ANSWERED POST " + longId + " " + longAnswer.join());
        boolean lost =
            answer == null
                && endedAt - sentAt > Fleet.LOSS_SLACK_MILLIS
                && endedAt - sentAt < BUDGET_MILLIS
                && endedAt < terminatedAt + Fleet.GRACE_MILLIS + 1_000;
        if (lost) {
          record.line(
              "BROKEN LOST the channel ended " + (endedAt - sentAt) + " ms after the request, "
                  + (endedAt - terminatedAt) + " ms after the SIGTERM, budget " + BUDGET_MILLIS);
          return 1;
        }
        return answer != null ? 0 : 2;
      }
    }
  }

  private static String submit(Fleet fleet, Fleet.Machine front, String id, String job) {
    try {
      Http.Message answer =
          Http.call(
              front.ip, fleet.frontPort(), "POST", "/q/" + id,
              Map.of("Host", Fleet.HOST, "Deadline-Ms", Long.toString(BUDGET_MILLIS)), job,
              (int) BUDGET_MILLIS + 3_000);
      return answer.status() + " " + answer.body();
    } catch (IOException e) {
      return e.toString();
    }
  }
}
