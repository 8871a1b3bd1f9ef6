package org.burdockbay.bench.runner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.Javalin;
import io.javalin.http.Context;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.burdockbay.server.runner.RunnerMessages;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.jspecify.annotations.Nullable;

/**
 * A stand-in upstream that speaks the runner protocol.
 *
 * <p>A task's payload may say how it behaves: {@code runMillis} is its run time, {@code fail} makes
 * it fail; the answer echoes the payload with the name of the runner. What every runner has to do
 * is in the methods that handle a call: know attempts by id, obey the highest epoch, refuse when
 * full, and remember results for a while.
 */
public final class StandInRunner implements AutoCloseable {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long RENEW_MILLIS = 1_000;
  private static final long REMEMBER_MILLIS = 120_000;
  private static final long SHORTEST_RUN_MILLIS = 1;
  private static final int THREADS = 8;

  private final RunnerOptions options;
  private final ObjectMapper json = new ObjectMapper();
  private final long incarnation = System.nanoTime() ^ (System.currentTimeMillis() << 20);
  private final OkHttpClient client;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final Javalin javalin;
  private final Map<String, AttemptRecord> attempts = new LinkedHashMap<>();
  private final AtomicInteger startCalls = new AtomicInteger();
  private final AtomicInteger starts = new AtomicInteger();
  private final AtomicLong messages = new AtomicLong();
  private volatile RunnerFaults faults;
  private volatile boolean leaving;
  private long epoch;
  private int running;

  /** Creates a runner that is not started yet. */
  public StandInRunner(RunnerOptions options, OkHttpClient client) {
    this.options = options;
    this.client = client;
    this.faults = options.faults();
    this.javalin =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.http.asyncTimeout = 0;
              config.jetty.threadPool = new QueuedThreadPool(THREADS, 2);
              config.routes.post("/v1/attempts", this::startCalled);
              config.routes.post("/v1/attempts/ask", this::askCalled);
              config.routes.post("/v1/attempts/cancel", this::cancelCalled);
              config.routes.post("/v1/fence", this::fenceCalled);
            });
  }

  /** Listens and announces itself until it is closed. */
  public void start() {
    javalin.start(options.ip(), options.port());
    timer.scheduleAtFixedRate(this::announce, 0, RENEW_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Changes the faults. */
  public void faults(RunnerFaults changed) {
    faults = changed;
  }

  /** Tells all hosts that it takes no new work. */
  public void leave() {
    leaving = true;
    announce();
  }

  /** Returns the tasks that it has started. */
  public int startedTasks() {
    return starts.get();
  }

  /** Returns the start calls that arrived, refused ones included. */
  public int startCalls() {
    return startCalls.get();
  }

  /** Returns all calls that arrived, announcements not included. */
  public long messages() {
    return messages.get();
  }

  @Override
  public void close() {
    timer.shutdownNow();
    javalin.stop();
  }

  private void announce() {
    RunnerMessages.Announce body =
        new RunnerMessages.Announce(
            options.name(),
            incarnation,
            options.domain(),
            "http://" + options.ip() + ":" + javalin.port(),
            options.services(),
            options.labels(),
            options.slots(),
            leaving);
    for (String host : options.hosts()) {
      try {
        Request request =
            new Request.Builder()
                .url("http://" + host + "/v1/runners/announce")
                .header("Authorization", "Bearer " + options.token())
                .post(RequestBody.create(json.writeValueAsBytes(body), JSON))
                .build();
        client.newCall(request).enqueue(new Ignore());
      } catch (IOException e) {
        throw new IllegalStateException("an announcement is always JSON", e);
      }
    }
  }

  private void startCalled(Context context) throws IOException {
    messages.incrementAndGet();
    startCalls.incrementAndGet();
    RunnerMessages.Start call = json.readValue(context.body(), RunnerMessages.Start.class);
    double dice = Math.random();
    if (dice < faults.silentStarts()) {
      accept(call);
      context.future(CompletableFuture::new);
      return;
    }
    CompletableFuture<RunnerMessages.Attempt> result = accept(call);
    boolean lost = dice < faults.silentStarts() + faults.loseAnswers();
    context.future(
        () ->
            result.thenAccept(
                attempt -> {
                  if (lost) {
                    context.status(500).result("");
                  } else {
                    answer(context, attempt);
                  }
                }));
  }

  /** Starts the attempt, or tells why not; the same id never starts twice. */
  private synchronized CompletableFuture<RunnerMessages.Attempt> accept(RunnerMessages.Start call) {
    if (call.incarnation() != incarnation) {
      return ended(call.attempt(), RunnerMessages.REJECTED, null, "meant for an earlier run");
    }
    if (call.epoch() < epoch) {
      return CompletableFuture.completedFuture(
          new RunnerMessages.Attempt(call.attempt(), RunnerMessages.FENCED, null, null, epoch));
    }
    epoch = call.epoch();
    AttemptRecord known = attempts.get(call.attempt());
    if (known != null) {
      return known.result();
    }
    if (running >= options.slots()) {
      return ended(call.attempt(), RunnerMessages.REJECTED, null, "busy");
    }
    return run(call);
  }

  private CompletableFuture<RunnerMessages.Attempt> run(RunnerMessages.Start call) {
    starts.incrementAndGet();
    running++;
    CompletableFuture<RunnerMessages.Attempt> result = new CompletableFuture<>();
    attempts.put(
        call.attempt(), new AttemptRecord(call.attempt(), result, System.currentTimeMillis()));
    JsonNode payload = payload(call.payload());
    long millis =
        faults.failAll()
            ? SHORTEST_RUN_MILLIS
            : Math.max(
                SHORTEST_RUN_MILLIS,
                Math.round(payload.path("runMillis").asLong(50) * faults.slowFactor()));
    timer.schedule(() -> finish(call, payload, result), millis, TimeUnit.MILLISECONDS);
    return result;
  }

  private void finish(
      RunnerMessages.Start call,
      JsonNode payload,
      CompletableFuture<RunnerMessages.Attempt> result) {
    boolean fails = faults.failAll() || payload.path("fail").asBoolean(false);
    RunnerMessages.Attempt end =
        fails
            ? new RunnerMessages.Attempt(
                call.attempt(), RunnerMessages.FAILED, null, "the task failed", 0)
            : new RunnerMessages.Attempt(
                call.attempt(), RunnerMessages.SUCCEEDED, answerText(call), null, 0);
    free(result, end);
  }

  private void free(CompletableFuture<RunnerMessages.Attempt> result, RunnerMessages.Attempt end) {
    synchronized (this) {
      if (result.isDone()) {
        return;
      }
      running--;
      forgetOld();
    }
    result.complete(end);
  }

  private String answerText(RunnerMessages.Start call) {
    return "{\"runner\":\"" + options.name() + "\",\"echo\":" + call.payload() + "}";
  }

  private void forgetOld() {
    long before = System.currentTimeMillis() - REMEMBER_MILLIS;
    attempts
        .values()
        .removeIf(attempt -> attempt.result().isDone() && attempt.startedAt() < before);
  }

  private void askCalled(Context context) throws IOException {
    messages.incrementAndGet();
    RunnerMessages.Query call = json.readValue(context.body(), RunnerMessages.Query.class);
    answer(context, status(call));
  }

  /** Tells how an attempt stands; one that never began is refused from now on. */
  private synchronized RunnerMessages.Attempt status(RunnerMessages.Query call) {
    if (call.incarnation() != incarnation) {
      return attempt(call.attempt(), RunnerMessages.REJECTED, "meant for an earlier run");
    }
    AttemptRecord known = attempts.get(call.attempt());
    if (known == null) {
      RunnerMessages.Attempt refused =
          attempt(call.attempt(), RunnerMessages.REJECTED, "asked after before it arrived");
      attempts.put(
          call.attempt(),
          new AttemptRecord(
              call.attempt(),
              CompletableFuture.completedFuture(refused),
              System.currentTimeMillis()));
      return attempt(call.attempt(), RunnerMessages.NEVER_BEGAN, null);
    }
    return report(known);
  }

  private static RunnerMessages.Attempt report(AttemptRecord record) {
    RunnerMessages.Attempt end = record.result().getNow(null);
    if (end == null) {
      return attempt(record.id(), RunnerMessages.RUNNING, null);
    }
    return end.status().equals(RunnerMessages.REJECTED)
        ? attempt(record.id(), RunnerMessages.NEVER_BEGAN, null)
        : end;
  }

  private void cancelCalled(Context context) throws IOException {
    messages.incrementAndGet();
    RunnerMessages.Cancel call = json.readValue(context.body(), RunnerMessages.Cancel.class);
    for (String id : call.attempts()) {
      AttemptRecord known;
      synchronized (this) {
        known = attempts.get(id);
      }
      if (known != null) {
        free(known.result(), attempt(id, RunnerMessages.FAILED, "cancelled"));
      }
    }
    context.status(204);
  }

  private void fenceCalled(Context context) throws IOException {
    messages.incrementAndGet();
    RunnerMessages.Fence call = json.readValue(context.body(), RunnerMessages.Fence.class);
    List<RunnerMessages.Attempt> inventory = new ArrayList<>();
    long obeyed;
    synchronized (this) {
      if (call.incarnation() == incarnation) {
        epoch = Math.max(epoch, call.epoch());
        attempts.values().forEach(record -> inventory.add(report(record)));
      }
      obeyed = call.incarnation() == incarnation ? epoch : 0;
    }
    inventory.removeIf(line -> line.status().equals(RunnerMessages.NEVER_BEGAN));
    answer(context, new RunnerMessages.Inventory(obeyed, inventory));
  }

  private void answer(Context context, Object body) {
    try {
      context.contentType("application/json").result(json.writeValueAsBytes(body));
    } catch (IOException e) {
      throw new IllegalStateException("an answer is always JSON", e);
    }
  }

  private JsonNode payload(String text) {
    try {
      return json.readTree(text);
    } catch (IOException e) {
      return json.createObjectNode();
    }
  }

  private static CompletableFuture<RunnerMessages.Attempt> ended(
      String id, String status, @Nullable String answer, @Nullable String reason) {
    return CompletableFuture.completedFuture(
        new RunnerMessages.Attempt(id, status, answer, reason, 0));
  }

  private static RunnerMessages.Attempt attempt(String id, String status, @Nullable String reason) {
    return new RunnerMessages.Attempt(id, status, null, reason, 0);
  }

  /** A host that can't be reached misses this announcement and gets the next. */
  private static final class Ignore implements Callback {

    @Override
    public void onFailure(Call call, IOException e) {
      // The next announcement comes within a second.
    }

    @Override
    public void onResponse(Call call, Response response) {
      response.close();
    }
  }
}
