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
  private final Consumer<String> connected;
  private final long staleMillis;
  private final Clock clock;
  private final TransportCounters counters;
  private final EventLog log;
  private Wire.@Nullable Hello own;
  private Wire.@Nullable Hello other;
  private boolean authenticated;
  private long receivedAt;

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
    this.connected = connected;
    this.staleMillis = staleMillis;
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
      case HELLO -> greeted(context, envelope.getHello());
      case PROOF -> proven(context, envelope.getProof());
      case PING -> {
        if (authenticated) {
          context.writeAndFlush(Wire.Envelope.newBuilder().setPong(envelope.getPing()).build());
        }
      }
      default -> message(context, envelope);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    refuse(context, "failed: " + cause.getMessage());
  }

  private void greeted(ChannelHandlerContext context, Wire.Hello hello) {
    Optional<String> complaint = handshake.complaint(hello);
    if (complaint.isPresent() || other != null) {
      refuse(context, complaint.orElse("greeted twice"));
      return;
    }
    Wire.Hello answer = handshake.hello();
    own = answer;
    other = hello;
    context.writeAndFlush(Wire.Envelope.newBuilder().setHello(answer).build());
  }

  private void proven(ChannelHandlerContext context, Wire.Proof proof) {
    Wire.Hello mine = own;
    Wire.Hello theirs = other;
    if (mine == null || theirs == null || !handshake.proven(proof, theirs, mine)) {
      refuse(context, "wrong secret");
      return;
    }
    authenticated = true;
    receivedAt = clock.millis();
    context.writeAndFlush(
        Wire.Envelope.newBuilder().setProof(handshake.proof(mine, theirs)).build());
    connected.accept(theirs.getHost());
    listener.reset(theirs.getHost());
  }

  private void message(ChannelHandlerContext context, Wire.Envelope envelope) {
    Wire.Hello theirs = other;
    if (!authenticated || theirs == null) {
      refuse(context, "a message before the handshake");
      return;
    }
    if (stale(context, theirs.getHost())) {
      return;
    }
    try {
      listener.received(theirs.getHost(), PeerCodec.decode(envelope));
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
  private boolean stale(ChannelHandlerContext context, String host) {
    long before = receivedAt;
    receivedAt = clock.millis();
    boolean stale = receivedAt - before > staleMillis;
    if (stale) {
      log.warn("connection-stale", "from=" + host + " silence=" + (receivedAt - before));
      context.close();
    }
    return stale;
  }

  private void refuse(ChannelHandlerContext context, String reason) {
    counters.refused();
    log.warn(
        "peer-refused",
        "remote=" + context.channel().remoteAddress() + " reason=" + EventLog.quote(reason));
    context.close();
  }
}
