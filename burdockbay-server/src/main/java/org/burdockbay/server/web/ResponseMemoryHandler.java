package org.burdockbay.server.web;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.burdockbay.core.limits.MemoryBudget;

/**
 * Reserves the memory of a response that is arriving, and closes the connection without memory. The
 * call then counts as unanswered.
 */
final class ResponseMemoryHandler extends ChannelInboundHandlerAdapter {

  private final MemoryBudget budget;
  private long reservedBytes;

  /** Creates the handler of a connection; the budget is that of all connections. */
  ResponseMemoryHandler(MemoryBudget budget) {
    this.budget = budget;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (message instanceof HttpContent content) {
      int bytes = content.content().readableBytes();
      if (!budget.tryReserve(bytes)) {
        ReferenceCountUtil.release(message);
        context.close();
        return;
      }
      reservedBytes += bytes;
    }
    context.fireChannelRead(message);
    if (message instanceof LastHttpContent) {
      release();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    release();
    context.fireChannelInactive();
  }

  private void release() {
    budget.release(reservedBytes);
    reservedBytes = 0;
  }
}
