package org.burdockbay.server.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongSupplier;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.PeerSettings;
import org.burdockbay.wire.proto.Wire;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the connection over which this host sends to one other host, and reconnects until it is
 * closed.
 *
 * <p>A connection can stop delivering for good while new ones work, for instance when a device
 * between both ends has dropped its state; TCP alone detects that after many minutes. The sender
 * therefore pings, and closes the connection if nothing arrives within {@link
 * TransportSettings#silenceTimeoutMillis}.
 */
final class OutboundConnection {

  /** Delay before the first reconnect; each failure doubles it. */
  private static final long MIN_RETRY_INTERVAL_MILLIS = 25;

  private static final long MAX_RETRY_INTERVAL_MILLIS = 200;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  /** Maximum number of unsent bytes of a connection: a part of the heap. */
  private static final long MAX_UNSENT_BYTES =
      Math.min(64 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 24);

  /** Maximum number of unsent bytes of all connections together: a part of the heap. */
  private static final long MAX_TOTAL_UNSENT_BYTES =
      Math.min(256 * 1024 * 1024, Runtime.getRuntime().maxMemory() / 8);

  /** Unsent bytes above which the backlog is logged; a link sends as much in about a second. */
  private static final int BACKLOG_THRESHOLD_BYTES = 256 * 1024;

  /** Minimum time between two log lines about the backlog of one peer. */
  private static final long BACKLOG_LOG_INTERVAL_MILLIS = 1_000;

  private final TransportSettings settings;
  private final PeerSettings peer;
  private final Handshake handshake;
  private final PeerListener listener;
  private final TransportCounters counters;
  private final EventLog log;
  private final Clock clock;
  private final Bootstrap bootstrap;
  private volatile @Nullable Channel establishedChannel;
  private volatile long establishedAt;
  private volatile boolean closed;
  private volatile @Nullable ScheduledFuture<?> reconnectTask;
  private volatile long nextBacklogLogAt = Long.MIN_VALUE;
  private volatile long retryIntervalMillis = MIN_RETRY_INTERVAL_MILLIS;
  private volatile TransportCounters.ConnectReason connectReason =
      TransportCounters.ConnectReason.FIRST;

  OutboundConnection(
      TransportSettings settings,
      PeerSettings peer,
      Handshake handshake,
      PeerListener listener,
      TransportCounters counters,
      EventLog log,
      Clock clock,
      EventLoopGroup eventLoops) {
    this.settings = settings;
    this.peer = peer;
    this.handshake = handshake;
    this.listener = listener;
    this.counters = counters;
    this.log = log;
    this.clock = clock;
    this.bootstrap =
        new Bootstrap()
            .group(eventLoops)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new PeerChannelInitializer(counters, OutboundHandler::new));
  }

  /** Opens the connection unless this object is closed, and reopens it after each loss. */
  void connect() {
    if (closed) {
      return;
    }
    bootstrap
        .connect(peer.address().toSocketAddress())
        .addListener(
            (ChannelFuture attempt) -> {
              if (attempt.isSuccess()) {
                attempt.channel().closeFuture().addListener(ended -> scheduleReconnect(attempt));
              } else {
                connectReason = TransportCounters.ConnectReason.FAILED;
                scheduleReconnect(attempt);
              }
            });
  }

  /** Connects immediately if a reconnect is scheduled; called when the other host is reachable. */
  void reconnectNow() {
    ScheduledFuture<?> scheduled = reconnectTask;
    if (scheduled != null && scheduled.cancel(false)) {
      connect();
    }
  }

  /**
   * Sends a message.
   *
   * <p>The message is dropped without a connection, or if too many bytes are unsent, which also
   * closes the connection. Senders of messages that must arrive resend them.
   *
   * @param totalUnsentBytes supplies the number of unsent bytes of all connections
   */
  void send(Wire.Envelope envelope, LongSupplier totalUnsentBytes) {
    Channel channel = establishedChannel;
    if (channel == null) {
      counters.countDropped(envelope);
      return;
    }
    long unsent = unsentBytes(channel);
    if (unsent > BACKLOG_THRESHOLD_BYTES) {
      logBacklog(unsent);
    }
    boolean excessive =
        unsent > MAX_UNSENT_BYTES
            || (unsent > BACKLOG_THRESHOLD_BYTES
                && totalUnsentBytes.getAsLong() > MAX_TOTAL_UNSENT_BYTES);
    if (excessive) {
      counters.countDropped(envelope);
      connectReason = TransportCounters.ConnectReason.BACKLOG;
      channel.close();
      return;
    }
    counters.countSent(envelope);
    channel.writeAndFlush(envelope);
  }

  /** Returns the number of bytes that are queued but not yet written to the connection. */
  long unsentBytes() {
    Channel channel = establishedChannel;
    return channel == null ? 0 : unsentBytes(channel);
  }

  private static long unsentBytes(Channel channel) {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  private void logBacklog(long bytes) {
    long now = clock.millis();
    if (now >= nextBacklogLogAt) {
      nextBacklogLogAt = now + BACKLOG_LOG_INTERVAL_MILLIS;
      log.warn("peer-backlog", "to=" + peer.id() + " bytes=" + bytes);
    }
  }

  /**
   * Pings the other host, and closes the connection if nothing arrives in time.
   *
   * @param timeoutMillis the time for an answer, in milliseconds
   */
  void probe(long timeoutMillis) {
    Channel channel = establishedChannel;
    OutboundHandler handler =
        channel == null ? null : channel.pipeline().get(OutboundHandler.class);
    if (handler != null) {
      handler.probe(channel, timeoutMillis);
    }
  }

  /**
   * Closes the current connection if it was established longer ago than the given time.
   *
   * @return whether it was closed
   */
  boolean closeIfOlderThan(long olderThanMillis) {
    Channel channel = establishedChannel;
    boolean expired = channel != null && clock.millis() - establishedAt > olderThanMillis;
    if (expired) {
      establishedChannel = null;
      connectReason = TransportCounters.ConnectReason.SILENT;
      channel.close();
    }
    return expired;
  }

  void close() {
    closed = true;
    Channel channel = establishedChannel;
    if (channel != null) {
      channel.close();
    }
  }

  private void scheduleReconnect(ChannelFuture attempt) {
    establishedChannel = null;
    if (!closed && !attempt.channel().eventLoop().isShuttingDown()) {
      reconnectTask =
          attempt
              .channel()
              .eventLoop()
              .schedule(this::connect, retryIntervalMillis, TimeUnit.MILLISECONDS);
      retryIntervalMillis = Math.min(retryIntervalMillis * 2, MAX_RETRY_INTERVAL_MILLIS);
    }
  }

  /** Handles the connecting end: sends hello and proof, verifies the other end, then pings. */
  private final class OutboundHandler extends SimpleChannelInboundHandler<Wire.Envelope> {

    private Wire.Hello localHello = Wire.Hello.getDefaultInstance();
    private Wire.Hello remoteHello = Wire.Hello.getDefaultInstance();
    private long lastReceivedAt;
    private final AtomicBoolean probing = new AtomicBoolean();

    @Override
    public void channelActive(ChannelHandlerContext context) {
      localHello = handshake.hello();
      lastReceivedAt = clock.millis();
      context.writeAndFlush(Wire.Envelope.newBuilder().setHello(localHello).build());
      context
          .executor()
          .scheduleAtFixedRate(
              () -> pingOrClose(context),
              settings.pingIntervalMillis(),
              settings.pingIntervalMillis(),
              TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Wire.Envelope envelope) {
      lastReceivedAt = clock.millis();
      switch (envelope.getBodyCase()) {
        case HELLO -> {
          remoteHello = envelope.getHello();
          boolean expected =
              handshake.rejectionReason(remoteHello).isEmpty()
                  && remoteHello.getHost().equals(peer.id());
          if (expected) {
            context.writeAndFlush(
                Wire.Envelope.newBuilder()
                    .setProof(handshake.proof(localHello, remoteHello))
                    .build());
          } else {
            context.close();
          }
        }
        case PROOF -> {
          if (handshake.isValidProof(envelope.getProof(), remoteHello, localHello)) {
            establishedAt = clock.millis();
            retryIntervalMillis = MIN_RETRY_INTERVAL_MILLIS;
            establishedChannel = context.channel();
            counters.countConnection(connectReason);
            connectReason = TransportCounters.ConnectReason.LOST;
            listener.connectionOpened(peer.id());
            listener.outboundConnected(peer.id(), remoteHello.getIncarnation());
          } else {
            counters.countRefused();
            context.close();
          }
        }
        default -> {
          // A pong has no content to handle; its arrival is recorded above.
        }
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }

    private void probe(Channel channel, long timeoutMillis) {
      if (probing.compareAndSet(false, true)) {
        channel.eventLoop().execute(() -> beginProbe(channel, timeoutMillis));
      }
    }

    private void beginProbe(Channel channel, long timeoutMillis) {
      long sentAt = clock.millis();
      channel.writeAndFlush(Wire.Envelope.newBuilder().setPing(sentAt).build());
      channel
          .eventLoop()
          .schedule(
              () -> endProbe(channel, sentAt, timeoutMillis), timeoutMillis, TimeUnit.MILLISECONDS);
    }

    /** Ends a probe; one that this host has evaluated late shows nothing about the connection. */
    private void endProbe(Channel channel, long sentAt, long timeoutMillis) {
      probing.set(false);
      long elapsedMillis = clock.millis() - sentAt;
      boolean isLate = elapsedMillis >= 2 * timeoutMillis;
      if (lastReceivedAt < sentAt && !isLate && channel.isActive()) {
        log.warn("connection-silent", "to=" + peer.id() + " unanswered=" + elapsedMillis);
        connectReason = TransportCounters.ConnectReason.SILENT;
        channel.close();
      }
    }

    private void pingOrClose(ChannelHandlerContext context) {
      if (!context.channel().isActive()) {
        return;
      }
      if (clock.millis() - lastReceivedAt > settings.silenceTimeoutMillis()) {
        connectReason = TransportCounters.ConnectReason.SILENT;
        context.close();
      } else if (context.channel().equals(establishedChannel)) {
        context.writeAndFlush(Wire.Envelope.newBuilder().setPing(clock.millis()).build());
      }
    }
  }
}
