package org.burdockbay.core.error;

import java.util.Arrays;
import java.util.Optional;

/**
 * The closed list of error kinds, with the table from kind to answer.
 *
 * <p>Each kind has the HTTP status of its answer, the {@link RunGuarantee} made to the caller, and
 * whether it makes sense to come back later with the same request.
 */
public enum ErrorKind {
  /** The request is malformed. */
  BAD_REQUEST("bad-request", 400, RunGuarantee.NOT_RUN, false),
  /** The credential is missing or unknown. */
  UNAUTHENTICATED("unauthenticated", 401, RunGuarantee.NOT_RUN, false),
  /** The caller may not use the service that the job belongs to. */
  FORBIDDEN("forbidden", 403, RunGuarantee.NOT_RUN, false),
  /** No such resource is visible to the caller. */
  NOT_FOUND("not-found", 404, RunGuarantee.NOT_APPLICABLE, false),
  /** The submission was cancelled before all its tasks had finished. */
  CANCELLED("cancelled", 409, RunGuarantee.MAY_HAVE_RUN, false),
  /** The configuration changed since the version that the operator named. */
  VERSION_CONFLICT("version-conflict", 409, RunGuarantee.NOT_APPLICABLE, false),
  /** The job completed, but its answer was too large or too old to be kept. */
  ANSWER_NOT_KEPT("answer-not-kept", 410, RunGuarantee.RAN, false),
  /** The request body, a header or the number of tasks is over its limit. */
  TOO_LARGE("too-large", 413, RunGuarantee.NOT_RUN, false),
  /** The submission id was used before with other content; this request started nothing. */
  KEY_REUSED("key-reused", 422, RunGuarantee.MAY_HAVE_RUN, false),
  /** No upstream can ever run the job. */
  IMPOSSIBLE("impossible", 422, RunGuarantee.NOT_RUN, false),
  /** The configuration document is not valid. */
  INVALID_CONFIGURATION("invalid-configuration", 422, RunGuarantee.NOT_APPLICABLE, false),
  /** The caller is over its quota. */
  QUOTA_EXCEEDED("quota-exceeded", 429, RunGuarantee.NOT_RUN, true),
  /** A task failed on its upstream and no rule allows another attempt. */
  TASK_FAILED("task-failed", 502, RunGuarantee.RAN, false),
  /** A task may have run and its outcome can't be learned any more; it is not run again. */
  OUTCOME_UNKNOWN("outcome-unknown", 502, RunGuarantee.MAY_HAVE_RUN, false),
  /** The request was given up before any of its tasks started. */
  NOT_RUN("not-run", 503, RunGuarantee.NOT_RUN, true),
  /** The queue is too long for the request to be answered before its deadline. */
  OVERLOADED("overloaded", 503, RunGuarantee.NOT_RUN, true),
  /**
   * This request was refused and started nothing, but an earlier one with the same submission id
   * may have run where this host can't know it.
   */
  REFUSED("refused", 503, RunGuarantee.MAY_HAVE_RUN, true),
  /** The dispatcher of the failure domain can't be reached; an earlier attempt may be running. */
  UNAVAILABLE("unavailable", 503, RunGuarantee.MAY_HAVE_RUN, true),
  /**
   * The ledger has no quorum here, so it can't be known whether the submission ran on the other
   * side of a network partition.
   */
  LEDGER_UNAVAILABLE("ledger-unavailable", 503, RunGuarantee.MAY_HAVE_RUN, true),
  /** The deadline passed while tasks of the request were running. */
  DEADLINE_EXCEEDED("deadline-exceeded", 504, RunGuarantee.MAY_HAVE_RUN, false),
  /** A defect of this program. */
  INTERNAL("internal", 500, RunGuarantee.MAY_HAVE_RUN, false);

  private final String code;
  private final int httpStatus;
  private final RunGuarantee runGuarantee;
  private final boolean retryable;

  ErrorKind(String code, int httpStatus, RunGuarantee promise, boolean comeBack) {
    this.code = code;
    this.httpStatus = httpStatus;
    this.runGuarantee = promise;
    this.retryable = comeBack;
  }

  /** Returns the kind with the given code, if there is one. */
  public static Optional<ErrorKind> ofCode(String code) {
    return Arrays.stream(values()).filter(kind -> kind.code.equals(code)).findFirst();
  }

  /** Returns the stable name of the kind in answers, logs and messages. */
  public String code() {
    return code;
  }

  /** Returns the HTTP status of the answer. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns what the kind promises about the tasks of the request. */
  public RunGuarantee runGuarantee() {
    return runGuarantee;
  }

  /** Returns whether the answer carries a time after which the same request may come back. */
  public boolean isRetryable() {
    return retryable;
  }
}
