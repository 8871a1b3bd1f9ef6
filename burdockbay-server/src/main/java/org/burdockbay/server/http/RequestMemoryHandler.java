package org.burdockbay.server.http;

import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.core.limits.MemoryBudget;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpHeaderValue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/**
 * Reserves the memory of a request's body before it is read, and rejects requests without memory.
 *
 * <p>The memory is reserved until the response is complete, as the body is kept by the job.
 */
final class RequestMemoryHandler extends Handler.Wrapper {

  private static final long RETRY_AFTER_MILLIS = 1_000;

  /** Memory of a request beside its body, in bytes. */
  private static final long REQUEST_BYTES = 4 * 1024;

  /** Number of copies of a body while it is read: its bytes, and twice its text. */
  private static final long BODY_COPIES = 3;

  private final MemoryBudget budget;
  private final long maxBodyBytes;
  private final Responder responder;

  /**
   * Creates a handler.
   *
   * @param maxBodyBytes maximum size of a body, which is reserved for a body of unknown length
   */
  RequestMemoryHandler(MemoryBudget budget, long maxBodyBytes, Responder responder) {
    this.budget = budget;
    this.maxBodyBytes = maxBodyBytes;
    this.responder = responder;
  }

  @Override
  public boolean handle(Request request, Response response, Callback callback) throws Exception {
    long bytes = REQUEST_BYTES + BODY_COPIES * bodyBytes(request);
    if (!budget.tryReserve(bytes)) {
      reject(response, callback);
      return true;
    }
    Request.addCompletionListener(request, failure -> budget.release(bytes));
    return super.handle(request, response, callback);
  }

  private long bodyBytes(Request request) {
    if (request.getHeaders().contains(HttpHeader.TRANSFER_ENCODING)) {
      return maxBodyBytes;
    }
    // Longer bodies are rejected without being read.
    long length = Math.max(0, request.getLength());
    return length > maxBodyBytes ? 0 : length;
  }

  private void reject(Response response, Callback callback) {
    ErrorKind kind = ErrorKind.OVERLOADED;
    response.setStatus(kind.httpStatus());
    response.getHeaders().put(HttpHeader.CONTENT_TYPE, Responder.PROBLEM_JSON);
    response
        .getHeaders()
        .put(HttpHeader.RETRY_AFTER, Responder.retryAfterSeconds(RETRY_AFTER_MILLIS));
    response.getHeaders().put(HttpHeader.CONNECTION, HttpHeaderValue.CLOSE);
    String problem =
        responder.problemJson(
            kind, "no memory for further requests at this host", RETRY_AFTER_MILLIS, "");
    Content.Sink.write(response, true, problem, callback);
  }
}
