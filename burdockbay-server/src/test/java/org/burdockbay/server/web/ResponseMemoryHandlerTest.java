package org.burdockbay.server.web;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.limits.MemoryBudget;
import org.testng.annotations.Test;

/** Tests the limit on responses that are arriving. */
public class ResponseMemoryHandlerTest {

  private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";

  /** Guards against runners that leave large responses incomplete on many connections. */
  @Test
  public void closesConnectionsBeyondMemory() {
    MemoryBudget budget = new MemoryBudget(5_000);
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      EmbeddedChannel channel = connect(budget);
      channels.add(channel);
      send(channel, HEAD + "x".repeat(900));
    }
    assertEquals(channels.stream().filter(EmbeddedChannel::isOpen).count(), 5);
    assertFalse(channels.getLast().isOpen());
    send(channels.getFirst(), "x".repeat(100));
    FullHttpResponse response = channels.getFirst().readInbound();
    assertEquals(response.content().readableBytes(), 1_000);
    response.release();
    channels.forEach(EmbeddedChannel::close);
    assertEquals(budget.usedBytes(), 0);
  }

  private static EmbeddedChannel connect(MemoryBudget budget) {
    EmbeddedChannel channel =
        new EmbeddedChannel(
            new HttpResponseDecoder(),
            new ResponseMemoryHandler(budget),
            new HttpObjectAggregator(10_000));
    assertTrue(channel.isOpen());
    return channel;
  }

  private static void send(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }
}
