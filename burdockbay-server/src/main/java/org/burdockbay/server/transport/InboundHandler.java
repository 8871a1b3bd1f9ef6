package org.burdockbay.server.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.function.Consumer;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.wire.PeerCodec;
import org.burdockbay.wire.WireException;
import org.burdockbay.wire.proto.Wire;
import org.jspecify.annotations.Nullable;

/**
 * Handles the accepting end of a connection: authenticates the other host, then passes its messages
 * to the listener.
 */
final class InboundHandler extends SimpleChannelInboundHandler<Wire.Envelope> {

  private final Handshake handshake;
  private final PeerListener listener;
  private final Consumer<String> onAuthenticated;
  private final long maxGapMillis;
  private final Clock clock;
  private final TransportCounters counters;
  private final PendingHandshakes pendingHandshakes;
  private final EventLog log;
  private Wire.@Nullable Hello localHello;
  private Wire.@Nullable Hello remoteHello;
  private boolean authenticated;
  private long lastReceivedAt;

  /**
   * Creates the handler of one connection.
   *
   * @param onAuthenticated called with the id of the other host once it is authenticated
   * @param maxGapMillis longest accepted gap between two messages, in milliseconds
   */
  InboundHandler(
      Handshake handshake,
      PeerListener listener,
      Consumer<String> onAuthenticated,
      long maxGapMillis,
      Clock clock,
      TransportCounters counters,
      EventLog log) {
    this(
        handshake,
        listener,
        onAuthenticated,
        maxGapMillis,
        clock,
        counters,
        new PendingHandshakes(),
        log);
  }

  /**
   * Creates the handler of one connection.
   *
   * @param onAuthenticated called with the id of the other host once it is authenticated
   * @param maxGapMillis longest accepted gap between two messages, in milliseconds
   * @param pendingHandshakes the accepted connections that aren't authenticated yet
   */
  InboundHandler(
      Handshake handshake,
      PeerListener listener,
      Consumer<String> onAuthenticated,
      long maxGapMillis,
      Clock clock,
      TransportCounters counters,
      PendingHandshakes pendingHandshakes,
      EventLog log) {
    this.pendingHandshakes = pendingHandshakes;
    this.handshake = handshake;
    this.listener = listener;
    this.onAuthenticated = onAuthenticated;
    this.maxGapMillis = maxGapMillis;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    pendingHandshakes.begun(context.channel());
    context.fireChannelActive();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    pendingHandshakes.ended(context.channel());
    context.fireChannelInactive();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Wire.Envelope envelope) {
    if (!context.channel().isActive()) {
      // An earlier message of the same read has closed the connection.
      return;
    }
    switch (envelope.getBodyCase()) {
      case HELLO -> helloReceived(context, envelope.getHello());
      case PROOF -> proofReceived(context, envelope.getProof());
      case PING -> {
        if (authenticated) {
          context.writeAndFlush(Wire.Envelope.newBuilder().setPong(envelope.getPing()).build());
        }
      }
      default -> messageReceived(context, envelope);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    refuse(context, "failed: " + cause.getMessage());
  }

  private void helloReceived(ChannelHandlerContext context, Wire.Hello hello) {
    Optional<String> rejection = handshake.rejectionReason(hello);
    if (rejection.isPresent() || remoteHello != null) {
      refuse(context, rejection.orElse("second hello message"));
      return;
    }
    Wire.Hello answer = handshake.hello();
    localHello = answer;
    remoteHello = hello;
    context.writeAndFlush(Wire.Envelope.newBuilder().setHello(answer).build());
  }

  private void proofReceived(ChannelHandlerContext context, Wire.Proof proof) {
    Wire.Hello local = localHello;
    Wire.Hello remote = remoteHello;
    if (local == null || remote == null || !handshake.isValidProof(proof, remote, local)) {
      refuse(context, "wrong secret");
      return;
    }
    authenticated = true;
    pendingHandshakes.ended(context.channel());
    PeerFrameDecoder frames = context.pipeline().get(PeerFrameDecoder.class);
    if (frames != null) {
      frames.handshakeCompleted();
    }
    lastReceivedAt = clock.millis();
    context.writeAndFlush(
        Wire.Envelope.newBuilder().setProof(handshake.proof(local, remote)).build());
    onAuthenticated.accept(remote.getHost());
    listener.connectionOpened(remote.getHost());
  }

  private void messageReceived(ChannelHandlerContext context, Wire.Envelope envelope) {
    Wire.Hello remote = remoteHello;
    if (!authenticated || remote == null) {
      refuse(context, "message before the end of the handshake");
      return;
    }
    if (closeIfStale(context, remote.getHost())) {
      return;
    }
    try {
      listener.messageReceived(remote.getHost(), PeerCodec.decode(envelope));
    } catch (WireException e) {
      refuse(context, e.getMessage());
    }
  }

  /**
   * Closes the connection if the gap since the previous message is too long.
   *
   * <p>After a partition or a pause of this process, the network delivers messages that were sent
   * before it. A heartbeat from before its sender became dispatcher would cause a needless change
   * of the dispatcher, and old work would start although its caller has been told that it didn't
   * run. Heartbeats leave no such gap on a working connection. The other host reconnects
   * immediately and reports its current state.
   *
   * @return whether the connection was closed
   */
  private boolean closeIfStale(ChannelHandlerContext context, String host) {
    long previousReceivedAt = lastReceivedAt;
    lastReceivedAt = clock.millis();
    boolean stale = lastReceivedAt - previousReceivedAt > maxGapMillis;
    if (stale) {
      log.warn(
          "connection-stale", "from=" + host + " silence=" + (lastReceivedAt - previousReceivedAt));
      context.close();
    }
    return stale;
  }

  private void refuse(ChannelHandlerContext context, String reason) {
    counters.countRefused();
    log.warn(
        "peer-refused",
        "remote=" + context.channel().remoteAddress() + " reason=" + EventLog.quote(reason));
    context.close();
  }
}
