package org.burdockbay.wire;

import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Thrown when a message or record is malformed or unknown to this version. */
public class WireException extends BurdockbayException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the undecodable part. */
  public WireException(String message) {
    super(ErrorKind.BAD_REQUEST, message);
  }

  /** Creates an exception with a cause. */
  public WireException(String message, Throwable cause) {
    super(ErrorKind.BAD_REQUEST, message, cause);
  }
}
