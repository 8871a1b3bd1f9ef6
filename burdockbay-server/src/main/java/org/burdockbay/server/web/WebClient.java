package org.burdockbay.server.web;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
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
  private final Map<HostAddress, Deque<Connection>> idle = new HashMap<>();

  /** Creates a client on one of the given loops. */
  public WebClient(EventLoopGroup loops) {
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
                        .addLast(new HttpClientCodec())
                        .addLast(new HttpObjectAggregator(LARGEST_ANSWER))
                        .addLast(new Connection());
                  }
                });
  }

  /**
   * Makes a call.
   *
   * @param answer gets the answer, or nothing if none came in time; called once, on the loop
   */
  public void call(WebCall call, Consumer<Optional<WebAnswer>> answer) {
    if (loop.inEventLoop()) {
      begin(new Pending(call, answer));
    } else {
      loop.execute(() -> begin(new Pending(call, answer)));
    }
  }

  /** Closes the connections to an address on which no call is under way. */
  public void forget(HostAddress address) {
    loop.execute(
        () -> {
          Deque<Connection> connections = idle.remove(address);
          if (connections != null) {
            connections.forEach(connection -> connection.channel().close());
          }
        });
  }

  private void begin(Pending pending) {
    pending.timer =
        loop.schedule(pending::timedOut, pending.call.timeoutMillis(), TimeUnit.MILLISECONDS);
    Deque<Connection> free = idle.get(pending.call.address());
    Connection connection = free == null ? null : free.pollLast();
    if (connection != null) {
      connection.send(pending);
    } else {
      connect(pending);
    }
  }

  private void connect(Pending pending) {
    bootstrap
        .connect(pending.call.address().socket())
        .addListener(
            (ChannelFuture attempt) -> {
              if (!attempt.isSuccess()) {
                pending.finish(Optional.empty());
              } else if (pending.finished) {
                attempt.channel().close();
              } else {
                attempt.channel().pipeline().get(Connection.class).send(pending);
              }
            });
  }

  private static FullHttpRequest request(WebCall call) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            HttpMethod.valueOf(call.method()),
            call.path(),
            Unpooled.wrappedBuffer(call.body().toArray()));
    request
        .headers()
        .set(HttpHeaderNames.HOST, call.address().toString())
        .set(HttpHeaderNames.CONTENT_TYPE, "application/json")
        .set(HttpHeaderNames.CONTENT_LENGTH, call.body().size());
    call.headers().forEach((name, value) -> request.headers().set(name, value));
    return request;
  }

  /** A call with what is to be told its answer. */
  private static final class Pending {

    private final WebCall call;
    private final Consumer<Optional<WebAnswer>> answer;
    private @Nullable ScheduledFuture<?> timer;
    private @Nullable Channel channel;
    private boolean finished;

    Pending(WebCall call, Consumer<Optional<WebAnswer>> answer) {
      this.call = call;
      this.answer = answer;
    }

    void timedOut() {
      Channel used = channel;
      if (used != null) {
        used.close();
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
      answer.accept(result);
    }
  }

  /** An open connection. */
  private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {

    private @Nullable ChannelHandlerContext context;
    private @Nullable Pending pending;
    private @Nullable HostAddress address;

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

    void send(Pending next) {
      pending = next;
      address = next.call.address();
      next.channel = channel();
      channel().writeAndFlush(request(next.call));
    }

    @Override
    protected void channelRead0(ChannelHandlerContext read, FullHttpResponse response) {
      Pending answered = pending;
      pending = null;
      boolean keep = HttpUtil.isKeepAlive(response) && answered != null;
      if (keep && address != null) {
        idle.computeIfAbsent(address, key -> new ArrayDeque<>()).addLast(this);
      } else {
        read.close();
      }
      if (answered != null) {
        answered.finish(Optional.of(answer(response)));
      }
    }

    private WebAnswer answer(FullHttpResponse response) {
      byte[] body = new byte[response.content().readableBytes()];
      response.content().getBytes(response.content().readerIndex(), body);
      return new WebAnswer(response.status().code(), Bytes.copyOf(body));
    }

    @Override
    public void channelInactive(ChannelHandlerContext closed) {
      Deque<Connection> connections = address == null ? null : idle.get(address);
      if (connections != null) {
        connections.remove(this);
      }
      Pending unanswered = pending;
      pending = null;
      if (unanswered != null) {
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
