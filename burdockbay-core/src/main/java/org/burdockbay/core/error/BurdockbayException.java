package org.burdockbay.core.error;

import org.jspecify.annotations.Nullable;

/** Base class of the checked exceptions of all modules. */
public class BurdockbayException extends Exception {

  private static final long serialVersionUID = 1L;

  private final ErrorKind kind;

  /** Creates an exception of the given kind. The message should name the faulty element. */
  public BurdockbayException(ErrorKind kind, String message) {
    this(kind, message, null);
  }

  /** Creates an exception of the given kind with the given cause. */
  public BurdockbayException(ErrorKind kind, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.kind = kind;
  }

  /** Returns the kind, which determines the reply to the request. */
  public ErrorKind kind() {
    return kind;
  }
}
