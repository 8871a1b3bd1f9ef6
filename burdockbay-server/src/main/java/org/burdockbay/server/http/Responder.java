package org.burdockbay.server.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import java.util.LinkedHashMap;
import java.util.Map;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.SubmissionKey;

/** Writes responses: JSON, and problem details (RFC 9457) for errors. */
public final class Responder {

  /** Media type of problem details. */
  static final String PROBLEM_JSON = "application/problem+json";

  private static final String PROBLEM_TYPE = "urn:burdockbay:error:";
  private static final long MILLIS_PER_SECOND = 1000;

  private final ObjectMapper json;

  /** Creates a responder. */
  public Responder(ObjectMapper json) {
    this.json = json;
  }

  /** Writes a value as JSON. */
  public void writeJson(Context context, int status, Object value) {
    context.status(status).contentType("application/json").result(toJson(value));
  }

  /** Writes the final outcome of a submission. */
  public void writeOutcome(Context context, SubmissionKey key, JobOutcome outcome) {
    switch (outcome) {
      case JobOutcome.Completed completed ->
          // The answers are JSON already and are written unchanged.
          context
              .status(200)
              .contentType("application/json")
              .result(
                  "{\"submission\":"
                      + toJson(key.submission())
                      + ",\"status\":\"completed\",\"answers\":["
                      + String.join(",", completed.answers())
                      + "]}");
      case JobOutcome.Failed failed ->
          writeProblem(
              context, failed.kind(), failed.detail(), failed.retryAfterMillis(), key.submission());
    }
  }

  /**
   * Writes an error as problem details.
   *
   * @param retryAfterMillis delay after which to retry, in milliseconds; 0 if there is none
   * @param submission id of the submission; empty if there is none
   */
  public void writeProblem(
      Context context, ErrorKind kind, String detail, long retryAfterMillis, String submission) {
    if (retryAfterMillis > 0) {
      context.header("Retry-After", retryAfterSeconds(retryAfterMillis));
    }
    context
        .status(kind.httpStatus())
        .contentType(PROBLEM_JSON)
        .result(problemJson(kind, detail, retryAfterMillis, submission));
  }

  /** Returns the problem details of an error as JSON. */
  String problemJson(ErrorKind kind, String detail, long retryAfterMillis, String submission) {
    Map<String, Object> problem = new LinkedHashMap<>();
    problem.put("type", PROBLEM_TYPE + kind.code());
    problem.put("title", kind.code());
    problem.put("status", kind.httpStatus());
    problem.put("detail", detail);
    problem.put("promise", kind.runGuarantee().name().toLowerCase(java.util.Locale.ROOT));
    if (!submission.isEmpty()) {
      problem.put("submission", submission);
    }
    if (retryAfterMillis > 0) {
      problem.put("retryAfterMillis", retryAfterMillis);
    }
    return toJson(problem);
  }

  /** Returns the value of the {@code Retry-After} header: the given time in seconds, rounded up. */
  static String retryAfterSeconds(long millis) {
    return Long.toString((millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }

  private String toJson(Object value) {
    try {
      return json.writeValueAsString(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value can't be written as JSON: " + value.getClass(), e);
    }
  }
}
