package org.burdockbay.server.web;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import org.burdockbay.server.logging.EventLog;
import org.jspecify.annotations.Nullable;

/** Handles the requests of one inbound connection, one at a time and in order of arrival. */
final class WebConnection extends SimpleChannelInboundHandler<InboundRequest> {

  /** Maximum number of requests that wait for the response to an earlier one. */
  static final int MAX_WAITING_REQUESTS = 64;

  /** Size up to which a response is sent without a reservation of memory, in bytes. */
  private static final int SMALL_RESPONSE_BYTES = 2_048;

  /**
   * Time for which a rejected request is still read after its response, in milliseconds; a reset of
   * the connection could discard the response before the other end reads it.
   */
  private static final long LINGER_MILLIS = 1_000;

  private static final int UNAVAILABLE = 503;

  private final WebHandler handler;
  private final BooleanSupplier draining;
  private final AtomicInteger openRequests;
  private final RequestAssembler assembler;
  private final WebMemory memory;
  private final LongSupplier clockMillis;
  private final EventLog log;
  private final Deque<Exchange> waitingExchanges = new ArrayDeque<>();
  private @Nullable Exchange current;
  private boolean rejecting;
  private long unsentBytes;

  /** When bytes were last sent while others were left, in milliseconds. */
  private long lastSentAt;

  /**
   * Creates the handler of a connection.
   *
   * @param draining whether connections are to be closed after their next response
   * @param openRequests number of requests whose responses aren't written yet
   * @param assembler the preceding handler of the connection
   * @param clockMillis a monotonic clock in milliseconds
   */
  WebConnection(
      WebHandler handler,
      BooleanSupplier draining,
      AtomicInteger openRequests,
      RequestAssembler assembler,
      WebMemory memory,
      LongSupplier clockMillis,
      EventLog log) {
    this.handler = handler;
    this.draining = draining;
    this.openRequests = openRequests;
    this.assembler = assembler;
    this.memory = memory;
    this.clockMillis = clockMillis;
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

  /**
   * Closes a connection whose timeout has expired, or rejects its request.
   *
   * <p>Must be called on the channel's event loop.
   */
  static void checkTimeouts(Channel channel, WebLimits limits) {
    ChannelHandlerContext context = channel.pipeline().context(RequestAssembler.class);
    WebConnection connection = channel.pipeline().get(WebConnection.class);
    if (context == null || connection == null) {
      return;
    }
    connection.assembler.checkTimeouts(context, limits);
    long now = connection.clockMillis.getAsLong();
    if (connection.hasUnsentResponse(channel, now)) {
      if (now - connection.lastSentAt > limits.idleTimeoutMillis()) {
        connection.log.warn("response-unread", "remote=" + channel.remoteAddress());
        channel.close();
      }
    } else if (!connection.assembler.isReceiving()
        && connection.isIdle()
        && now - connection.lastUsedAt() > limits.idleTimeoutMillis()) {
      channel.close();
    }
  }

  /** Returns whether the connection has neither a request nor a response in progress. */
  boolean isIdle() {
    return current == null && !rejecting;
  }

  /** Returns when bytes last arrived or were sent, in milliseconds. */
  long lastUsedAt() {
    return Math.max(assembler.lastReadAt(), lastSentAt);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, InboundRequest inbound) {
    switch (inbound) {
      case InboundRequest.Complete complete -> received(context, complete);
      case InboundRequest.Rejected rejected -> reject(context, rejected);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (context.channel().isWritable() && current == null) {
      handleNext(context);
    }
    context.fireChannelWritabilityChanged();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    releaseWaiting();
    Exchange abandoned = current;
    current = null;
    if (abandoned != null) {
      abandoned.abandon();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    // The connection was reset; channelInactive abandons its requests.
    if (cause instanceof Error) {
      log.error("connection-failed", "remote=" + context.channel().remoteAddress(), cause);
    }
    context.close();
  }

  private void received(ChannelHandlerContext context, InboundRequest.Complete complete) {
    Exchange exchange =
        new Exchange(context, complete.request(), complete.keepAlive(), complete.reservation());
    openRequests.incrementAndGet();
    if (current == null && context.channel().isWritable()) {
      startHandling(exchange);
    } else {
      waitingExchanges.add(exchange);
      if (waitingExchanges.size() > MAX_WAITING_REQUESTS) {
        log.warn(
            "requests-pipelined",
            "remote=" + context.channel().remoteAddress() + " waiting=" + waitingExchanges.size());
        context.close();
      }
    }
  }

  private void reject(ChannelHandlerContext context, InboundRequest.Rejected rejected) {
    log.warn(
        "request-rejected",
        "remote="
            + context.channel().remoteAddress()
            + " status="
            + rejected.status()
            + " reason="
            + EventLog.quote(rejected.reason()));
    rejecting = true;
    // Requests that wait get no response, as the connection is closed.
    releaseWaiting();
    if (current == null) {
      writeRejection(context, rejected);
    } else {
      // The response to the request in progress comes first.
      current.afterResponse = () -> writeRejection(context, rejected);
    }
  }

  private void releaseWaiting() {
    waitingExchanges.forEach(waiting -> waiting.reservation.release());
    openRequests.addAndGet(-waitingExchanges.size());
    waitingExchanges.clear();
  }

  private void writeRejection(ChannelHandlerContext context, InboundRequest.Rejected rejected) {
    WebResponse response = WebResponse.text(rejected.status(), rejected.reason() + "\n");
    if (rejected.status() == UNAVAILABLE) {
      response = response.withHeader("Retry-After", "1");
    }
    context
        .writeAndFlush(encode(response, false, true))
        .addListener((ChannelFuture written) -> closeAfterLinger(context));
  }

  private static void closeAfterLinger(ChannelHandlerContext context) {
    if (context.channel() instanceof SocketChannel socket) {
      socket.shutdownOutput();
    }
    context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void startHandling(Exchange exchange) {
    current = exchange;
    handler.handle(exchange);
  }

  private void handleNext(ChannelHandlerContext context) {
    current = null;
    if (context.channel().isWritable()) {
      Exchange next = waitingExchanges.poll();
      if (next != null) {
        startHandling(next);
      }
    }
  }

  private boolean hasUnsentResponse(Channel channel, long now) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    long unsent = buffer == null ? 0 : buffer.totalPendingWriteBytes();
    if (unsent == 0 || unsent != unsentBytes) {
      unsentBytes = unsent;
      lastSentAt = unsent == 0 ? lastSentAt : now;
    }
    return unsent > 0;
  }

  private static FullHttpResponse encode(WebResponse source, boolean keepOpen, boolean hasBody) {
    byte[] body = source.body().getBytes(StandardCharsets.UTF_8);
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(source.status()),
            hasBody ? Unpooled.wrappedBuffer(body) : Unpooled.EMPTY_BUFFER);
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

  private final class Exchange implements WebExchange {

    private final ChannelHandlerContext context;
    private final WebMemory.Reservation reservation;
    private final boolean keepAlive;
    private WebRequest request;
    private boolean answered;
    private Runnable abandonAction = () -> {};
    private Runnable afterResponse = () -> {};

    Exchange(
        ChannelHandlerContext context,
        WebRequest request,
        boolean keepAlive,
        WebMemory.Reservation reservation) {
      this.context = context;
      this.request = request;
      this.keepAlive = keepAlive;
      this.reservation = reservation;
    }

    @Override
    public WebRequest request() {
      return request;
    }

    @Override
    public void releaseContent() {
      request = request.withoutContent();
      reservation.release();
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
        releaseContent();
        abandonAction.run();
      }
    }

    private void write(WebResponse response) {
      if (answered) {
        return;
      }
      answered = true;
      releaseContent();
      boolean keepOpen = keepAlive && !draining.getAsBoolean() && !rejecting;
      ChannelFuture written = writeWithinMemory(response, keepOpen || rejecting);
      written.addListener(done -> openRequests.decrementAndGet());
      lastSentAt = clockMillis.getAsLong();
      if (!keepOpen && !rejecting) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
      if (this.equals(current)) {
        handleNext(context);
      }
      afterResponse.run();
    }

    /** Writes the response, or one without a body if too many responses are unsent. */
    private ChannelFuture writeWithinMemory(WebResponse response, boolean keepOpen) {
      int bytes = response.body().length();
      boolean hasBody = !request.method().equals("HEAD");
      if (bytes <= SMALL_RESPONSE_BYTES) {
        return context.writeAndFlush(encode(response, keepOpen, hasBody));
      }
      if (!memory.responses().tryReserve(bytes)) {
        log.warn("response-refused", "path=" + request.path() + " bytes=" + bytes);
        return context.writeAndFlush(
            encode(
                WebResponse.empty(UNAVAILABLE).withHeader("Retry-After", "1"), keepOpen, hasBody));
      }
      ChannelFuture written = context.writeAndFlush(encode(response, keepOpen, hasBody));
      written.addListener(done -> memory.responses().release(bytes));
      return written;
    }
  }
}
