package org.burdockbay.server.web;

/** Handles requests; called on the connection's thread, so it must not block. */
@FunctionalInterface
public interface WebHandler {

  /** Handles a request, and answers it now or later. */
  void handle(WebExchange exchange);
}
