package org.burdockbay.server.web;

import com.codahale.metrics.Counter;
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
import org.burdockbay.server.settings.HostAddress;
import org.jspecify.annotations.Nullable;

/**
 * Calls other processes over connections that stay open.
 *
 * <p>All state belongs to one event loop. A connection carries one call at a time. A call that
 * isn't answered in time closes its connection: the connection may have gone silent for good, and
 * an answer that comes late must not be taken for the next call's.
 */
public final class WebClient {

  private static final int MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<HostAddress, Endpoint> endpoints = new HashMap<>();
  private final Map<ConnectReason, Counter> connectionsByReason =
      new EnumMap<>(ConnectReason.class);

  /**
   * Creates a client on one of the given loops.
   *
   * @param registry where new connections are counted
   */
  public WebClient(EventLoopGroup loops, MetricRegistry registry) {
    for (ConnectReason reason : ConnectReason.values()) {
      String word = reason.name().toLowerCase(Locale.ROOT);
      connectionsByReason.put(reason, registry.counter("upstream.connections." + word));
    }
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
                        .addLast(new HttpObjectAggregator(MAX_RESPONSE_BYTES))
                        .addLast(new Connection());
                  }
                });
  }

  /**
   * Makes a call.
   *
   * @param meter counts the call
   * @param answer gets the answer, or nothing if none came in time; called once, on the loop
   */
  public void call(
      WebClientRequest call, CallMeter meter, Consumer<Optional<WebClientResponse>> answer) {
    PendingCall pending = new PendingCall(call, meter, answer);
    if (loop.inEventLoop()) {
      startCall(pending);
    } else {
      loop.execute(() -> startCall(pending));
    }
  }

  /** Closes the connections to an address on which no call is under way. */
  public void closeIdleConnections(HostAddress address) {
    loop.execute(
        () -> {
          Endpoint endpoint = endpoints.remove(address);
          if (endpoint != null) {
            endpoint.idleConnections.forEach(connection -> connection.channel().close());
          }
        });
  }

  private void startCall(PendingCall pending) {
    pending.meter.callStarted();
    pending.timer =
        loop.schedule(pending::timedOut, pending.call.timeoutMillis(), TimeUnit.MILLISECONDS);
    Endpoint endpoint =
        endpoints.computeIfAbsent(pending.call.head().address(), address -> new Endpoint());
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
        .connect(pending.call.head().address().toSocketAddress())
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

  /** Why a connection was opened. */
  private enum ConnectReason {
    /** There was none before. */
    FIRST,
    /** All others carry calls. */
    BUSY,
    /** The one before could not be opened. */
    FAILED,
    /** The one before carried a call that wasn't answered in time. */
    UNANSWERED,
    /** The one before was closed by the other end or the network. */
    LOST
  }

  /** The connections to an address on which no call is under way. */
  private static final class Endpoint {

    private final Deque<Connection> idleConnections = new ArrayDeque<>();

    /** Why the next connection will be opened. */
    private ConnectReason nextConnectReason = ConnectReason.FIRST;
  }

  /** A call with what is to be told its answer. */
  private static final class PendingCall {

    private final WebClientRequest call;
    private final CallMeter meter;
    private final Consumer<Optional<WebClientResponse>> callback;
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable Connection connection;
    private boolean completed;

    PendingCall(
        WebClientRequest call, CallMeter meter, Consumer<Optional<WebClientResponse>> answer) {
      this.call = call;
      this.meter = meter;
      this.callback = answer;
    }

    void timedOut() {
      Connection used = connection;
      if (used != null) {
        used.closeUnanswered();
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

  /** An open connection. */
  private static final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private @Nullable ChannelHandlerContext context;
    private @Nullable PendingCall pendingCall;
    private @Nullable Endpoint endpoint;
    private ConnectReason closeReason = ConnectReason.LOST;

    @Override
    public void handlerAdded(ChannelHandlerContext added) {
      context = added;
    }

    Channel channel() {
      if (context == null) {
        throw new IllegalStateException("the connection isn't set up");
      }
      return context.channel();
    }

    void open(Endpoint to, PendingCall first) {
      endpoint = to;
      send(first);
    }

    void closeUnanswered() {
      closeReason = ConnectReason.UNANSWERED;
      channel().close();
    }

    void send(PendingCall next) {
      pendingCall = next;
      next.connection = this;
      channel().writeAndFlush(next.call.head().encodeRequest(next.call.body()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext read, FullHttpResponse response) {
      PendingCall answered = pendingCall;
      pendingCall = null;
      boolean keep = HttpUtil.isKeepAlive(response) && answered != null;
      if (keep && endpoint != null) {
        endpoint.idleConnections.addLast(this);
      } else {
        read.close();
      }
      if (answered != null) {
        reportBytes(read, answered.meter);
        answered.complete(Optional.of(toClientResponse(response)));
      }
    }

    private void reportBytes(ChannelHandlerContext at, CallMeter meter) {
      at.pipeline().get(ByteCounter.class).reportTo(meter);
    }

    private WebClientResponse toClientResponse(FullHttpResponse response) {
      byte[] body = new byte[response.content().readableBytes()];
      response.content().getBytes(response.content().readerIndex(), body);
      return new WebClientResponse(response.status().code(), Bytes.copyOf(body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
      if (endpoint != null) {
        endpoint.idleConnections.remove(this);
        endpoint.nextConnectReason = closeReason;
      }
      PendingCall unanswered = pendingCall;
      pendingCall = null;
      if (unanswered != null) {
        reportBytes(closed, unanswered.meter);
        unanswered.complete(Optional.empty());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
      // Reset or unreadable; the call that waits is told when the connection is closed.
      failed.close();
    }
  }
}
