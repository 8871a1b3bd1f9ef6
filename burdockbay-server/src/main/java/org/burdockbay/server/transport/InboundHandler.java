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

/** The accepting end of a connection: checks who connects, then hands messages on. */
final class InboundHandler extends SimpleChannelInboundHandler<Wire.Envelope> {

  private final Handshake handshake;
  private final PeerListener listener;
  private final Consumer<String> onAuthenticated;
  private final long maxGapMillis;
  private final Clock clock;
  private final TransportCounters counters;
  private final EventLog log;
  private Wire.@Nullable Hello localHello;
  private Wire.@Nullable Hello remoteHello;
  private boolean authenticated;
  private long lastReceivedAt;

  /**
   * Creates the handler of one connection.
   *
   * @param connected is told the id of the host once it has proved itself
   * @param staleMillis gap after which what follows counts as old, in milliseconds
   */
  InboundHandler(
      Handshake handshake,
      PeerListener listener,
      Consumer<String> connected,
      long staleMillis,
      Clock clock,
      TransportCounters counters,
      EventLog log) {
    this.handshake = handshake;
    this.listener = listener;
    this.onAuthenticated = connected;
    this.maxGapMillis = staleMillis;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Wire.Envelope envelope) {
    if (!context.channel().isActive()) {
      // It was closed over an earlier message that was read together with this one.
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
    Optional<String> complaint = handshake.rejectionReason(hello);
    if (complaint.isPresent() || remoteHello != null) {
      refuse(context, complaint.orElse("greeted twice"));
      return;
    }
    Wire.Hello answer = handshake.hello();
    localHello = answer;
    remoteHello = hello;
    context.writeAndFlush(Wire.Envelope.newBuilder().setHello(answer).build());
  }

  private void proofReceived(ChannelHandlerContext context, Wire.Proof proof) {
    Wire.Hello mine = localHello;
    Wire.Hello theirs = remoteHello;
    if (mine == null || theirs == null || !handshake.isValidProof(proof, theirs, mine)) {
      refuse(context, "wrong secret");
      return;
    }
    authenticated = true;
    lastReceivedAt = clock.millis();
    context.writeAndFlush(
        Wire.Envelope.newBuilder().setProof(handshake.proof(mine, theirs)).build());
    onAuthenticated.accept(theirs.getHost());
    listener.connectionOpened(theirs.getHost());
  }

  private void messageReceived(ChannelHandlerContext context, Wire.Envelope envelope) {
    Wire.Hello theirs = remoteHello;
    if (!authenticated || theirs == null) {
      refuse(context, "a message before the handshake");
      return;
    }
    if (closeIfStale(context, theirs.getHost())) {
      return;
    }
    try {
      listener.messageReceived(theirs.getHost(), PeerCodec.decode(envelope));
    } catch (WireException e) {
      refuse(context, e.getMessage());
    }
  }

  /**
   * Closes a connection on which the next message comes after a long gap.
   *
   * <p>When a partition heals, or this process stood still, the network delivers what was sent
   * before: heartbeats of a dispatcher from before it had the role, and work that has been answered
   * elsewhere since. Taken for fresh, the first costs a change of the dispatcher, and the second
   * starts work whose caller was told that it hasn't run. Heartbeats leave no such gap on a
   * connection that works, and the other host connects again at once and says what holds now.
   */
  private boolean closeIfStale(ChannelHandlerContext context, String host) {
    long before = lastReceivedAt;
    lastReceivedAt = clock.millis();
    boolean stale = lastReceivedAt - before > maxGapMillis;
    if (stale) {
      log.warn("connection-stale", "from=" + host + " silence=" + (lastReceivedAt - before));
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
