package org.burdockbay.core.catalog;

import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Thrown when a catalog is invalid or corrupt and can't be put in force. */
public final class CatalogException extends BurdockbayException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the faulty field. */
  public CatalogException(String message) {
    super(ErrorKind.INVALID_CONFIGURATION, message);
  }

  /** Creates an exception with the given message and cause. */
  public CatalogException(String message, Throwable cause) {
    super(ErrorKind.INVALID_CONFIGURATION, message, cause);
  }
}
