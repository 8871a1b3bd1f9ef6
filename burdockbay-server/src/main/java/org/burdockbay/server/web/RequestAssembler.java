package org.burdockbay.server.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.burdockbay.core.agreement.Bytes;
import org.jspecify.annotations.Nullable;

/**
 * Assembles requests from their parts, within the limits of the listener and the memory of the
 * host.
 *
 * <p>A request over a limit is rejected as soon as that is known, and the rest of the connection is
 * discarded unread. Bodies are copied out of the network buffers, which are larger and are needed
 * for other connections.
 */
final class RequestAssembler extends ChannelInboundHandlerAdapter {

  /** Memory of a request whose head is incomplete, beside its bytes. */
  private static final long HEAD_BYTES = 16 * 1024;

  /** Number of copies of a body: the growing buffer and the final array. */
  private static final long BODY_COPIES = 2;

  private final RequestDecoder decoder;
  private final Supplier<WebLimits> limits;
  private final LongSupplier clockMillis;
  private final WebMemory memory;
  private WebMemory.Reservation reservation;
  private @Nullable HttpRequest head;
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private boolean rejected;

  /** When the first byte of an incomplete head arrived; negative if there is none. */
  private long headBegunAt = -1;

  /** When the last bytes arrived. */
  private long lastReadAt;

  /**
   * Creates an assembler.
   *
   * @param decoder the decoder of the same connection
   * @param limits the limits in force
   * @param clockMillis a monotonic clock in milliseconds
   */
  RequestAssembler(
      RequestDecoder decoder,
      Supplier<WebLimits> limits,
      WebMemory memory,
      LongSupplier clockMillis) {
    this.decoder = decoder;
    this.limits = limits;
    this.memory = memory;
    this.clockMillis = clockMillis;
    this.reservation = memory.reservation(evicted -> {});
    this.lastReadAt = clockMillis.getAsLong();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    reservation = newReservation(context);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      lastReadAt = clockMillis.getAsLong();
      if (rejected) {
        return;
      }
      if (message instanceof HttpRequest request) {
        headReceived(context, request);
      }
      if (message instanceof HttpContent content && !rejected) {
        contentReceived(context, content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    int incomplete = rejected ? 0 : decoder.incompleteHeadBytes();
    if (incomplete > 0) {
      lastReadAt = clockMillis.getAsLong();
      headBegunAt = headBegunAt < 0 ? lastReadAt : headBegunAt;
      if (!reservation.holdArriving(HEAD_BYTES + BODY_COPIES * incomplete)) {
        rejectForMemory(context);
      }
    }
    context.fireChannelReadComplete();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    reservation.release();
    context.fireChannelInactive();
  }

  /** Rejects the request that is arriving if its timeout has expired. */
  void checkTimeouts(ChannelHandlerContext context, WebLimits current) {
    long now = clockMillis.getAsLong();
    if (headBegunAt >= 0 && now - headBegunAt > current.headerTimeoutMillis()) {
      reject(context, HttpResponseStatus.REQUEST_TIMEOUT, "incomplete headers");
    } else if (head != null && now - lastReadAt > current.idleTimeoutMillis()) {
      reject(context, HttpResponseStatus.REQUEST_TIMEOUT, "incomplete body");
    }
  }

  /** Returns whether a request is arriving, or the rest of a rejected one is discarded. */
  boolean isReceiving() {
    return rejected || headBegunAt >= 0 || head != null;
  }

  /** Returns when the last bytes arrived, in milliseconds. */
  long lastReadAt() {
    return lastReadAt;
  }

  private WebMemory.Reservation newReservation(ChannelHandlerContext context) {
    return memory.reservation(
        evicted -> context.executor().execute(() -> reservationEvicted(context, evicted)));
  }

  private void reservationEvicted(ChannelHandlerContext context, WebMemory.Reservation evicted) {
    // The request may have been completed meanwhile.
    if (evicted.equals(reservation)) {
      rejectForMemory(context);
    }
  }

  private void headReceived(ChannelHandlerContext context, HttpRequest request) {
    headBegunAt = -1;
    WebLimits current = limits.get();
    if (request.decoderResult().isFailure()) {
      Throwable cause = request.decoderResult().cause();
      boolean tooLong =
          cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
      reject(
          context,
          tooLong
              ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE
              : HttpResponseStatus.BAD_REQUEST,
          String.valueOf(cause));
    } else if (decoder.lastHeadBytes() > current.maxHeaderBytes()) {
      reject(
          context,
          HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
          "head of "
              + decoder.lastHeadBytes()
              + " bytes, at most "
              + current.maxHeaderBytes()
              + " are accepted");
    } else if (HttpUtil.getContentLength(request, 0L) > current.maxBodyBytes()) {
      rejectLongBody(context, HttpUtil.getContentLength(request, 0L), current);
    } else {
      head = request;
      if (HttpUtil.is100ContinueExpected(request)) {
        context.writeAndFlush(
            new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
      }
    }
  }

  private void contentReceived(ChannelHandlerContext context, HttpContent content) {
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      reject(
          context, HttpResponseStatus.BAD_REQUEST, String.valueOf(content.decoderResult().cause()));
      return;
    }
    ByteBuf bytes = content.content();
    int size = body.size() + bytes.readableBytes();
    if (size > limits.get().maxBodyBytes()) {
      rejectLongBody(context, size, limits.get());
      return;
    }
    boolean last = content instanceof LastHttpContent;
    boolean available =
        last
            ? reservation.holdArrived(BODY_COPIES * size)
            : reservation.holdArriving(HEAD_BYTES + BODY_COPIES * size);
    if (!available) {
      rejectForMemory(context);
      return;
    }
    append(bytes);
    if (last) {
      complete(context, request);
    }
  }

  private void append(ByteBuf bytes) {
    try {
      bytes.readBytes(body, bytes.readableBytes());
    } catch (IOException e) {
      throw new IllegalStateException("can't write to memory", e);
    }
  }

  private void complete(ChannelHandlerContext context, HttpRequest request) {
    final Bytes content = Bytes.copyOf(body.toByteArray());
    final WebMemory.Reservation held = reservation;
    head = null;
    body = new ByteArrayOutputStream(0);
    reservation = newReservation(context);
    context.fireChannelRead(
        new InboundRequest.Complete(
            WebRequest.of(request, content), HttpUtil.isKeepAlive(request), held));
  }

  private void rejectLongBody(ChannelHandlerContext context, long size, WebLimits current) {
    reject(
        context,
        HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE,
        "body of " + size + " bytes, at most " + current.maxBodyBytes() + " are accepted");
  }

  private void rejectForMemory(ChannelHandlerContext context) {
    reject(context, HttpResponseStatus.SERVICE_UNAVAILABLE, "no memory for further requests");
  }

  /** Rejects the request that is arriving, and discards whatever else arrives. */
  private void reject(ChannelHandlerContext context, HttpResponseStatus status, String reason) {
    if (rejected) {
      return;
    }
    rejected = true;
    head = null;
    headBegunAt = -1;
    body = new ByteArrayOutputStream(0);
    reservation.release();
    context.fireChannelRead(new InboundRequest.Rejected(status.code(), reason));
  }
}
