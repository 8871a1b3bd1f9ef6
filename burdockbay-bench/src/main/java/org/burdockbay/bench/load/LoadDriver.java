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
 * Open-loop load driver: sends each job to an entry host at its planned time, regardless of
 * outstanding answers.
 *
 * <p>Response times are measured from the planned time, which avoids coordinated omission.
 */
public final class LoadDriver {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAX_CONCURRENT_CALLS = 50_000;
  private static final long MAX_RESPONSE_MILLIS = 3_600_000;
  private static final long TIMEOUT_SECONDS = 60;

  private final List<String> hosts;
  private final String token;
  private final String runId;
  private final ObjectMapper mapper = new ObjectMapper();
  private final OkHttpClient client;
  private final ConcurrentHistogram responseTimes = new ConcurrentHistogram(MAX_RESPONSE_MILLIS, 3);
  private final Map<String, AtomicInteger> outcomes = new ConcurrentHashMap<>();
  private final AtomicInteger wrongAnswers = new AtomicInteger();

  /**
   * Creates a driver.
   *
   * @param hosts HTTP addresses of the entry hosts, as IP:PORT; jobs are sent to them in turn
   * @param token credential of the caller
   * @param runId prefix that keeps the submission ids of different runs distinct
   */
  public LoadDriver(List<String> hosts, String token, String runId) {
    this.hosts = List.copyOf(hosts);
    this.token = token;
    this.runId = runId;
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

  /** Sends all jobs of the plan and waits for the answers, up to the timeout of a call. */
  public void drive(List<Arrival> plan) throws InterruptedException {
    CountDownLatch pending = new CountDownLatch(plan.size());
    long startNanos = System.nanoTime();
    for (int i = 0; i < plan.size(); i++) {
      Arrival arrival = plan.get(i);
      long dueNanos = startNanos + Math.round(arrival.offsetMillis() * 1e6);
      while (System.nanoTime() < dueNanos) {
        LockSupport.parkNanos(dueNanos - System.nanoTime());
      }
      send(i, arrival, dueNanos, pending);
    }
    pending.await(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  /** Returns the response times of successful jobs, in milliseconds. */
  public ConcurrentHistogram responseTimes() {
    return responseTimes;
  }

  /** Returns the number of jobs by outcome. */
  public Map<String, AtomicInteger> outcomes() {
    return outcomes;
  }

  /** Returns the number of successful answers that don't match their request. */
  public int wrongAnswers() {
    return wrongAnswers.get();
  }

  private void send(int jobNumber, Arrival arrival, long dueNanos, CountDownLatch pending) {
    StringBuilder tasks = new StringBuilder();
    for (int i = 0; i < arrival.taskRunMillis().size(); i++) {
      tasks.append(i == 0 ? "" : ",");
      tasks
          .append("{\"mark\":\"")
          .append(runId)
          .append('-')
          .append(jobNumber)
          .append('-')
          .append(i);
      tasks.append("\",\"runMillis\":").append(arrival.taskRunMillis().get(i)).append('}');
    }
    String body = "{\"job\":\"" + arrival.job() + "\",\"tasks\":[" + tasks + "]}";
    Request request =
        new Request.Builder()
            .url("http://" + hosts.get(jobNumber % hosts.size()) + "/v1/jobs")
            .header("Authorization", "Bearer " + token)
            .header("Idempotency-Key", runId + "-" + jobNumber)
            .post(RequestBody.create(body, JSON))
            .build();
    client.newCall(request).enqueue(new ResponseCallback(jobNumber, arrival, dueNanos, pending));
  }

  private void countOutcome(String outcome) {
    outcomes.computeIfAbsent(outcome, name -> new AtomicInteger()).incrementAndGet();
  }

  /** Records the outcome and response time of one job and verifies its answer. */
  private final class ResponseCallback implements Callback {

    private final int jobNumber;
    private final Arrival arrival;
    private final long dueNanos;
    private final CountDownLatch pending;

    ResponseCallback(int jobNumber, Arrival arrival, long dueNanos, CountDownLatch pending) {
      this.jobNumber = jobNumber;
      this.arrival = arrival;
      this.dueNanos = dueNanos;
      this.pending = pending;
    }

    @Override
    public void onFailure(Call call, IOException e) {
      countOutcome("io-" + e.getClass().getSimpleName());
      pending.countDown();
    }

    @Override
    public void onResponse(Call call, Response response) {
      try (response) {
        JsonNode answer = mapper.readTree(response.body().string());
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
      boolean matches = answers.size() == arrival.taskRunMillis().size();
      for (int i = 0; matches && i < answers.size(); i++) {
        String mark = answers.get(i).path("echo").path("mark").asText();
        matches = mark.equals(runId + "-" + jobNumber + "-" + i);
      }
      if (!matches) {
        wrongAnswers.incrementAndGet();
      }
    }
  }
}
