package org.burdockbay.server.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of a connection; it stands first in the pipeline. */
final class ByteCounter extends ChannelDuplexHandler {

  private long out;
  private long in;

  /** Tells a meter the bytes since the last time. */
  void report(CallMeter meter) {
    meter.carried(out, in);
    out = 0;
    in = 0;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) {
      out += bytes.readableBytes();
    }
    super.write(context, message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      in += bytes.readableBytes();
    }
    super.channelRead(context, message);
  }
}
