package org.burdockbay.server.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.function.Consumer;
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
  private final TransportCounters counters;
  private final EventLog log;
  private Wire.@Nullable Hello own;
  private Wire.@Nullable Hello other;
  private boolean authenticated;

  /**
   * Creates the handler of one connection.
   *
   * @param connected is told the id of the host once it has proved itself
   */
  InboundHandler(
      Handshake handshake,
      PeerListener listener,
      Consumer<String> connected,
      TransportCounters counters,
      EventLog log) {
    this.handshake = handshake;
    this.listener = listener;
    this.connected = connected;
    this.counters = counters;
    this.log = log;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, Wire.Envelope envelope) {
    counters.received(envelope);
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
    try {
      listener.received(theirs.getHost(), PeerCodec.decode(envelope));
    } catch (WireException e) {
      refuse(context, e.getMessage());
    }
  }

  private void refuse(ChannelHandlerContext context, String reason) {
    counters.refused();
    log.warn(
        "peer-refused",
        "remote=" + context.channel().remoteAddress() + " reason=" + EventLog.quote(reason));
    context.close();
  }
}
