package org.burdockbay.server.http;

import org.burdockbay.core.error.ErrorKind;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.Callback;

/** Completes the responses in flight while the server stops, and rejects new requests. */
final class GracefulStopHandler extends GracefulHandler {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  private final Responder responder;

  GracefulStopHandler(Responder responder) {
    this.responder = responder;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    if (!isShutdown()) {
      return super.handle(request, response, callback);
    }
    ErrorKind kind = ErrorKind.REFUSED;
    response.setStatus(kind.httpStatus());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, Responder.PROBLEM_JSON);
    response
        .getHeaders()
        .put(HttpHeader.RETRY_AFTER, Responder.retryAfterSeconds(RETRY_AFTER_MILLIS));
    response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    String problem = responder.problemJson(kind, "this host is stopping", RETRY_AFTER_MILLIS, "");
    Content.Sink.write(response, true, problem, callback);
    return true;
  }
}
