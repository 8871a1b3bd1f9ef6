package org.burdockbay.server.http;

import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Thrown when a request is rejected before it reaches the core. */
public class ApiException extends BurdockbayException {

  private static final long serialVersionUID = 1L;

  private final long retryAfterMillis;

  /** Creates an exception without a retry delay. */
  public ApiException(ErrorKind kind, String message) {
    this(kind, message, 0);
  }

  /** Creates an exception with the delay after which the caller may retry. */
  public ApiException(ErrorKind kind, String message, long retryAfterMillis) {
    super(kind, message);
    this.retryAfterMillis = retryAfterMillis;
  }

  /** Returns the delay after which to retry, in milliseconds, or 0 if there is none. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }
}
