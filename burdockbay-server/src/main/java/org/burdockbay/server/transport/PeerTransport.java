package org.burdockbay.server.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.PeerSettings;
import org.burdockbay.wire.PeerCodec;
import org.jspecify.annotations.Nullable;

/** Sends messages to other hosts and receives theirs. */
public final class PeerTransport implements AutoCloseable {

  private final TransportSettings settings;
  private final Handshake handshake;
  private final TransportCounters counters;
  private final EventLog log;
  private final Clock clock;
  private final EventLoopGroup eventLoops;
  private final PendingHandshakes pendingHandshakes = new PendingHandshakes();
  private final Map<String, OutboundConnection> outbound = new ConcurrentHashMap<>();
  private @Nullable Channel serverChannel;
  private @Nullable PeerListener listener;

  /** Creates a transport that is not started yet. */
  public PeerTransport(
      TransportSettings settings,
      long incarnation,
      TransportCounters counters,
      EventLog log,
      Clock clock) {
    this.settings = settings;
    this.handshake = new Handshake(settings, incarnation);
    this.counters = counters;
    this.log = log;
    this.clock = clock;
    counters.registerUnsentGauge(this::maxUnsentBytes);
    this.eventLoops =
        new MultiThreadIoEventLoopGroup(settings.threadCount(), NioIoHandler.newFactory());
  }

  /** Returns the event loops of the connections; other traffic shares them. */
  public EventLoopGroup eventLoops() {
    return eventLoops;
  }

  /**
   * Starts to accept connections from other hosts; {@link #connect} opens those to them.
   *
   * @throws ServerException if the address can't be used
   */
  public void start(PeerListener peerListener) throws ServerException {
    listener = peerListener;
    ServerBootstrap bootstrap =
        new ServerBootstrap()
            .group(eventLoops)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new PeerChannelInitializer(
                    counters,
                    () ->
                        new InboundHandler(
                            handshake,
                            peerListener,
                            this::peerConnected,
                            settings.maxGapMillis(),
                            clock,
                            counters,
                            pendingHandshakes,
                            log)));
    var bound = bootstrap.bind(settings.address().toSocketAddress()).awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new ServerException(
          "peer-address " + settings.address() + " can't be used: " + bound.cause().getMessage(),
          bound.cause());
    }
    serverChannel = bound.channel();
  }

  /**
   * Reconnects to a host that has just connected to this one.
   *
   * <p>A restarted host receives nothing until the others have connected to it. This skips the rest
   * of the retry interval.
   */
  private void peerConnected(String host) {
    OutboundConnection connection = outbound.get(host);
    if (connection != null) {
      connection.reconnectNow();
    }
  }

  /** Connects to a host, and reconnects whenever the connection is lost. */
  public void connect(PeerSettings peer) {
    PeerListener currentListener = listener;
    if (currentListener == null) {
      throw new IllegalStateException("the transport has not been started");
    }
    OutboundConnection connection =
        new OutboundConnection(
            settings, peer, handshake, currentListener, counters, log, clock, eventLoops);
    OutboundConnection previous = outbound.put(peer.id(), connection);
    if (previous != null) {
      previous.close();
    }
    connection.connect();
  }

  /**
   * Replaces the connection to a host if it was established longer ago than the given time.
   *
   * @return whether the connection was closed
   */
  public boolean reconnectIfOlderThan(String host, long olderThanMillis) {
    OutboundConnection connection = outbound.get(host);
    return connection != null && connection.closeIfOlderThan(olderThanMillis);
  }

  /**
   * Checks whether the connection to a host still delivers, and replaces it otherwise.
   *
   * @param timeoutMillis the time for an answer of the host, in milliseconds
   */
  public void probe(String host, long timeoutMillis) {
    OutboundConnection connection = outbound.get(host);
    if (connection != null) {
      connection.probe(timeoutMillis);
    }
  }

  /** Closes the connection to a host and stops reconnecting. */
  public void disconnect(String host) {
    OutboundConnection connection = outbound.remove(host);
    if (connection != null) {
      connection.close();
    }
  }

  /** Sends a message, or drops it if there is no connection to the host. */
  public void send(String host, PeerMessage message) {
    OutboundConnection connection = outbound.get(host);
    if (connection != null) {
      connection.send(PeerCodec.encode(message), this::totalUnsentBytes);
    }
  }

  private long totalUnsentBytes() {
    return outbound.values().stream().mapToLong(OutboundConnection::unsentBytes).sum();
  }

  private long maxUnsentBytes() {
    return outbound.values().stream().mapToLong(OutboundConnection::unsentBytes).max().orElse(0);
  }

  @Override
  public void close() {
    outbound.values().forEach(OutboundConnection::close);
    Channel channel = serverChannel;
    if (channel != null) {
      channel.close().awaitUninterruptibly();
    }
    eventLoops
        .shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS)
        .awaitUninterruptibly();
  }
}
