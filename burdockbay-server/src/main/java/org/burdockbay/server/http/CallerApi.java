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
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.burdockbay.server.host.HostController;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.settings.HostSettings;

/** Submit, follow and cancel jobs. */
public final class CallerApi {

  /** Header with the caller's submission id. */
  public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

  /** Header with the time until which the answer is of use, in milliseconds from now. */
  public static final String DEADLINE_HEADER = "Burdockbay-Deadline-Ms";

  private static final String SUBMISSION_ID_PATTERN = "[\\x21-\\x7e]{1,200}";
  private static final long MAX_WAIT_MILLIS = 3_600_000;
  private static final long RETRY_AFTER_MILLIS = 500;

  private final HostController controller;
  private final HostSettings settings;
  private final HostMetrics metrics;
  private final Responder responder;
  private final ObjectMapper json;
  private final Clock clock;
  private final AtomicInteger waitingRequests = new AtomicInteger();

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
    JsonNode body = parseBody(context.body());
    JobRule rule = jobRule(body, caller, configuration);
    List<String> tasks = taskPayloads(body, rule);
    String key = context.header(IDEMPOTENCY_KEY_HEADER);
    boolean keyed = key != null;
    JobRequest request =
        new JobRequest(
            new SubmissionKey(
                caller.name(), keyed ? parseSubmissionId(key) : UUID.randomUUID().toString()),
            Credentials.sha256(rule.name() + "\n" + String.join("\n", tasks)),
            rule.name(),
            tasks,
            remainingMillis(context, rule),
            keyed);
    long started = clock.millis();
    CompletableFuture<JobOutcome> answer = controller.submit(request, !rule.idempotent());
    answer.thenAccept(
        outcome ->
            metrics.recordJob(caller.name(), rule.name(), outcome, clock.millis() - started));
    respond(context, request.key(), answer, waitMillis(context, request.remainingMillis()));
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

  /** Answers with the outcome, or after the wait with the address to follow. */
  private void respond(
      Context context, SubmissionKey key, CompletableFuture<JobOutcome> answer, long waitMillis)
      throws ApiException {
    if (waitingRequests.incrementAndGet() > settings.limits().maxOpenRequests()) {
      waitingRequests.decrementAndGet();
      // The submission itself goes on; only this request doesn't wait for it.
      throw new ApiException(
          ErrorKind.UNAVAILABLE, "too many requests wait at this host", RETRY_AFTER_MILLIS);
    }
    // A little longer than asked for, so that the core's own deadline answers first.
    long patience = waitMillis + settings.drainTimeoutMillis() / 10 + 500;
    boolean untilDone =
        context.queryParam("wait") == null && context.method().name().equals("POST");
    CompletableFuture<JobOutcome> limited =
        answer
            .copy()
            .orTimeout(untilDone ? patience : Math.max(1, waitMillis), TimeUnit.MILLISECONDS);
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

  /** Returns whether a follow or cancel ended because its wait was over. */
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
      var at = e.getLocation();
      String where =
          at == null ? "" : " at line " + at.getLineNr() + ", column " + at.getColumnNr();
      throw new ApiException(ErrorKind.BAD_REQUEST, "the body is not JSON" + where);
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

  private static String parseSubmissionId(String given) throws ApiException {
    boolean quoted = given.length() > 2 && given.startsWith("\"") && given.endsWith("\"");
    String id = quoted ? given.substring(1, given.length() - 1) : given;
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

  private static long waitMillis(Context context, long otherwise) throws ApiException {
    String wait = context.queryParam("wait");
    return wait == null ? otherwise : parseMillis("parameter 'wait'", wait, 0);
  }

  private static long parseMillis(String what, String text, long least) throws ApiException {
    try {
      long value = Long.parseLong(text);
      if (value >= least && value <= MAX_WAIT_MILLIS) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Reported below, with what is allowed.
    }
    throw new ApiException(
        ErrorKind.BAD_REQUEST,
        what + " is not a number of milliseconds from " + least + " to " + MAX_WAIT_MILLIS);
  }

  /** The answer while a submission runs. */
  public record Running(String submission, String status) {}
}
