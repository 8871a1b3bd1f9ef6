package org.burdockbay.server.web;

/** Handles requests on the connection's thread; implementations must not block. */
@FunctionalInterface
public interface WebHandler {

  /** Handles a request; the response may be sent after this method has returned. */
  void handle(WebExchange exchange);
}
