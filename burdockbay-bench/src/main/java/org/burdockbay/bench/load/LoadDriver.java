package org.burdockbay.bench.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Sends a plan of arrivals to entry hosts, open loop: each job leaves at its planned time whatever
 * the answers do, and its response time counts from the planned time (no coordinated omission).
 */
public final class LoadDriver {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_CONCURRENT_CALLS = 50_000;
  private static final long MAX_RESPONSE_MILLIS = 3_600_000;
  private static final long TIMEOUT_SECONDS = 60;

  private final List<String> hosts;
  private final String token;
  private final String runId;
  private final ObjectMapper json = new ObjectMapper();
  private final OkHttpClient client;
  private final ConcurrentHistogram responseTimes = new ConcurrentHistogram(MAX_RESPONSE_MILLIS, 3);
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final AtomicInteger wrongAnswers = new AtomicInteger();

  /** Creates a driver; {@code run} makes the submission ids of this run unlike any other's. */
  public LoadDriver(List<String> hosts, String token, String run) {
    this.hosts = List.copyOf(hosts);
    this.token = token;
    this.runId = run;
    Dispatcher dispatcher = new Dispatcher(Executors.newVirtualThreadPerTaskExecutor());
    dispatcher.setMaxRequests(MAX_CONCURRENT_CALLS);
    dispatcher.setMaxRequestsPerHost(MAX_CONCURRENT_CALLS);
    this.client =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectionPool(new ConnectionPool(2_000, 20, TimeUnit.SECONDS))
            .callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .readTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build();
  }

  /** Sends the plan and waits for every answer. */
  public void drive(List<Arrival> plan) throws InterruptedException {
    CountDownLatch open = new CountDownLatch(plan.size());
    long start = System.nanoTime();
    for (int i = 0; i < plan.size(); i++) {
      Arrival arrival = plan.get(i);
      long due = start + Math.round(arrival.offsetMillis() * 1e6);
      while (System.nanoTime() < due) {
        LockSupport.parkNanos(due - System.nanoTime());
      }
      send(i, arrival, due, open);
    }
    open.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the response times of completed jobs, in milliseconds. */
  public ConcurrentHistogram responseTimes() {
    return responseTimes;
  }

  /** Returns how many jobs ended in which way. */
  public Map<String, AtomicInteger> outcomes() {
    return outcomes;
  }

  /** Returns the answers that were not those to their own request. */
  public int wrongAnswers() {
    return wrongAnswers.get();
  }

  private void send(int number, Arrival arrival, long due, CountDownLatch open) {
    StringBuilder tasks = new StringBuilder();
    for (int i = 0; i < arrival.taskRunMillis().size(); i++) {
      tasks.append(i == 0 ? "" : ",");
      tasks.append("{\"mark\":\"").append(runId).append('-').append(number).append('-').append(i);
      tasks.append("\",\"runMillis\":").append(arrival.taskRunMillis().get(i)).append('}');
    }
    String body = "{\"job\":\"" + arrival.job() + "\",\"tasks\":[" + tasks + "]}";
    Request request =
        new Request.Builder()
            .url("http://" + hosts.get(number % hosts.size()) + "/v1/jobs")
            .header("Authorization", "Bearer " + token)
            .header("Idempotency-Key", runId + "-" + number)
            .post(RequestBody.create(body, JSON))
            .build();
    client.newCall(request).enqueue(new ResponseCallback(number, arrival, due, open));
  }

  private void countOutcome(String outcome) {
    outcomes.computeIfAbsent(outcome, name -> new AtomicInteger()).incrementAndGet();
  }

  /** Checks one answer and notes its time. */
  private final class ResponseCallback implements Callback {

    private final int jobNumber;
    private final Arrival arrival;
    private final long dueNanos;
    private final CountDownLatch pending;

    ResponseCallback(int number, Arrival arrival, long due, CountDownLatch open) {
      this.jobNumber = number;
      this.arrival = arrival;
      this.dueNanos = due;
      this.pending = open;
    }

    @Override
    public void onFailure(Call call, IOException e) {
      countOutcome("io-" + e.getClass().getSimpleName());
      pending.countDown();
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        JsonNode answer = json.readTree(response.body().string());
        if (response.isSuccessful()) {
          responseTimes.recordValue(Math.max(1, (System.nanoTime() - dueNanos) / 1_000_000));
          countOutcome("completed");
          verifyAnswer(answer);
        } else {
          countOutcome(answer.path("title").asText("status-" + response.code()));
        }
      } catch (IOException e) {
        countOutcome("io-" + e.getClass().getSimpleName());
      } finally {
        pending.countDown();
      }
    }

    private void verifyAnswer(JsonNode answer) {
      JsonNode answers = answer.path("answers");
      boolean right = answers.size() == arrival.taskRunMillis().size();
      for (int i = 0; right && i < answers.size(); i++) {
        String mark = answers.get(i).path("echo").path("mark").asText();
        right = mark.equals(runId + "-" + jobNumber + "-" + i);
      }
      if (!right) {
        wrongAnswers.incrementAndGet();
      }
    }
  }
}
