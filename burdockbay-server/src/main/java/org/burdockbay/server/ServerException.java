package org.burdockbay.server;

import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.jspecify.annotations.Nullable;

/** Base class of the checked exceptions of the server. */
public class ServerException extends BurdockbayException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception; the message names the setting, file or address at fault. */
  public ServerException(String message) {
    super(ErrorKind.INTERNAL, message);
  }

  /** Creates an exception with its cause. */
  public ServerException(String message, @Nullable Throwable cause) {
    super(ErrorKind.INTERNAL, message, cause);
  }
}
