package org.burdockbay.server.web;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import org.burdockbay.server.logging.EventLog;
import org.jspecify.annotations.Nullable;

/** One connection of a caller; requests that arrive while one is handled wait their turn. */
final class WebConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int BAD_REQUEST = 400;

  private final WebHandler handler;
  private final BooleanSupplier draining;
  private final AtomicInteger openRequests;
  private final EventLog log;
  private final Deque<Exchange> waitingExchanges = new ArrayDeque<>();
  private @Nullable Exchange current;

  /**
   * Creates a connection.
   *
   * @param openRequests counts requests from their arrival until their answers are written
   */
  WebConnection(
      WebHandler handler, BooleanSupplier draining, AtomicInteger openRequests, EventLog log) {
    this.handler = handler;
    this.draining = draining;
    this.openRequests = openRequests;
    this.log = log;
  }

  /**
   * Closes a connection on which no request is being handled, once its last answer is written; call
   * it on the channel's loop.
   */
  static void closeIfIdle(Channel channel) {
    WebConnection connection = channel.pipeline().get(WebConnection.class);
    if (connection == null || connection.current == null) {
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    boolean keepAlive = HttpUtil.isKeepAlive(request);
    Exchange exchange = new Exchange(context, WebRequest.of(request), keepAlive);
    openRequests.incrementAndGet();
    if (request.decoderResult().isFailure()) {
      log.warn(
          "request-unreadable",
          "remote="
              + context.channel().remoteAddress()
              + " reason="
              + EventLog.quote(String.valueOf(request.decoderResult().cause())));
      exchange.keepAlive = false;
      exchange.write(WebResponse.empty(BAD_REQUEST));
    } else if (current == null) {
      startHandling(exchange);
    } else {
      waitingExchanges.add(exchange);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    openRequests.addAndGet(-waitingExchanges.size());
    waitingExchanges.clear();
    Exchange abandoned = current;
    current = null;
    if (abandoned != null) {
      abandoned.abandon();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // A reset by the caller; what was owed on the connection is abandoned when it closes.
    context.close();
  }

  private void startHandling(Exchange exchange) {
    current = exchange;
    handler.handle(exchange);
  }

  private void handleNext() {
    current = null;
    Exchange following = waitingExchanges.poll();
    if (following != null) {
      startHandling(following);
    }
  }

  private final class Exchange implements WebExchange {

    private final ChannelHandlerContext context;
    private final WebRequest request;
    private boolean keepAlive;
    private boolean answered;
    private Runnable abandonAction = () -> {};

    Exchange(ChannelHandlerContext context, WebRequest request, boolean keepAlive) {
      this.context = context;
      this.request = request;
      this.keepAlive = keepAlive;
    }

    @Override
    public WebRequest request() {
      return request;
    }

    @Override
    public void respond(WebResponse reply) {
      if (context.executor().inEventLoop()) {
        write(reply);
      } else {
        context.executor().execute(() -> write(reply));
      }
    }

    @Override
    public void onAbandoned(Runnable action) {
      abandonAction = action;
    }

    private void abandon() {
      if (!answered) {
        answered = true;
        openRequests.decrementAndGet();
        abandonAction.run();
      }
    }

    private void write(WebResponse reply) {
      if (answered) {
        return;
      }
      answered = true;
      boolean keep = keepAlive && !draining.getAsBoolean();
      var written = context.writeAndFlush(response(reply, keep));
      written.addListener(done -> openRequests.decrementAndGet());
      if (!keep) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      if (this.equals(current)) {
        handleNext();
      }
    }

    private FullHttpResponse response(WebResponse reply, boolean keep) {
      byte[] body = reply.body().getBytes(StandardCharsets.UTF_8);
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(reply.status()),
              Unpooled.wrappedBuffer(body));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      if (!reply.contentType().isEmpty()) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, reply.contentType());
      }
      reply.headers().forEach((name, value) -> response.headers().set(name, value));
      if (!keep) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      return response;
    }
  }
}
