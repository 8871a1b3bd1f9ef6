package org.burdockbay.core.dispatch;

/** How a job reached a dispatcher. */
public enum Arrival {
  /** The entry host has sent the job to no other dispatcher. */
  FIRST,
  /** The entry host sent the job to an earlier dispatcher, so attempts of it may exist. */
  RESENT,
  /** The dispatcher of another failure domain redirected the job; it isn't redirected again. */
  REDIRECTED
}
