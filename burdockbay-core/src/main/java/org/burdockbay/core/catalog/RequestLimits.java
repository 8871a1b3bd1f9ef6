package org.burdockbay.core.catalog;

/**
 * Limits on the requests of callers that a catalog sets.
 *
 * @param maxHeaderBytes maximum size of the request line and the headers together, in bytes
 * @param maxBodyBytes maximum size of the body, in bytes
 * @param headerTimeoutMillis time limit from the first byte of a request to the end of its headers,
 *     in milliseconds
 * @param idleTimeoutMillis time after which an unused connection is closed, in milliseconds
 */
public record RequestLimits(
    long maxHeaderBytes, long maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** The limits that are in force where a catalog sets none. */
  public static final RequestLimits DEFAULT =
      new RequestLimits(16 * 1024, 1024 * 1024, 10_000, 60_000);
}
