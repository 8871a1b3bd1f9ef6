package org.burdockbay.core.lease;

import org.burdockbay.core.work.RunId;

/**
 * The end of a run, which an upstream lists until it is acknowledged.
 *
 * @param number number of the end within the upstream's instance, from 1
 * @param run the run that ended
 * @param cause how it ended
 */
public record RunEnd(long number, RunId run, Cause cause) {

  /** How a run ended. */
  public enum Cause {
    /** The run completed its task. */
    DONE,
    /** The run failed, through its own fault or the upstream's. */
    FAILED,
    /** The run was stopped by an order, its lease expired, or other runs of its group ended. */
    CUT_SHORT
  }
}
