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

/** Handles the requests of one inbound connection, one at a time and in order of arrival. */
final class WebConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

  private static final int BAD_REQUEST = 400;

  private final WebHandler handler;
  private final BooleanSupplier draining;
  private final AtomicInteger openRequests;
  private final EventLog log;
  private final Deque<Exchange> waitingExchanges = new ArrayDeque<>();
  private @Nullable Exchange current;

  /**
   * Creates the handler of a connection.
   *
   * @param draining whether connections are to be closed after their next response
   * @param openRequests number of requests whose responses aren't written yet
   */
  WebConnection(
      WebHandler handler, BooleanSupplier draining, AtomicInteger openRequests, EventLog log) {
    this.handler = handler;
    this.draining = draining;
    this.openRequests = openRequests;
    this.log = log;
  }

  /**
   * Closes a connection without a request in progress, once its last response is written.
   *
   * <p>Must be called on the channel's event loop.
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
    // The connection was reset; channelInactive abandons its requests.
    context.close();
  }

  private void startHandling(Exchange exchange) {
    current = exchange;
    handler.handle(exchange);
  }

  private void handleNext() {
    current = null;
    Exchange next = waitingExchanges.poll();
    if (next != null) {
      startHandling(next);
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
    public void respond(WebResponse response) {
      if (context.executor().inEventLoop()) {
        write(response);
      } else {
        context.executor().execute(() -> write(response));
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

    private void write(WebResponse response) {
      if (answered) {
        return;
      }
      answered = true;
      boolean keepOpen = keepAlive && !draining.getAsBoolean();
      var written = context.writeAndFlush(response(response, keepOpen));
      written.addListener(done -> openRequests.decrementAndGet());
      if (!keepOpen) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      if (this.equals(current)) {
        handleNext();
      }
    }

    private FullHttpResponse response(WebResponse source, boolean keepOpen) {
      byte[] body = source.body().getBytes(StandardCharsets.UTF_8);
      FullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1,
              HttpResponseStatus.valueOf(source.status()),
              Unpooled.wrappedBuffer(body));
      response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
      if (!source.contentType().isEmpty()) {
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, source.contentType());
      }
      source.headers().forEach((name, value) -> response.headers().set(name, value));
      if (!keepOpen) {
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
      }
      return response;
    }
  }
}
