package org.burdockbay.core.error;

/** What an {@link ErrorKind} promises about the tasks of the request that it answers. */
public enum RunGuarantee {
  /** No task of the request ran or can run, whichever host the request reached before. */
  NOT_RUN,
  /** Tasks of the request may have run, or may be running. */
  MAY_HAVE_RUN,
  /** At least one task of the request ran. */
  RAN,
  /** The request starts no task. */
  NOT_APPLICABLE
}
