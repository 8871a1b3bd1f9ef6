package org.burdockbay.server.web;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.jspecify.annotations.Nullable;

/** Listens on one address and passes complete requests to a handler. */
public final class WebListener implements AutoCloseable {

  private static final int ACCEPT_BACKLOG = 1_024;
  private static final long TIMEOUT_CHECK_INTERVAL_MILLIS = 500;

  /** Upper bound of the limit on headers that is in force, in bytes. */
  public static final int MAX_HEADER_BYTES = 64 * 1024;

  private final HostAddress address;
  private final ServerBootstrap bootstrap;
  private final ChannelGroup connections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final AtomicInteger openRequests = new AtomicInteger();
  private final EventLoopGroup loops;
  private final Supplier<WebLimits> limits;
  private final WebMemory memory;
  private final WebHandler handler;
  private final EventLog log;
  private final Clock clock;
  private @Nullable Channel serverChannel;
  private @Nullable ScheduledFuture<?> timeoutChecks;
  private volatile boolean draining;

  /** Creates a listener with fixed limits, without a limit on its memory. */
  public WebListener(
      EventLoopGroup loops,
      HostAddress address,
      WebLimits limits,
      WebHandler handler,
      EventLog log) {
    this(loops, address, () -> limits, WebMemory.unlimited(), handler, log, Clock.monotonic());
  }

  /**
   * Creates a listener that doesn't listen until {@link #start}.
   *
   * @param limits supplies the limits in force; called on the event loops
   * @param memory the memory of all listeners of the host
   */
  public WebListener(
      EventLoopGroup loops,
      HostAddress address,
      Supplier<WebLimits> limits,
      WebMemory memory,
      WebHandler handler,
      EventLog log,
      Clock clock) {
    this.address = address;
    this.loops = loops;
    this.limits = limits;
    this.memory = memory;
    this.handler = handler;
    this.log = log;
    this.clock = clock;
    this.bootstrap =
        new ServerBootstrap()
            .group(loops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel);
                  }
                });
  }

  /**
   * Starts to accept connections.
   *
   * @throws ServerException if the address can't be used
   */
  public void start() throws ServerException {
    var bound = bootstrap.bind(address.toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ServerException(
          "address " + address + " can't be used: " + bound.cause().getMessage(), bound.cause());
    }
    serverChannel = bound.channel();
    timeoutChecks =
        loops
            .next()
            .scheduleWithFixedDelay(
                this::checkTimeouts,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TIMEOUT_CHECK_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= memory.maxConnections() && !closeLongestIdle()) {
      memory.countRefusedConnection();
      channel.close();
      return;
    }
    connections.add(channel);
    RequestDecoder decoder = new RequestDecoder(MAX_HEADER_BYTES);
    RequestAssembler assembler = new RequestAssembler(decoder, limits, memory, clock::millis);
    channel
        .pipeline()
        .addLast(decoder)
        .addLast(new HttpResponseEncoder())
        .addLast(assembler)
        .addLast(
            new WebConnection(
                handler, () -> draining, openRequests, assembler, memory, clock::millis, log));
  }

  /**
   * Closes the connection that has been idle for the longest time, in favor of a new one.
   *
   * @return whether there was an idle connection
   */
  private boolean closeLongestIdle() {
    Optional<Channel> idle =
        connections.stream()
            .filter(channel -> channel.pipeline().get(WebConnection.class) != null)
            .filter(channel -> channel.pipeline().get(WebConnection.class).isIdle())
            .min(
                Comparator.comparingLong(
                    channel -> channel.pipeline().get(WebConnection.class).lastUsedAt()));
    idle.ifPresent(Channel::close);
    return idle.isPresent();
  }

  private void checkTimeouts() {
    try {
      WebLimits current = limits.get();
      connections.forEach(channel -> checkTimeouts(channel, current));
    } catch (RuntimeException | OutOfMemoryError e) {
      // An exception would end the periodic checks.
      log.error("timeout-check-failed", "address=" + address, e);
    }
  }

  private static void checkTimeouts(Channel channel, WebLimits current) {
    if (channel.eventLoop().inEventLoop()) {
      WebConnection.checkTimeouts(channel, current);
    } else {
      channel.eventLoop().execute(() -> WebConnection.checkTimeouts(channel, current));
    }
  }

  /**
   * Stops accepting connections, closes idle connections, and closes each of the others after its
   * next response.
   *
   * <p>A load balancer with too few hosts left keeps opening connections to this one, and an open
   * connection could carry a request that arrives just before the process ends and is then cut off.
   */
  public void drain() {
    draining = true;
    stopListening();
    connections.forEach(
        channel -> channel.eventLoop().execute(() -> WebConnection.closeIfIdle(channel)));
  }

  /** Returns the number of open connections. */
  public int connectionCount() {
    return connections.size();
  }

  /** Returns the number of requests whose responses aren't written yet. */
  public int openRequestCount() {
    return openRequests.get();
  }

  @Override
  public void close() {
    stopListening();
    connections.close().awaitUninterruptibly();
  }

  private void stopListening() {
    if (timeoutChecks != null) {
      timeoutChecks.cancel(false);
    }
    Channel channel = serverChannel;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
  }
}
