package org.burdockbay.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.configuration.CallerRule;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.limits.MemoryBudget;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.burdockbay.server.host.HostController;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.settings.HostSettings;

/** HTTP routes for callers, to submit, follow and cancel jobs. */
public final class CallerApi {

  /** Header with the caller's submission id. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  /** Header with the time left until the caller's deadline, in milliseconds. */
  public static final String DEADLINE_HEADER = "Burdockbay-Deadline-Ms";

  private static final String SUBMISSION_ID_PATTERN = "[\\x21-\\x7e]{1,200}";
  private static final long MAX_WAIT_MILLIS = 3_600_000;
  private static final long RETRY_AFTER_MILLIS = 500;

  /** The part of the heap that the waiting jobs take at most, as a divisor. */
  private static final long JOB_DIVISOR = 8;

  /** Memory of a job for each character of its body. */
  private static final long JOB_BYTES_PER_CHAR = 8;

  private static final long JOB_BYTES = 2_048;

  private final HostController controller;
  private final HostSettings settings;
  private final HostMetrics metrics;
  private final Responder responder;
  private final ObjectMapper json;
  private final Clock clock;
  private final AtomicInteger waitingRequests = new AtomicInteger();
  private final MemoryBudget jobMemory =
      new MemoryBudget(Runtime.getRuntime().maxMemory() / JOB_DIVISOR);

  /** Creates the API. */
  public CallerApi(
      HostController controller,
      HostSettings settings,
      HostMetrics metrics,
      Responder responder,
      ObjectMapper json,
      Clock clock) {
    this.controller = controller;
    this.settings = settings;
    this.metrics = metrics;
    this.responder = responder;
    this.json = json;
    this.clock = clock;
    metrics.registerGauge("caller.jobs.bytes", jobMemory::usedBytes);
    metrics.registerGauge("caller.jobs.bytes-limit", jobMemory::limitBytes);
    metrics.registerGauge("caller.jobs.refused", jobMemory::refusals);
  }

  /** Adds the routes of this API. */
  public void register(RoutesConfig routes) {
    routes.post("/v1/jobs", this::submit);
    routes.get("/v1/jobs/{submission}", this::follow);
    routes.delete("/v1/jobs/{submission}", this::cancel);
  }

  private void submit(Context context) throws ApiException {
    DispatchConfiguration configuration = controller.configuration();
    if (configuration.version() == 0) {
      throw new ApiException(
          ErrorKind.UNAVAILABLE, "this host has no configuration yet", RETRY_AFTER_MILLIS);
    }
    CallerRule caller = Credentials.authenticateCaller(context, configuration);
    long bytes = reserveMemory(context.body());
    try {
      CompletableFuture<JobOutcome> pendingOutcome = submitJob(context, configuration, caller);
      pendingOutcome.whenComplete((outcome, failure) -> jobMemory.release(bytes));
    } catch (ApiException | RuntimeException | OutOfMemoryError e) {
      jobMemory.release(bytes);
      throw e;
    }
  }

  /**
   * Reserves the memory of a job, before anything is made from its body.
   *
   * @throws ApiException if the waiting jobs take too much memory
   */
  private long reserveMemory(String body) throws ApiException {
    long bytes = JOB_BYTES + JOB_BYTES_PER_CHAR * body.length();
    if (!jobMemory.tryReserve(bytes)) {
      throw new ApiException(
          ErrorKind.OVERLOADED, "no memory for further jobs at this host", RETRY_AFTER_MILLIS);
    }
    return bytes;
  }

  private CompletableFuture<JobOutcome> submitJob(
      Context context, DispatchConfiguration configuration, CallerRule caller) throws ApiException {
    JsonNode body = parseBody(context.body());
    JobRule rule = jobRule(body, caller, configuration);
    List<String> tasks = taskPayloads(body, rule);
    String key = context.header(IDEMPOTENCY_KEY_HEADER);
    boolean callerSuppliedKey = key != null;
    JobRequest request =
        new JobRequest(
            new SubmissionKey(
                caller.name(),
                callerSuppliedKey ? parseSubmissionId(key) : UUID.randomUUID().toString()),
            Credentials.sha256(rule.name() + "\n" + String.join("\n", tasks)),
            rule.name(),
            tasks,
            remainingMillis(context, rule),
            callerSuppliedKey);
    long startedAt = clock.millis();
    CompletableFuture<JobOutcome> pendingOutcome = controller.submit(request, !rule.idempotent());
    pendingOutcome.thenAccept(
        outcome ->
            metrics.recordJob(caller.name(), rule.name(), outcome, clock.millis() - startedAt));
    respond(context, request.key(), pendingOutcome, waitMillis(context, request.remainingMillis()));
    return pendingOutcome;
  }

  private void follow(Context context) throws ApiException {
    SubmissionKey key = submissionKey(context);
    long wait = waitMillis(context, 0);
    respond(context, key, controller.follow(key, wait), wait);
  }

  private void cancel(Context context) throws ApiException {
    SubmissionKey key = submissionKey(context);
    long wait = waitMillis(context, 0);
    respond(context, key, controller.cancel(key, wait), wait);
  }

  /**
   * Responds with the outcome, or with the path to follow if there is none within the wait time.
   */
  private void respond(
      Context context,
      SubmissionKey key,
      CompletableFuture<JobOutcome> pendingOutcome,
      long waitMillis)
      throws ApiException {
    if (waitingRequests.incrementAndGet() > settings.limits().maxOpenRequests()) {
      waitingRequests.decrementAndGet();
      // The submission continues; only this request doesn't wait for its outcome.
      throw new ApiException(
          ErrorKind.UNAVAILABLE, "too many requests wait at this host", RETRY_AFTER_MILLIS);
    }
    // Exceeds the requested time, so that the core's own deadline takes effect first.
    long responseTimeoutMillis = waitMillis + settings.drainTimeoutMillis() / 10 + 500;
    boolean awaitsOutcome =
        context.queryParam("wait") == null && context.method().name().equals("POST");
    CompletableFuture<JobOutcome> limited =
        pendingOutcome
            .copy()
            .orTimeout(
                awaitsOutcome ? responseTimeoutMillis : Math.max(1, waitMillis),
                TimeUnit.MILLISECONDS);
    context.future(
        () ->
            limited.handle(
                (outcome, failure) -> {
                  waitingRequests.decrementAndGet();
                  writeOutcome(context, key, outcome, failure);
                  return null;
                }));
  }

  private void writeOutcome(
      Context context, SubmissionKey key, JobOutcome outcome, Throwable failure) {
    if (outcome != null && !isStillRunning(context, outcome)) {
      responder.writeOutcome(context, key, outcome);
    } else if (failure == null || failure instanceof TimeoutException || isTimeout(failure)) {
      context.header("Location", "/v1/jobs/" + key.submission());
      responder.writeJson(context, 202, new Running(key.submission(), "running"));
    } else {
      responder.writeProblem(context, ErrorKind.INTERNAL, failure.toString(), 0, key.submission());
    }
  }

  private static boolean isTimeout(Throwable failure) {
    return failure.getCause() instanceof TimeoutException;
  }

  /** Returns whether a follow or cancel request ended because its wait time elapsed. */
  private static boolean isStillRunning(Context context, JobOutcome outcome) {
    return !context.method().name().equals("POST")
        && outcome instanceof JobOutcome.Failed failed
        && failed.kind() == ErrorKind.UNAVAILABLE;
  }

  private SubmissionKey submissionKey(Context context) throws ApiException {
    CallerRule caller = Credentials.authenticateCaller(context, controller.configuration());
    return new SubmissionKey(caller.name(), parseSubmissionId(context.pathParam("submission")));
  }

  private JsonNode parseBody(String body) throws ApiException {
    JsonNode node;
    try {
      node = json.readTree(body);
    } catch (JsonProcessingException e) {
      var location = e.getLocation();
      String position =
          location == null
              ? ""
              : " at line " + location.getLineNr() + ", column " + location.getColumnNr();
      throw new ApiException(ErrorKind.BAD_REQUEST, "the body is not JSON" + position);
    }
    if (node == null || !node.isObject()) {
      throw new ApiException(ErrorKind.BAD_REQUEST, "the body is not a JSON object");
    }
    var unknown =
        node.properties().stream()
            .map(java.util.Map.Entry::getKey)
            .filter(field -> !field.equals("job") && !field.equals("tasks"))
            .findFirst();
    if (unknown.isPresent()) {
      throw new ApiException(
          ErrorKind.BAD_REQUEST, "unknown field '" + unknown.get() + "'; known are job, tasks");
    }
    return node;
  }

  private static JobRule jobRule(
      JsonNode body, CallerRule caller, DispatchConfiguration configuration) throws ApiException {
    JsonNode job = body.path("job");
    if (!job.isTextual()) {
      throw new ApiException(ErrorKind.BAD_REQUEST, "field 'job' is not a text");
    }
    JobRule rule =
        configuration
            .job(job.asText())
            .orElseThrow(
                () ->
                    new ApiException(
                        ErrorKind.IMPOSSIBLE, "there is no job '" + job.asText() + "'"));
    if (!caller.services().contains(rule.service())) {
      throw new ApiException(
          ErrorKind.FORBIDDEN, "the caller may not use service " + rule.service());
    }
    return rule;
  }

  private static List<String> taskPayloads(JsonNode body, JobRule rule) throws ApiException {
    JsonNode tasks = body.path("tasks");
    if (!tasks.isArray() || tasks.isEmpty()) {
      throw new ApiException(ErrorKind.BAD_REQUEST, "field 'tasks' is not a list with a task");
    }
    if (tasks.size() > rule.maxTasks()) {
      throw new ApiException(
          ErrorKind.TOO_LARGE,
          tasks.size() + " tasks; job " + rule.name() + " takes at most " + rule.maxTasks());
    }
    List<String> payloads = new ArrayList<>(tasks.size());
    tasks.forEach(task -> payloads.add(task.toString()));
    return payloads;
  }

  private static String parseSubmissionId(String text) throws ApiException {
    boolean quoted = text.length() > 2 && text.startsWith("\"") && text.endsWith("\"");
    String id = quoted ? text.substring(1, text.length() - 1) : text;
    if (!id.matches(SUBMISSION_ID_PATTERN)) {
      throw new ApiException(
          ErrorKind.BAD_REQUEST,
          "header "
              + IDEMPOTENCY_KEY_HEADER
              + " is not 1 to 200 printable characters without blanks");
    }
    return id;
  }

  private static long remainingMillis(Context context, JobRule rule) throws ApiException {
    String header = context.header(DEADLINE_HEADER);
    return header == null
        ? rule.deadlineMillis()
        : Math.min(rule.deadlineMillis(), parseMillis("header " + DEADLINE_HEADER, header, 1));
  }

  private static long waitMillis(Context context, long defaultMillis) throws ApiException {
    String wait = context.queryParam("wait");
    return wait == null ? defaultMillis : parseMillis("parameter 'wait'", wait, 0);
  }

  private static long parseMillis(String source, String text, long minMillis) throws ApiException {
    try {
      long value = Long.parseLong(text);
      if (value >= minMillis && value <= MAX_WAIT_MILLIS) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, together with the valid range.
    }
    throw new ApiException(
        ErrorKind.BAD_REQUEST,
        source + " is not a number of milliseconds from " + minMillis + " to " + MAX_WAIT_MILLIS);
  }

  /** Response body while a submission is running. */
  public record Running(String submission, String status) {}
}
