package org.burdockbay.server.web;

import java.util.HashMap;
import java.util.Map;

/**
 * A whole answer.
 *
 * @param status the status code
 * @param contentType media type of the body; empty if there is no body
 * @param body the body
 * @param headers further headers
 */
public record WebResponse(
    int status, String contentType, String body, Map<String, String> headers) {

  /** Copies the headers. */
  public WebResponse {
    headers = Map.copyOf(headers);
  }

  /** Returns an answer without a body. */
  public static WebResponse empty(int status) {
    return new WebResponse(status, "", "", Map.of());
  }

  /** Returns an answer with a JSON body. */
  public static WebResponse json(int status, String body) {
    return new WebResponse(status, "application/json", body, Map.of());
  }

  /** Returns an answer with a plain text body. */
  public static WebResponse text(int status, String body) {
    return new WebResponse(status, "text/plain", body, Map.of());
  }

  /** Returns this answer with one more header. */
  public WebResponse withHeader(String name, String value) {
    Map<String, String> more = new HashMap<>(headers);
    more.put(name, value);
    return new WebResponse(status, contentType, body, more);
  }
}
