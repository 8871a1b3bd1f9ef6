package org.burdockbay.server.transport;

import com.google.protobuf.CodedInputStream;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageDecoder;
import java.io.IOException;
import java.util.List;
import org.burdockbay.wire.proto.Wire;

/** Decodes frames into envelopes and counts the messages and their encoded bytes. */
final class EnvelopeDecoder extends MessageToMessageDecoder<ByteBuf> {

  private final TransportCounters counters;

  EnvelopeDecoder(TransportCounters counters) {
    this.counters = counters;
  }

  @Override
  protected void decode(ChannelHandlerContext context, ByteBuf frame, List<Object> messages)
      throws IOException {
    int bytes = frame.readableBytes();
    Wire.Envelope envelope =
        Wire.Envelope.parseFrom(CodedInputStream.newInstance(frame.nioBuffer()));
    counters.countReceived(envelope, bytes);
    messages.add(envelope);
  }
}
