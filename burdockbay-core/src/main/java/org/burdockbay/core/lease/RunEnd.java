package org.burdockbay.core.lease;

import org.burdockbay.core.work.RunId;

/**
 * One end that an upstream lists until it is acknowledged.
 *
 * @param number its number in the upstream's life, from 1
 * @param run what ended
 * @param cause how it ended
 */
public record RunEnd(long number, RunId run, Cause cause) {

  /** How a run ended. */
  public enum Cause {
    /** It finished its work. */
    DONE,
    /** It failed, through its own fault or the upstream's. */
    FAILED,
    /** It was stopped on order, or its lease ran out, or others of its group ended. */
    CUT_SHORT
  }
}
