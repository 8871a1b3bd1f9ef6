package org.burdockbay.server.web;

import java.util.HashMap;
import java.util.Map;

/**
 * A complete response.
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

  /** Returns a response without a body. */
  public static WebResponse empty(int status) {
    return new WebResponse(status, "", "", Map.of());
  }

  /** Returns a response with a JSON body. */
  public static WebResponse json(int status, String body) {
    return new WebResponse(status, "application/json", body, Map.of());
  }

  /** Returns a response with a plain text body. */
  public static WebResponse text(int status, String body) {
    return new WebResponse(status, "text/plain", body, Map.of());
  }

  /** Returns a copy of this response with one more header. */
  public WebResponse withHeader(String name, String value) {
    Map<String, String> extended = new HashMap<>(headers);
    extended.put(name, value);
    return new WebResponse(status, contentType, body, extended);
  }
}
