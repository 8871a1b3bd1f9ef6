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
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.atomic.AtomicInteger;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.jspecify.annotations.Nullable;

/** Listens on one address and passes complete requests to a handler. */
public final class WebListener implements AutoCloseable {

  private static final int ACCEPT_BACKLOG = 1_024;

  private final HostAddress address;
  private final ServerBootstrap bootstrap;
  private final ChannelGroup connections =
      new DefaultChannelGroup(GlobalEventExecutor.INSTANCE, true);
  private final AtomicInteger openRequests = new AtomicInteger();
  private @Nullable Channel serverChannel;
  private volatile boolean draining;

  /** Creates a listener that doesn't listen until {@link #start}. */
  public WebListener(
      EventLoopGroup loops,
      HostAddress address,
      WebLimits limits,
      WebHandler handler,
      EventLog log) {
    this.address = address;
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
                    connections.add(channel);
                    channel
                        .pipeline()
                        .addLast(
                            new HttpServerCodec(
                                new HttpDecoderConfig()
                                    .setMaxHeaderSize(limits.maxHeaderBytes())
                                    .setMaxInitialLineLength(limits.maxHeaderBytes())))
                        .addLast(new HttpObjectAggregator(limits.maxBodyBytes()))
                        .addLast(new WebConnection(handler, () -> draining, openRequests, log));
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
    Channel channel = serverChannel;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
  }
}
