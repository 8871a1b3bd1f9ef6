package org.burdockbay.core.statechart;

import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Thrown when a statechart is missing, unreadable or invalid. */
public class StateChartException extends BurdockbayException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception whose message names the resource and, where known, the line. */
  public StateChartException(String message) {
    super(ErrorKind.INTERNAL, message);
  }
}
