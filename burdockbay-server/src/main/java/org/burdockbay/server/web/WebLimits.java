package org.burdockbay.server.web;

/**
 * Limits of a listener.
 *
 * @param maxHeaderBytes largest header section, in bytes
 * @param maxBodyBytes largest body, in bytes
 */
public record WebLimits(int maxHeaderBytes, int maxBodyBytes) {

  /** Limits for callers. */
  public static final WebLimits CALLERS = new WebLimits(16 * 1024, 1024 * 1024);

  /** Limits for operators and upstreams, whose documents may be large. */
  public static final WebLimits CONTROL = new WebLimits(16 * 1024, 8 * 1024 * 1024);
}
