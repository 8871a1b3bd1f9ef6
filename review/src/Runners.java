import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Stand-in for sound runners as PROTOCOL.md describes them. The specification of a job is the time
 * in milliseconds that each of its tasks takes. One lock guards all state.
 */
final class Runners implements AutoCloseable {

  private static final int HEARTBEAT_MILLIS = 1_500;
  private static final int STOP_MILLIS = 30;
  private static final int MAX_HOLD_MILLIS = 1_000;
  private static final int CPU = 32_000;

  final List<Runner> runners = new ArrayList<>();
  final List<Run> history = new ArrayList<>();
  private final Fleet fleet;
  private final String service;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private int announcements;

  Runners(Fleet fleet, String service, int count) throws IOException {
    this.fleet = fleet;
    this.service = service;
    for (int i = 0; i < count; i++) {
      runners.add(new Runner("i-" + Integer.toHexString(0x7f3a91c0 + i), Fleet.ZONES.get(i % 3), i));
    }
    timer.scheduleAtFixedRate(this::settleAll, 0, 5, TimeUnit.MILLISECONDS);
    int spacing = Math.max(1, HEARTBEAT_MILLIS / count);
    timer.scheduleAtFixedRate(this::announceNext, 0, spacing, TimeUnit.MILLISECONDS);
  }

  private synchronized void settleAll() {
    runners.forEach(Runner::settle);
  }

  private void announceNext() {
    try {
      Runner runner = runners.get(announcements++ % runners.size());
      runner.announce();
    } catch (RuntimeException e) {
      fleet.log(e.toString(), "announcement failed");
    }
  }

  synchronized List<Run> runs(String job) {
    return history.stream().filter(run -> run.task.startsWith(job)).toList();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    runners.forEach(runner -> runner.server.stop(0));
  }

  private static long number(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":(-?\\d+)").matcher(body);
    return matcher.find() ? Long.parseLong(matcher.group(1)) : 0;
  }

  private static String text(String body, String field) {
    Matcher matcher = Pattern.compile("\"" + field + "\":\"((?:[^\"\\\\]|\\\\.)*)\"").matcher(body);
    return matcher.find() ? matcher.group(1) : "";
  }

  /** A task that a runner has begun; times in milliseconds since the start of the case. */
  static final class Run {

    final String task;
    final long number;
    final String runner;
    final String specification;
    final long begunAt;
    long endsAt;
    String how = "done";

    Run(String task, long number, String runner, String specification, long begunAt) {
      this.task = task;
      this.number = number;
      this.runner = runner;
      this.specification = specification;
      this.begunAt = begunAt;
      this.endsAt = begunAt + Long.parseLong(specification.replaceAll("\\D.*", ""));
    }

    @Override
    public String toString() {
      return task + " run " + number + " on " + runner + " from " + begunAt + " to " + endsAt + " ms";
    }

    void endAt(long time, String cause) {
      if (time < endsAt) {
        endsAt = time;
        how = cause;
      }
    }
  }

  /** One life of a runner. */
  final class Runner {

    final String id;
    final String zone;
    final HttpServer server;
    private final long born = System.currentTimeMillis();
    private final List<Run> running = new ArrayList<>();
    private final List<String> ended = new ArrayList<>();
    private final Map<String, Long> highestEnded = new HashMap<>();
    private long endCount;
    private long fencingToken;
    private long deadline;
    private long sequence;

    Runner(String id, String zone, int index) throws IOException {
      this.id = id;
      this.zone = zone;
      server = HttpServer.create(new InetSocketAddress(fleet.subnet + ".2." + (index + 1), 0), 64);
      server.setExecutor(Executors.newVirtualThreadPerTaskExecutor());
      server.createContext("/", this::handle);
      server.start();
    }

    private void announce() {
      InetSocketAddress control =
          fleet.controlAddress(fleet.controlHosts().get((int) (sequence % 3)));
      String body =
          """
          {"service":"%s","address":"%s","zone":"%s","version":"v1","slots":8,"state":"ready",\
          "cold_remaining_ms":0,"capacity":{"cpu":%d,"requested_memory_mb":65536,"gpu":0},\
          "labels":["a","r1-1"],"clock_ms":%d,"sequence":%d,"born":%d}"""
              .formatted(
                  service,
                  server.getAddress().getHostString() + ":" + server.getAddress().getPort(),
                  zone,
                  CPU,
                  fleet.millis(),
                  ++sequence,
                  born);
      Fleet.call(control, "PUT", "/-/instances/" + id, "", "", body, 1_000);
    }

    private void handle(HttpExchange exchange) throws IOException {
      String body =
          new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
      String path = exchange.getRequestURI().getPath();
      String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
      String answer;
      int status;
      if (expected != null && !expected.equals(id)) {
        status = 421;
        answer = "{}";
      } else if (path.equals("/-/hold")) {
        answer = hold(body);
        status = answer.contains("\"reason\"") ? 409 : 200;
      } else {
        answer = path.equals("/-/run-start") ? start(body) : stop(body);
        status = answer.contains("\"reason\"") ? 409 : 200;
      }
      byte[] bytes = answer.getBytes(StandardCharsets.UTF_8);
      exchange.getResponseHeaders().set("Content-Type", "application/json");
      exchange.getResponseHeaders().set("Instance-Id", id);
      exchange.sendResponseHeaders(status, bytes.length);
      exchange.getResponseBody().write(bytes);
      exchange.close();
    }

    private String response(String fields) {
      return "{\"clock_ms\":" + fleet.millis() + ",\"born\":" + born + fields + "}";
    }

    private String refusal(String reason) {
      return response(",\"reason\":\"" + reason + "\"");
    }

    /** Takes the token of a call; returns whether it is too low. */
    private boolean isFenced(String body) {
      long token = number(body, "fencing_token");
      if (token < fencingToken) {
        return true;
      }
      fencingToken = token;
      return false;
    }

    private void takeDeadline(long value) {
      deadline = Math.max(deadline, Math.min(value, fleet.millis() + MAX_HOLD_MILLIS));
    }

    private String start(String body) {
      synchronized (Runners.this) {
        settle();
        if (isFenced(body)) {
          return refusal("fence");
        }
        String task = text(body, "task");
        long run = number(body, "run");
        takeDeadline(number(body, "deadline_ms"));
        if (running.stream().anyMatch(it -> it.task.equals(task) && it.number == run)) {
          return response("");
        }
        if (run <= highestEnded.getOrDefault(task, 0L)) {
          return refusal("old");
        }
        if (number(body, "deadline_ms") <= fleet.millis()) {
          return refusal("late");
        }
        Run begun = new Run(task, run, id, text(body, "specification"), fleet.millis());
        running.add(begun);
        history.add(begun);
        fleet.log(id, "starts " + task + " run " + run + " specification " + begun.specification);
        return response("");
      }
    }

    private String stop(String body) {
      synchronized (Runners.this) {
        settle();
        if (isFenced(body)) {
          return refusal("fence");
        }
        String task = text(body, "task");
        long number = number(body, "run");
        running.stream()
            .filter(it -> it.task.equals(task) && it.number == number)
            .forEach(it -> it.endAt(fleet.millis() + STOP_MILLIS, "stopped"));
        highestEnded.merge(task, number, Math::max);
        return response("");
      }
    }

    private String hold(String body) {
      synchronized (Runners.this) {
        settle();
        if (isFenced(body)) {
          return refusal("fence");
        }
        long seen = number(body, "last_seen");
        ended.removeIf(row -> Long.parseLong(row.substring(1, row.indexOf(','))) <= seen);
        takeDeadline(number(body, "deadline_ms"));
        long until = fleet.millis() + number(body, "wait_ms");
        try {
          while (ended.isEmpty() && fleet.millis() < until) {
            Runners.this.wait(Math.max(1, until - fleet.millis()));
          }
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
        List<String> rows =
            running.stream()
                .map(it -> "[\"" + it.task + "\"," + it.number + ",\"\",100,0]")
                .toList();
        return response(
            ",\"running\":[" + String.join(",", rows) + "],\"ended\":["
                + String.join(",", ended.subList(0, Math.min(500, ended.size()))) + "]");
      }
    }

    /** Ends the runs whose time or lease is over. */
    private void settle() {
      long now = fleet.millis();
      if (deadline <= now) {
        running.forEach(run -> run.endAt(deadline, "lapsed"));
      }
      for (Run run : running.stream().filter(it -> it.endsAt <= now).toList()) {
        running.remove(run);
        highestEnded.merge(run.task, run.number, Math::max);
        ended.add(
            "[" + ++endCount + ",\"" + run.task + "\"," + run.number + ",\"" + run.how + "\",\"\"]");
        fleet.log(id, "ends " + run.task + " run " + run.number + " " + run.how);
        Runners.this.notifyAll();
      }
    }
  }
}
