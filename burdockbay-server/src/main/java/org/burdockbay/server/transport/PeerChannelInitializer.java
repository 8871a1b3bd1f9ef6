package org.burdockbay.server.transport;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import java.util.function.Supplier;

/** Sets up a connection between hosts: length-prefixed frames, protobuf and the given handler. */
final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {

  private final TransportCounters counters;
  private final Supplier<ChannelHandler> handler;

  PeerChannelInitializer(TransportCounters counters, Supplier<ChannelHandler> handler) {
    this.counters = counters;
    this.handler = handler;
  }

  @Override
  protected void initChannel(SocketChannel channel) {
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(new PeerFrameDecoder());
    pipeline.addLast(new EnvelopeDecoder(counters));
    pipeline.addLast(new LengthFieldPrepender(PeerFrameDecoder.LENGTH_FIELD_BYTES));
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(handler.get());
  }
}
