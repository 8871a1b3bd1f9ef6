package org.burdockbay.server.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/** Counts the bytes of a connection; must be the first handler of the pipeline. */
final class ByteCounter extends ChannelDuplexHandler {

  private long bytesOut;
  private long bytesIn;

  /** Adds the bytes since the previous report to a meter. */
  void reportTo(CallMeter meter) {
    meter.addBytes(bytesOut, bytesIn);
    bytesOut = 0;
    bytesIn = 0;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise)
      throws Exception {
    if (message instanceof ByteBuf bytes) {
      bytesOut += bytes.readableBytes();
    }
    super.write(context, message, promise);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
    if (message instanceof ByteBuf bytes) {
      bytesIn += bytes.readableBytes();
    }
    super.channelRead(context, message);
  }
}
