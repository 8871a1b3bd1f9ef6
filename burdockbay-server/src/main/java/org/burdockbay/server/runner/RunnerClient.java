package org.burdockbay.server.runner;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.burdockbay.core.dispatch.DispatchEffect;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;

/**
 * Calls runners over HTTP.
 *
 * <p>Start calls use persistent connections. Queries always open a new one, because a query is sent
 * when the connection of the start call may no longer deliver anything. The library's retries are
 * disabled, since only the dispatcher may decide to resend a start.
 */
public final class RunnerClient implements AutoCloseable {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_CONCURRENT_CALLS = 20_000;

  /** Added to the timeout of an attempt, to give the answer time to arrive. */
  private static final long START_ANSWER_SLACK_MILLIS = 1_000;

  /** Maximum size of a runner's response, in bytes. */
  private static final long MAX_RESPONSE_BYTES = 1024 * 1024;

  private static final long CONNECT_TIMEOUT_MILLIS = 500;
  private static final long CALL_TIMEOUT_MILLIS = 1_000;
  private static final long IDLE_TIMEOUT_SECONDS = 20;
  private static final int MAX_IDLE_CONNECTIONS = 2_000;

  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final ObjectMapper json;
  private final OkHttpClient pooledClient;
  private final OkHttpClient unpooledClient;

  /** Creates a client. */
  public RunnerClient(ObjectMapper json) {
    this.json = json;
    Dispatcher dispatcher = new Dispatcher(executor);
    dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
    dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
    this.pooledClient =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(
                new ConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_TIMEOUT_SECONDS, TimeUnit.SECONDS))
            .retryOnConnectionFailure(false)
            .connectTimeout(CONNECT_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .build();
    this.unpooledClient =
        pooledClient
            .newBuilder()
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
            .build();
  }

  /** Starts an attempt. */
  public void start(DispatchEffect.StartAttempt effect, RunnerListener listener) {
    RunnerMessages.Start body =
        new RunnerMessages.Start(
            effect.attempt().toString(),
            effect.runner().incarnation(),
            effect.epoch(),
            effect.job(),
            effect.payload(),
            effect.timeoutMillis());
    post(
        pooledClient,
        effect.address() + "/v1/attempts",
        body,
        effect.timeoutMillis() + START_ANSWER_SLACK_MILLIS,
        result -> listener.attemptEnded(effect.attempt(), effect.runner(), toOutcome(result)));
  }

  /** Queries the status of an attempt over a new connection. */
  public void query(DispatchEffect.QueryAttempt effect, RunnerListener listener) {
    RunnerMessages.Query body =
        new RunnerMessages.Query(
            effect.attempt().toString(),
            effect.runner().incarnation(),
            effect.epoch(),
            effect.waitMillis());
    post(
        unpooledClient,
        effect.address() + "/v1/attempts/ask",
        body,
        CALL_TIMEOUT_MILLIS + effect.waitMillis(),
        result -> listener.attemptQueried(effect.attempt(), effect.runner(), toStatus(result)));
  }

  /** Cancels attempts; their outcomes arrive as the answers to their start calls. */
  public void cancel(DispatchEffect.CancelAttempts effect) {
    List<String> attempts = effect.attempts().stream().map(Object::toString).toList();
    RunnerMessages.Cancel body = new RunnerMessages.Cancel(effect.epoch(), attempts);
    post(
        pooledClient,
        effect.address() + "/v1/attempts/cancel",
        body,
        CALL_TIMEOUT_MILLIS,
        result -> {});
  }

  /** Fences a runner, so that it accepts no epoch lower than the dispatcher's. */
  public void fence(DispatchEffect.FenceRunner effect, String domain, RunnerListener listener) {
    RunnerMessages.Fence body =
        new RunnerMessages.Fence(domain, effect.epoch(), effect.runner().incarnation());
    post(
        unpooledClient,
        effect.address() + "/v1/fence",
        body,
        CALL_TIMEOUT_MILLIS,
        result -> fenceAnswered(effect, result, listener));
  }

  @Override
  public void close() {
    pooledClient.dispatcher().cancelAll();
    executor.shutdownNow();
    pooledClient.connectionPool().evictAll();
  }

  private void fenceAnswered(
      DispatchEffect.FenceRunner effect, CallResult result, RunnerListener listener) {
    if (!(result instanceof CallResult.Answered answered)) {
      return;
    }
    Optional<RunnerMessages.Inventory> inventory =
        read(answered.body(), RunnerMessages.Inventory.class);
    if (inventory.isEmpty()) {
      return;
    }
    if (inventory.get().epoch() > effect.epoch()) {
      listener.epochSuperseded(inventory.get().epoch());
    } else if (inventory.get().epoch() == effect.epoch()) {
      List<AttemptReport> reports =
          inventory.get().attempts().stream()
              .map(RunnerMessages.Attempt::toReport)
              .flatMap(Optional::stream)
              .toList();
      listener.runnerFenced(effect.runner(), effect.epoch(), reports);
    }
  }

  private AttemptOutcome toOutcome(CallResult result) {
    return switch (result) {
      case CallResult.Answered answered ->
          read(answered.body(), RunnerMessages.Attempt.class)
              .map(RunnerMessages.Attempt::toOutcome)
              .orElseGet(() -> new AttemptOutcome.Uncertain("unreadable answer"));
      case CallResult.NotSent notSent -> new AttemptOutcome.Rejected(notSent.reason());
      case CallResult.NoResponse noResponse -> new AttemptOutcome.Uncertain(noResponse.reason());
    };
  }

  private AttemptStatus toStatus(CallResult result) {
    return switch (result) {
      case CallResult.Answered answered ->
          read(answered.body(), RunnerMessages.Attempt.class)
              .map(RunnerMessages.Attempt::toStatus)
              .orElseGet(() -> new AttemptStatus.Unreachable("unreadable answer"));
      case CallResult.NotSent notSent -> new AttemptStatus.Unreachable(notSent.reason());
      case CallResult.NoResponse noResponse -> new AttemptStatus.Unreachable(noResponse.reason());
    };
  }

  private <T> Optional<T> read(String body, Class<T> type) {
    try {
      return Optional.ofNullable(json.readValue(body, type));
    } catch (IOException e) {
      return Optional.empty();
    }
  }

  private void post(
      OkHttpClient client,
      String url,
      Object body,
      long timeoutMillis,
      Consumer<CallResult> onResult) {
    Request request;
    try {
      request =
          new Request.Builder()
              .url(url)
              .post(RequestBody.create(json.writeValueAsBytes(body), JSON))
              .build();
    } catch (JsonProcessingException | IllegalArgumentException e) {
      onResult.accept(new CallResult.NotSent("not a request: " + e.getMessage()));
      return;
    }
    Call call = client.newCall(request);
    call.timeout().timeout(timeoutMillis, TimeUnit.MILLISECONDS);
    call.enqueue(
        new Callback() {
          @Override
          public void onFailure(Call failed, IOException e) {
            // Only a refused connection proves that the request wasn't delivered.
            boolean connectionRefused = e instanceof ConnectException;
            String reason = e.getClass().getSimpleName() + ": " + e.getMessage();
            onResult.accept(
                connectionRefused
                    ? new CallResult.NotSent(reason)
                    : new CallResult.NoResponse(reason));
          }

          @Override
          public void onResponse(Call answered, Response response) {
            CallResult result;
            try (response) {
              result =
                  response.body().source().request(MAX_RESPONSE_BYTES + 1)
                      ? new CallResult.NoResponse(
                          "response of more than " + MAX_RESPONSE_BYTES + " bytes")
                      : new CallResult.Answered(response.body().string());
            } catch (IOException e) {
              result =
                  new CallResult.NoResponse(e.getClass().getSimpleName() + ": " + e.getMessage());
            }
            onResult.accept(result);
          }
        });
  }

  /** Result of a call. */
  private sealed interface CallResult {

    /** The runner answered. */
    record Answered(String body) implements CallResult {}

    /** The request was not delivered. */
    record NotSent(String reason) implements CallResult {}

    /** No answer arrived; the request may have been delivered. */
    record NoResponse(String reason) implements CallResult {}
  }
}
