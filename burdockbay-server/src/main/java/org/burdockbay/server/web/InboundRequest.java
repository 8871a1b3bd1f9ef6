package org.burdockbay.server.web;

/** What a connection has received: a complete request, or one that is rejected unread. */
sealed interface InboundRequest {

  /**
   * A complete request.
   *
   * @param request the request
   * @param keepAlive whether the connection stays open after the response
   * @param reservation the memory of the body
   */
  record Complete(WebRequest request, boolean keepAlive, WebMemory.Reservation reservation)
      implements InboundRequest {}

  /**
   * A request that isn't passed to the handler; the connection is closed after the response.
   *
   * @param status the status of the response
   * @param reason why the request is rejected
   */
  record Rejected(int status, String reason) implements InboundRequest {}
}
