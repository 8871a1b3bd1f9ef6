package org.burdockbay.core.error;

/**
 * Guarantee about the execution of the tasks of a request that failed with an {@link ErrorKind}.
 */
public enum RunGuarantee {
  /** No task of the request ran or will run, whichever hosts the request reached. */
  NOT_RUN,
  /** Tasks of the request may have run or may be running. */
  MAY_HAVE_RUN,
  /** At least one task of the request ran. */
  RAN,
  /** The request is of a kind that starts no tasks. */
  NOT_APPLICABLE
}
