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

  private static final int LARGEST_ANSWER = 8 * 1024 * 1024;
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  private final EventLoop loop;
  private final Bootstrap bootstrap;
  private final Map<HostAddress, Endpoint> endpoints = new HashMap<>();
  private final Map<Reason, Counter> connected = new EnumMap<>(Reason.class);

  /**
   * Creates a client on one of the given loops.
   *
   * @param registry where new connections are counted
   */
  public WebClient(EventLoopGroup loops, MetricRegistry registry) {
    for (Reason reason : Reason.values()) {
      String word = reason.name().toLowerCase(Locale.ROOT);
      connected.put(reason, registry.counter("upstream.connections." + word));
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
                        .addLast(new HttpObjectAggregator(LARGEST_ANSWER))
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
  public void call(WebCall call, CallMeter meter, Consumer<Optional<WebAnswer>> answer) {
    Pending pending = new Pending(call, meter, answer);
    if (loop.inEventLoop()) {
      begin(pending);
    } else {
      loop.execute(() -> begin(pending));
    }
  }

  /** Closes the connections to an address on which no call is under way. */
  public void forget(HostAddress address) {
    loop.execute(
        () -> {
          Endpoint endpoint = endpoints.remove(address);
          if (endpoint != null) {
            endpoint.idle.forEach(connection -> connection.channel().close());
          }
        });
  }

  private void begin(Pending pending) {
    pending.meter.begun();
    pending.timer =
        loop.schedule(pending::timedOut, pending.call.timeoutMillis(), TimeUnit.MILLISECONDS);
    Endpoint endpoint =
        endpoints.computeIfAbsent(pending.call.head().address(), address -> new Endpoint());
    Connection connection = endpoint.idle.pollLast();
    if (connection != null) {
      connection.send(pending);
    } else {
      connect(pending, endpoint);
    }
  }

  private void connect(Pending pending, Endpoint endpoint) {
    connected.get(endpoint.reason).inc();
    endpoint.reason = Reason.BUSY;
    bootstrap
        .connect(pending.call.head().address().socket())
        .addListener(
            (ChannelFuture attempt) -> {
              if (!attempt.isSuccess()) {
                endpoint.reason = Reason.FAILED;
                pending.finish(Optional.empty());
              } else if (pending.finished) {
                attempt.channel().close();
              } else {
                attempt.channel().pipeline().get(Connection.class).open(endpoint, pending);
              }
            });
  }

  /** Why a connection was opened. */
  private enum Reason {
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

    private final Deque<Connection> idle = new ArrayDeque<>();

    /** Why the next connection will be opened. */
    private Reason reason = Reason.FIRST;
  }

  /** A call with what is to be told its answer. */
  private static final class Pending {

    private final WebCall call;
    private final CallMeter meter;
    private final Consumer<Optional<WebAnswer>> answer;
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable Connection connection;
    private boolean finished;

    Pending(WebCall call, CallMeter meter, Consumer<Optional<WebAnswer>> answer) {
      this.call = call;
      this.meter = meter;
      this.answer = answer;
    }

    void timedOut() {
      Connection used = connection;
      if (used != null) {
        used.giveUp();
      }
      finish(Optional.empty());
    }

    void finish(Optional<WebAnswer> result) {
      if (finished) {
        return;
      }
      finished = true;
      if (timer != null) {
        timer.cancel(false);
      }
      if (result.isEmpty()) {
        meter.unanswered();
      }
      answer.accept(result);
    }
  }

  /** An open connection. */
  private static final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private @Nullable ChannelHandlerContext context;
    private @Nullable Pending pending;
    private @Nullable Endpoint endpoint;
    private Reason end = Reason.LOST;

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

    void open(Endpoint to, Pending first) {
      endpoint = to;
      send(first);
    }

    void giveUp() {
      end = Reason.UNANSWERED;
      channel().close();
    }

    void send(Pending next) {
      pending = next;
      next.connection = this;
      channel().writeAndFlush(next.call.head().request(next.call.body()));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext read, FullHttpResponse response) {
      Pending answered = pending;
      pending = null;
      boolean keep = HttpUtil.isKeepAlive(response) && answered != null;
      if (keep && endpoint != null) {
        endpoint.idle.addLast(this);
      } else {
        read.close();
      }
      if (answered != null) {
        report(read, answered.meter);
        answered.finish(Optional.of(answer(response)));
      }
    }

    private void report(ChannelHandlerContext at, CallMeter meter) {
      at.pipeline().get(ByteCounter.class).report(meter);
    }

    private WebAnswer answer(FullHttpResponse response) {
      byte[] body = new byte[response.content().readableBytes()];
      response.content().getBytes(response.content().readerIndex(), body);
      return new WebAnswer(response.status().code(), Bytes.copyOf(body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
      if (endpoint != null) {
        endpoint.idle.remove(this);
        endpoint.reason = end;
      }
      Pending unanswered = pending;
      pending = null;
      if (unanswered != null) {
        report(closed, unanswered.meter);
        unanswered.finish(Optional.empty());
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
      // Reset or unreadable; the call that waits is told when the connection is closed.
      failed.close();
    }
  }
}
