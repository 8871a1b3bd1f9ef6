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
 * <p>The payload of a task may control its execution: {@code runMillis} is the run time, and {@code
 * fail} makes the task fail. The answer echoes the payload together with the name of the runner.
 *
 * <p>The methods that handle calls show the duties of any runner: identify attempts by id, accept
 * only the highest epoch, reject starts when all slots are busy, and retain results for a while.
 */
public final class StandInRunner implements AutoCloseable {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long ANNOUNCEMENT_INTERVAL_MILLIS = 1_000;
  private static final long ATTEMPT_RETENTION_MILLIS = 120_000;
  private static final long MIN_RUN_MILLIS = 1;
  private static final int MAX_HTTP_THREADS = 8;

  private final RunnerOptions options;
  private final ObjectMapper mapper = new ObjectMapper();
  private final long incarnation = System.nanoTime() ^ (System.currentTimeMillis() << 20);
  private final OkHttpClient client;
  private final ScheduledExecutorService timer = Executors.newScheduledThreadPool(2);
  private final Javalin javalin;
  private final Map<String, AttemptRecord> attempts = new LinkedHashMap<>();
  private final AtomicInteger startCalls = new AtomicInteger();
  private final AtomicInteger startedTasks = new AtomicInteger();
  private final AtomicLong receivedCalls = new AtomicLong();
  private volatile RunnerFaults faults;
  private volatile boolean leaving;
  private long highestEpoch;
  private int runningTasks;

  /** Creates a runner; {@link #start()} makes it listen. */
  public StandInRunner(RunnerOptions options, OkHttpClient client) {
    this.options = options;
    this.client = client;
    this.faults = options.faults();
    this.javalin =
        Javalin.create(
            config -> {
              config.startup.showJavalinBanner = false;
              config.http.asyncTimeout = 0;
              config.jetty.threadPool = new QueuedThreadPool(MAX_HTTP_THREADS, 2);
              config.routes.post("/v1/attempts", this::handleStart);
              config.routes.post("/v1/attempts/ask", this::handleQuery);
              config.routes.post("/v1/attempts/cancel", this::handleCancel);
              config.routes.post("/v1/fence", this::handleFence);
            });
  }

  /** Starts to listen and to announce this runner, until it is closed. */
  public void start() {
    javalin.start(options.ip(), options.port());
    timer.scheduleAtFixedRate(
        this::announce, 0, ANNOUNCEMENT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Replaces the injected faults. */
  public void setFaults(RunnerFaults newFaults) {
    faults = newFaults;
  }

  /** Announces to all hosts that this runner accepts no new work. */
  public void leave() {
    leaving = true;
    announce();
  }

  /** Returns the number of tasks started. */
  public int startedTasks() {
    return startedTasks.get();
  }

  /** Returns the number of start calls received, including rejected ones. */
  public int startCalls() {
    return startCalls.get();
  }

  /** Returns the number of calls received of all kinds. */
  public long receivedCalls() {
    return receivedCalls.get();
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
                .post(RequestBody.create(mapper.writeValueAsBytes(body), JSON))
                .build();
        client.newCall(request).enqueue(new DiscardingCallback());
      } catch (IOException e) {
        throw new IllegalStateException("announcement can't be written as JSON", e);
      }
    }
  }

  private void handleStart(Context context) throws IOException {
    receivedCalls.incrementAndGet();
    startCalls.incrementAndGet();
    RunnerMessages.Start call = mapper.readValue(context.body(), RunnerMessages.Start.class);
    double draw = Math.random();
    if (draw < faults.silentStartShare()) {
      acceptStart(call);
      context.future(CompletableFuture::new);
      return;
    }
    CompletableFuture<RunnerMessages.Attempt> result = acceptStart(call);
    boolean isAnswerLost = draw < faults.silentStartShare() + faults.lostAnswerShare();
    context.future(
        () ->
            result.thenAccept(
                attempt -> {
                  if (isAnswerLost) {
                    context.status(500).result("");
                  } else {
                    respond(context, attempt);
                  }
                }));
  }

  /**
   * Starts the attempt unless it must be rejected. A repeated call with the same id returns the
   * result of the first one and starts nothing.
   */
  private synchronized CompletableFuture<RunnerMessages.Attempt> acceptStart(
      RunnerMessages.Start call) {
    if (call.incarnation() != incarnation) {
      return completedAttempt(
          call.attempt(), RunnerMessages.REJECTED, null, "meant for an earlier run");
    }
    if (call.epoch() < highestEpoch) {
      return CompletableFuture.completedFuture(
          new RunnerMessages.Attempt(
              call.attempt(), RunnerMessages.FENCED, null, null, highestEpoch));
    }
    highestEpoch = call.epoch();
    AttemptRecord known = attempts.get(call.attempt());
    if (known != null) {
      return known.result();
    }
    if (runningTasks >= options.slots()) {
      return completedAttempt(call.attempt(), RunnerMessages.REJECTED, null, "busy");
    }
    return runTask(call);
  }

  private CompletableFuture<RunnerMessages.Attempt> runTask(RunnerMessages.Start call) {
    startedTasks.incrementAndGet();
    runningTasks++;
    CompletableFuture<RunnerMessages.Attempt> result = new CompletableFuture<>();
    attempts.put(
        call.attempt(), new AttemptRecord(call.attempt(), result, System.currentTimeMillis()));
    JsonNode payload = parsePayload(call.payload());
    long millis =
        faults.failAll()
            ? MIN_RUN_MILLIS
            : Math.max(
                MIN_RUN_MILLIS,
                Math.round(payload.path("runMillis").asLong(50) * faults.slowFactor()));
    timer.schedule(() -> finishTask(call, payload, result), millis, TimeUnit.MILLISECONDS);
    return result;
  }

  private void finishTask(
      RunnerMessages.Start call,
      JsonNode payload,
      CompletableFuture<RunnerMessages.Attempt> result) {
    boolean fails = faults.failAll() || payload.path("fail").asBoolean(false);
    RunnerMessages.Attempt end =
        fails
            ? new RunnerMessages.Attempt(
                call.attempt(), RunnerMessages.FAILED, null, "the task failed", 0)
            : new RunnerMessages.Attempt(
                call.attempt(), RunnerMessages.SUCCEEDED, answerJson(call), null, 0);
    completeAttempt(result, end);
  }

  private void completeAttempt(
      CompletableFuture<RunnerMessages.Attempt> result, RunnerMessages.Attempt end) {
    synchronized (this) {
      if (result.isDone()) {
        return;
      }
      runningTasks--;
      removeExpiredAttempts();
    }
    result.complete(end);
  }

  private String answerJson(RunnerMessages.Start call) {
    return "{\"runner\":\"" + options.name() + "\",\"echo\":" + call.payload() + "}";
  }

  private void removeExpiredAttempts() {
    long cutoff = System.currentTimeMillis() - ATTEMPT_RETENTION_MILLIS;
    attempts
        .values()
        .removeIf(attempt -> attempt.result().isDone() && attempt.recordedAt() < cutoff);
  }

  private void handleQuery(Context context) throws IOException {
    receivedCalls.incrementAndGet();
    RunnerMessages.Query call = mapper.readValue(context.body(), RunnerMessages.Query.class);
    respond(context, queryStatus(call));
  }

  /**
   * Returns the status of an attempt. An unknown attempt is recorded as rejected, so that a start
   * call that arrives later can't run it.
   */
  private synchronized RunnerMessages.Attempt queryStatus(RunnerMessages.Query call) {
    if (call.incarnation() != incarnation) {
      return attemptStatus(call.attempt(), RunnerMessages.REJECTED, "meant for an earlier run");
    }
    AttemptRecord known = attempts.get(call.attempt());
    if (known == null) {
      RunnerMessages.Attempt refused =
          attemptStatus(call.attempt(), RunnerMessages.REJECTED, "asked after before it arrived");
      attempts.put(
          call.attempt(),
          new AttemptRecord(
              call.attempt(),
              CompletableFuture.completedFuture(refused),
              System.currentTimeMillis()));
      return attemptStatus(call.attempt(), RunnerMessages.NEVER_BEGAN, null);
    }
    return currentStatus(known);
  }

  /** Returns the status of a recorded attempt; a rejected one is reported as never begun. */
  private static RunnerMessages.Attempt currentStatus(AttemptRecord record) {
    RunnerMessages.Attempt end = record.result().getNow(null);
    if (end == null) {
      return attemptStatus(record.id(), RunnerMessages.RUNNING, null);
    }
    return end.status().equals(RunnerMessages.REJECTED)
        ? attemptStatus(record.id(), RunnerMessages.NEVER_BEGAN, null)
        : end;
  }

  private void handleCancel(Context context) throws IOException {
    receivedCalls.incrementAndGet();
    RunnerMessages.Cancel call = mapper.readValue(context.body(), RunnerMessages.Cancel.class);
    for (String id : call.attempts()) {
      AttemptRecord known;
      synchronized (this) {
        known = attempts.get(id);
      }
      if (known != null) {
        completeAttempt(known.result(), attemptStatus(id, RunnerMessages.FAILED, "cancelled"));
      }
    }
    context.status(204);
  }

  private void handleFence(Context context) throws IOException {
    receivedCalls.incrementAndGet();
    RunnerMessages.Fence call = mapper.readValue(context.body(), RunnerMessages.Fence.class);
    List<RunnerMessages.Attempt> inventory = new ArrayList<>();
    long acceptedEpoch;
    synchronized (this) {
      if (call.incarnation() == incarnation) {
        highestEpoch = Math.max(highestEpoch, call.epoch());
        attempts.values().forEach(record -> inventory.add(currentStatus(record)));
      }
      acceptedEpoch = call.incarnation() == incarnation ? highestEpoch : 0;
    }
    inventory.removeIf(attempt -> attempt.status().equals(RunnerMessages.NEVER_BEGAN));
    respond(context, new RunnerMessages.Inventory(acceptedEpoch, inventory));
  }

  private void respond(Context context, Object body) {
    try {
      context.contentType("application/json").result(mapper.writeValueAsBytes(body));
    } catch (IOException e) {
      throw new IllegalStateException("response can't be written as JSON", e);
    }
  }

  private JsonNode parsePayload(String text) {
    try {
      return mapper.readTree(text);
    } catch (IOException e) {
      return mapper.createObjectNode();
    }
  }

  private static CompletableFuture<RunnerMessages.Attempt> completedAttempt(
      String id, String status, @Nullable String answer, @Nullable String reason) {
    return CompletableFuture.completedFuture(
        new RunnerMessages.Attempt(id, status, answer, reason, 0));
  }

  private static RunnerMessages.Attempt attemptStatus(
      String id, String status, @Nullable String reason) {
    return new RunnerMessages.Attempt(id, status, null, reason, 0);
  }

  /** Ignores the result of an announcement, since each one is followed by another. */
  private static final class DiscardingCallback implements Callback {

    @Override
    public void onFailure(Call call, IOException e) {
      // The next announcement follows after ANNOUNCEMENT_INTERVAL_MILLIS.
    }

    @Override
    public void onResponse(Call call, Response response) {
      response.close();
    }
  }
}
