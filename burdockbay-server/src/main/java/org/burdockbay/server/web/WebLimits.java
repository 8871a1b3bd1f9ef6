package org.burdockbay.server.web;

/**
 * Request size limits of a listener.
 *
 * @param maxHeaderBytes maximum size of the header section, in bytes
 * @param maxBodyBytes maximum size of the body, in bytes
 */
public record WebLimits(int maxHeaderBytes, int maxBodyBytes) {

  /** Limits for callers. */
  public static final WebLimits CALLERS = new WebLimits(16 * 1024, 1024 * 1024);

  /** Limits for operators and upstreams, whose documents may be large. */
  public static final WebLimits CONTROL = new WebLimits(16 * 1024, 8 * 1024 * 1024);
}
