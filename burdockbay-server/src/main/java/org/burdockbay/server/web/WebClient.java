package org.burdockbay.server.web;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.limits.MemoryBudget;
import org.burdockbay.server.settings.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * Calls other processes over persistent connections.
 *
 * <p>All state is confined to one event loop. A connection carries one call at a time. A call that
 * times out closes its connection, since the connection may no longer deliver anything, and a late
 * response must not be taken for the response to the next call.
 */
public final class WebClient {

  private static final int DEFAULT_MAX_RESPONSE_BYTES = 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** The part of the heap that arriving responses take at most, as a divisor. */
  public static final long RESPONSE_DIVISOR = 12;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<HostAddress, Endpoint> endpoints = new HashMap<>();
  private final Map<ConnectReason, Counter> connectionsByReason =
      new EnumMap<>(ConnectReason.class);

  /** Creates a client on one of the given loops, with the default limit on responses. */
  public WebClient(EventLoopGroup loops, MetricRegistry registry) {
    this(loops, registry, DEFAULT_MAX_RESPONSE_BYTES);
  }

  /**
   * Creates a client on one of the given loops.
   *
   * @param registry registry of the counters of new connections
   * @param maxResponseBytes maximum size of a response's body, in bytes; a call whose response is
   *     larger fails
   */
  public WebClient(EventLoopGroup loops, MetricRegistry registry, int maxResponseBytes) {
    for (ConnectReason reason : ConnectReason.values()) {
      String name = reason.name().toLowerCase(Locale.ROOT);
      connectionsByReason.put(reason, registry.counter("upstream.connections." + name));
    }
    MemoryBudget responses = new MemoryBudget(Runtime.getRuntime().maxMemory() / RESPONSE_DIVISOR);
    registry.gauge("upstream.response.bytes", () -> (Gauge<Long>) responses::usedBytes);
    registry.gauge("upstream.response.refused", () -> (Gauge<Long>) responses::refusals);
    this.loop = loops.next();
    this.bootstrap =
        new Bootstrap()
            .group(loop)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(new ByteCounter())
                        .addLast(new HttpResponseDecoder())
                        .addLast(new ResponseMemoryHandler(responses))
                        .addLast(new HttpObjectAggregator(maxResponseBytes, true))
                        .addLast(new Connection());
                  }
                });
  }

  /**
   * Sends a request.
   *
   * @param meter counts the call
   * @param callback called once, on the event loop, with the response, or with empty if the call
   *     failed or timed out
   */
  public void call(
      WebClientRequest request, CallMeter meter, Consumer<Optional<WebClientResponse>> callback) {
    PendingCall pending = new PendingCall(request, meter, callback);
    if (loop.inEventLoop()) {
      startCallSafely(pending);
    } else {
      loop.execute(() -> startCallSafely(pending));
    }
  }

  /** Closes the idle connections to an address. */
  public void closeIdleConnections(HostAddress address) {
    loop.execute(
        () -> {
          Endpoint endpoint = endpoints.remove(address);
          if (endpoint != null) {
            endpoint.idleConnections.forEach(connection -> connection.channel().close());
          }
        });
  }

  /** Starts a call, or completes it as failed; an error here would leave its caller waiting. */
  private void startCallSafely(PendingCall pending) {
    try {
      startCall(pending);
    } catch (RuntimeException | OutOfMemoryError e) {
      pending.complete(Optional.empty());
    }
  }

  private void startCall(PendingCall pending) {
    pending.meter.callStarted();
    pending.timer =
        loop.schedule(pending::timedOut, pending.request.timeoutMillis(), TimeUnit.MILLISECONDS);
    Endpoint endpoint =
        endpoints.computeIfAbsent(pending.request.head().address(), address -> new Endpoint());
    Connection connection = endpoint.idleConnections.pollLast();
    if (connection != null) {
      connection.send(pending);
    } else {
      connect(pending, endpoint);
    }
  }

  private void connect(PendingCall pending, Endpoint endpoint) {
    connectionsByReason.get(endpoint.nextConnectReason).inc();
    endpoint.nextConnectReason = ConnectReason.BUSY;
    bootstrap
        .connect(pending.request.head().address().toSocketAddress())
        .addListener(
            (ChannelFuture attempt) -> {
              if (!attempt.isSuccess()) {
                endpoint.nextConnectReason = ConnectReason.FAILED;
                pending.complete(Optional.empty());
              } else if (pending.completed) {
                attempt.channel().close();
              } else {
                attempt.channel().pipeline().get(Connection.class).open(endpoint, pending);
              }
            });
  }

  /** Reason to open a connection. */
  private enum ConnectReason {
    /** There was no earlier connection. */
    FIRST,
    /** All open connections carry calls. */
    BUSY,
    /** The previous connection could not be opened. */
    FAILED,
    /** A call on the previous connection timed out. */
    UNANSWERED,
    /** The previous connection was closed by the other end or the network. */
    LOST
  }

  /** The idle connections to an address. */
  private static final class Endpoint {

    private final Deque<Connection> idleConnections = new ArrayDeque<>();

    /** Reason to open the next connection. */
    private ConnectReason nextConnectReason = ConnectReason.FIRST;
  }

  /** A call in flight and the callback for its response. */
  private static final class PendingCall {

    private final WebClientRequest request;
    private final CallMeter meter;
    private final Consumer<Optional<WebClientResponse>> callback;
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable Connection connection;
    private boolean completed;

    PendingCall(
        WebClientRequest request, CallMeter meter, Consumer<Optional<WebClientResponse>> callback) {
      this.request = request;
      this.meter = meter;
      this.callback = callback;
    }

    void timedOut() {
      Connection usedConnection = connection;
      if (usedConnection != null) {
        usedConnection.closeUnanswered();
      }
      complete(Optional.empty());
    }

    void complete(Optional<WebClientResponse> result) {
      if (completed) {
        return;
      }
      completed = true;
      if (timer != null) {
        timer.cancel(false);
      }
      if (result.isEmpty()) {
        meter.callUnanswered();
      }
      callback.accept(result);
    }
  }

  /** Handles one connection and the call on it. */
  private static final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private @Nullable ChannelHandlerContext context;
    private @Nullable PendingCall pendingCall;
    private @Nullable Endpoint endpoint;
    private ConnectReason closeReason = ConnectReason.LOST;

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
      context = newContext;
    }

    Channel channel() {
      if (context == null) {
        throw new IllegalStateException("the connection has not been added to a pipeline");
      }
      return context.channel();
    }

    void open(Endpoint target, PendingCall first) {
      endpoint = target;
      send(first);
    }

    void closeUnanswered() {
      closeReason = ConnectReason.UNANSWERED;
      channel().close();
    }

    void send(PendingCall next) {
      pendingCall = next;
      next.connection = this;
      channel().writeAndFlush(next.request.head().encodeRequest(next.request.body()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext handlerContext, FullHttpResponse response) {
      PendingCall answered = pendingCall;
      pendingCall = null;
      boolean reusable = HttpUtil.isKeepAlive(response) && answered != null;
      if (reusable && endpoint != null) {
        endpoint.idleConnections.addLast(this);
      } else {
        handlerContext.close();
      }
      if (answered != null) {
        reportBytes(handlerContext, answered.meter);
        answered.complete(Optional.of(toClientResponse(response)));
      }
    }

    private void reportBytes(ChannelHandlerContext handlerContext, CallMeter meter) {
      handlerContext.pipeline().get(ByteCounter.class).reportTo(meter);
    }

    private WebClientResponse toClientResponse(FullHttpResponse response) {
      byte[] body = new byte[response.content().readableBytes()];
      response.content().getBytes(response.content().readerIndex(), body);
      return new WebClientResponse(response.status().code(), Bytes.copyOf(body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext handlerContext) {
      if (endpoint != null) {
        endpoint.idleConnections.remove(this);
        endpoint.nextConnectReason = closeReason;
      }
      PendingCall unanswered = pendingCall;
      pendingCall = null;
      if (unanswered != null) {
        reportBytes(handlerContext, unanswered.meter);
        unanswered.complete(Optional.empty());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
      // The connection was reset or the response is invalid; channelInactive completes the call.
      handlerContext.close();
    }
  }
}
