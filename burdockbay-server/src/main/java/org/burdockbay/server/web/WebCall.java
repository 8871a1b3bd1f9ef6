package org.burdockbay.server.web;

import java.util.Map;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.server.settings.HostAddress;

/**
 * A request to another process.
 *
 * @param address where to send it
 * @param method the method
 * @param path path and query
 * @param body a JSON body
 * @param headers further headers
 * @param timeoutMillis longest time until the whole answer is there, in milliseconds
 */
public record WebCall(
    HostAddress address,
    String method,
    String path,
    Bytes body,
    Map<String, String> headers,
    long timeoutMillis) {

  /** Copies the headers. */
  public WebCall {
    headers = Map.copyOf(headers);
  }
}
