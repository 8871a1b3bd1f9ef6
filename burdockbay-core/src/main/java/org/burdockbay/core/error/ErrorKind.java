package org.burdockbay.core.error;

import java.util.Arrays;
import java.util.Optional;

/**
 * The closed set of error kinds, with the response to each.
 *
 * <p>Each kind defines the HTTP status of the response, the {@link RunGuarantee} given to the
 * caller, and whether the same request may succeed later.
 */
public enum ErrorKind {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400, RunGuarantee.NOT_RUN, false),
  /** The credential is missing or unknown. */
  UNAUTHENTICATED("unauthenticated", 401, RunGuarantee.NOT_RUN, false),
  /** The caller has no permission for the service of the job. */
  FORBIDDEN("forbidden", 403, RunGuarantee.NOT_RUN, false),
  /** The resource doesn't exist or is not visible to the caller. */
  NOT_FOUND("not-found", 404, RunGuarantee.NOT_APPLICABLE, false),
  /** The submission was cancelled before all its tasks had finished. */
  CANCELLED("cancelled", 409, RunGuarantee.MAY_HAVE_RUN, false),
  /** The configuration changed after the version on which the change is based. */
  VERSION_CONFLICT("version-conflict", 409, RunGuarantee.NOT_APPLICABLE, false),
  /** The job completed, but its answer was too large or too old to be retained. */
  ANSWER_NOT_KEPT("answer-not-kept", 410, RunGuarantee.RAN, false),
  /** The request body, a header or the number of tasks exceeds its limit. */
  TOO_LARGE("too-large", 413, RunGuarantee.NOT_RUN, false),
  /** The submission id was used before with different content; this request started no task. */
  KEY_REUSED("key-reused", 422, RunGuarantee.MAY_HAVE_RUN, false),
  /** No upstream can ever run the job. */
  IMPOSSIBLE("impossible", 422, RunGuarantee.NOT_RUN, false),
  /** The configuration document is not valid. */
  INVALID_CONFIGURATION("invalid-configuration", 422, RunGuarantee.NOT_APPLICABLE, false),
  /** The caller has exceeded its quota. */
  QUOTA_EXCEEDED("quota-exceeded", 429, RunGuarantee.NOT_RUN, true),
  /** A task failed on its upstream and may not be attempted again. */
  TASK_FAILED("task-failed", 502, RunGuarantee.RAN, false),
  /** A task may have run, but its outcome can't be determined; it is not run again. */
  OUTCOME_UNKNOWN("outcome-unknown", 502, RunGuarantee.MAY_HAVE_RUN, false),
  /** The request was abandoned before any of its tasks started. */
  NOT_RUN("not-run", 503, RunGuarantee.NOT_RUN, true),
  /** The queue is too long for the request to be answered before its deadline. */
  OVERLOADED("overloaded", 503, RunGuarantee.NOT_RUN, true),
  /**
   * This request was rejected and started no task, but an earlier one with the same submission id
   * may have run without being known to this host.
   */
  REFUSED("refused", 503, RunGuarantee.MAY_HAVE_RUN, true),
  /** The dispatcher of the failure domain is unreachable; an earlier attempt may be running. */
  UNAVAILABLE("unavailable", 503, RunGuarantee.MAY_HAVE_RUN, true),
  /**
   * The ledger has no quorum on this side of a network partition, so the submission may have run on
   * the other side.
   */
  LEDGER_UNAVAILABLE("ledger-unavailable", 503, RunGuarantee.MAY_HAVE_RUN, true),
  /** The deadline passed while tasks of the request were running. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504, RunGuarantee.MAY_HAVE_RUN, false),
  /** A defect in this software. */
  INTERNAL("internal", 500, RunGuarantee.MAY_HAVE_RUN, false);

  private final String code;
  private final int httpStatus;
  private final RunGuarantee runGuarantee;
  private final boolean retryable;

  ErrorKind(String code, int httpStatus, RunGuarantee runGuarantee, boolean retryable) {
    this.code = code;
    this.httpStatus = httpStatus;
    this.runGuarantee = runGuarantee;
    this.retryable = retryable;
  }

  /** Returns the kind with the given code, or empty if there is none. */
  public static Optional<ErrorKind> ofCode(String code) {
    return Arrays.stream(values()).filter(kind -> kind.code.equals(code)).findFirst();
  }

  /** Returns the stable identifier of the kind in responses, logs and messages. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status of the response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns the guarantee about the execution of the tasks of the request. */
  public RunGuarantee runGuarantee() {
    return runGuarantee;
  }

  /** Returns whether the same request may be sent again; the response then contains a delay. */
  public boolean isRetryable() {
    return retryable;
  }
}
