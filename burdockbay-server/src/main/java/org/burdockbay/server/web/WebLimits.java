package org.burdockbay.server.web;

/**
 * Limits on the requests of a listener.
 *
 * @param maxHeaderBytes maximum size of the request line and the headers together, in bytes
 * @param maxBodyBytes maximum size of the body, in bytes
 * @param headerTimeoutMillis time limit from the first byte of a request to the end of its headers,
 *     in milliseconds
 * @param idleTimeoutMillis time after which a connection is closed on which nothing is sent or
 *     received and no response is due, in milliseconds
 */
public record WebLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  private static final long DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000;
  private static final long DEFAULT_IDLE_TIMEOUT_MILLIS = 60_000;

  /** Limits for callers while no others are configured. */
  public static final WebLimits CALLERS = new WebLimits(16 * 1024, 1024 * 1024);

  /** Limits for operators and upstreams, whose documents may be large. */
  public static final WebLimits CONTROL = new WebLimits(16 * 1024, 8 * 1024 * 1024);

  /** Creates limits with the default timeouts. */
  public WebLimits(int maxHeaderBytes, int maxBodyBytes) {
    this(maxHeaderBytes, maxBodyBytes, DEFAULT_HEADER_TIMEOUT_MILLIS, DEFAULT_IDLE_TIMEOUT_MILLIS);
  }

  /** Returns these limits with a lower limit on the body, if it is lower than the present one. */
  public WebLimits withMaxBodyBytesAtMost(int bytes) {
    return new WebLimits(
        maxHeaderBytes, Math.min(maxBodyBytes, bytes), headerTimeoutMillis, idleTimeoutMillis);
  }
}
