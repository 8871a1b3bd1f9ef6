package org.burdockbay.server.web;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests the limits on requests that are arriving, on connections without a network. */
public class RequestAssemblerTest {

  private static final long HEAP_BYTES = 12 * 1024 * 1024;
  private static final long REQUEST_LIMIT_BYTES = HEAP_BYTES / 12;

  private WebLimits limits;
  private WebMemory memory;
  private long now;

  /** Sets the limits of a usual configuration, on a small host. */
  @BeforeMethod
  public void setUp() {
    limits = new WebLimits(1_000, 200_000, 3_000, 15_000);
    memory = WebMemory.ofHeap(HEAP_BYTES);
    now = 0;
  }

  /** Guards against losing parts of a body, or keeping its memory after the request was read. */
  @Test
  public void assemblesBodiesAndReleasesTheirMemory() {
    EmbeddedChannel channel = connect();
    send(channel, head(6) + "abc");
    assertNull(channel.readInbound());
    assertTrue(memory.requestBytes() > 0);
    send(channel, "def" + head(0));
    InboundRequest.Complete first = channel.readInbound();
    assertEquals(new String(first.request().body().toArray(), US_ASCII), "abcdef");
    first.reservation().release();
    assertTrue(channel.readInbound() instanceof InboundRequest.Complete);
    assertEquals(memory.requestBytes(), 0);
  }

  /** Guards against reading a body that is declared to be over the limit in force. */
  @Test
  public void rejectsLongBodiesByTheirDeclaredLength() {
    EmbeddedChannel channel = connect();
    send(channel, head(limits.maxBodyBytes() + 1));
    assertEquals(readRejection(channel).status(), 413);
    assertEquals(memory.requestBytes(), 0);
  }

  /** Guards against a body over the limit in force that declares no length. */
  @Test
  public void rejectsLongChunkedBodies() {
    EmbeddedChannel channel = connect();
    send(channel, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    for (int i = 0; i < 21; i++) {
      send(channel, "2710\r\n" + "x".repeat(10_000) + "\r\n");
    }
    assertEquals(readRejection(channel).status(), 413);
    send(channel, "2710\r\n" + "x".repeat(10_000) + "\r\n");
    assertEquals(memory.requestBytes(), 0);
    assertNull(channel.readInbound());
  }

  /** Guards against limits that stay those of the connection's beginning. */
  @Test
  public void appliesChangedLimitsToOpenConnections() {
    EmbeddedChannel channel = connect();
    send(channel, head(3) + "abc");
    assertTrue(channel.readInbound() instanceof InboundRequest.Complete);
    limits = new WebLimits(1_000, 2, 3_000, 15_000);
    send(channel, head(3) + "abc");
    assertEquals(readRejection(channel).status(), 413);
  }

  /** Guards against heads over the limit in force, in bytes or in the number of fields. */
  @Test
  public void rejectsLongHeads() {
    EmbeddedChannel bytes = connect();
    send(bytes, "GET / HTTP/1.1\r\nA: " + "x".repeat(1_000) + "\r\n\r\n");
    assertEquals(readRejection(bytes).status(), 431);
    limits = new WebLimits(60_000, 2, 3_000, 15_000);
    EmbeddedChannel fields = connect();
    send(fields, "GET / HTTP/1.1\r\n" + "a:b\r\n".repeat(101) + "\r\n");
    assertEquals(readRejection(fields).status(), 431);
    EmbeddedChannel endless = connect();
    send(endless, "GET / HTTP/1.1\r\nA: " + "x".repeat(100_000));
    assertEquals(readRejection(endless).status(), 431);
  }

  /** Guards against connections that never complete their headers. */
  @Test
  public void rejectsIncompleteHeadsAfterTheTimeout() {
    EmbeddedChannel channel = connect();
    for (int i = 0; i <= 31; i++) {
      send(channel, i == 0 ? "GET / HTTP/1.1\r\nA: " : "x");
      checkTimeouts(channel);
      now += 100;
    }
    assertEquals(readRejection(channel).status(), 408);
    assertEquals(memory.requestBytes(), 0);
  }

  /** Guards against connections that never complete their bodies. */
  @Test
  public void rejectsBodiesWithoutProgressAfterTheTimeout() {
    EmbeddedChannel channel = connect();
    send(channel, head(100) + "x");
    now += limits.idleTimeoutMillis();
    checkTimeouts(channel);
    assertNull(channel.readInbound());
    now++;
    checkTimeouts(channel);
    assertEquals(readRejection(channel).status(), 408);
  }

  /** Guards against incomplete bodies on many connections that exhaust the memory. */
  @Test
  public void evictsOldestIncompleteBodies() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 100; i++) {
      EmbeddedChannel channel = connect();
      channels.add(channel);
      send(channel, head(200_000) + "x".repeat(100_000));
      assertTrue(memory.requestBytes() <= REQUEST_LIMIT_BYTES, memory.requestBytes() + " bytes");
    }
    channels.forEach(EmbeddedChannel::runPendingTasks);
    assertEquals(readRejection(channels.getFirst()).status(), 503);
    assertNull(channels.getLast().readInbound());
    EmbeddedChannel other = connect();
    send(other, head(5_000) + "x".repeat(2_000));
    send(other, "x".repeat(3_000));
    assertTrue(other.readInbound() instanceof InboundRequest.Complete);
    channels.forEach(EmbeddedChannel::close);
    assertEquals(memory.requestBytes(), 10_000);
  }

  /** Guards against incomplete heads on many connections that exhaust the memory. */
  @Test
  public void evictsOldestIncompleteHeads() {
    List<EmbeddedChannel> channels = new ArrayList<>();
    for (int i = 0; i < 500; i++) {
      EmbeddedChannel channel = connect();
      channels.add(channel);
      send(channel, "GET / HTTP/1.1\r\nA: " + "x".repeat(500));
      assertTrue(memory.requestBytes() <= REQUEST_LIMIT_BYTES, memory.requestBytes() + " bytes");
    }
    channels.forEach(EmbeddedChannel::runPendingTasks);
    assertEquals(readRejection(channels.getFirst()).status(), 503);
    send(channels.getLast(), "\r\n\r\n");
    assertTrue(channels.getLast().readInbound() instanceof InboundRequest.Complete);
  }

  /** Guards against requests that have arrived and exhaust the memory before they are handled. */
  @Test
  public void rejectsRequestsWhileOthersAwaitTheirHandlers() {
    int complete = 0;
    for (int i = 0; i < 20; i++) {
      EmbeddedChannel channel = connect();
      send(channel, head(100_000) + "x".repeat(100_000));
      complete += channel.readInbound() instanceof InboundRequest.Complete ? 1 : 0;
    }
    assertEquals(complete, (int) (REQUEST_LIMIT_BYTES / 200_000));
  }

  private EmbeddedChannel connect() {
    RequestDecoder decoder = new RequestDecoder(WebListener.MAX_HEADER_BYTES);
    return new EmbeddedChannel(
        decoder, new RequestAssembler(decoder, () -> limits, memory, () -> now));
  }

  private void checkTimeouts(EmbeddedChannel channel) {
    var context = channel.pipeline().context(RequestAssembler.class);
    channel.pipeline().get(RequestAssembler.class).checkTimeouts(context, limits);
  }

  private static InboundRequest.Rejected readRejection(EmbeddedChannel channel) {
    return channel.readInbound();
  }

  private static String head(int bodyBytes) {
    return "POST / HTTP/1.1\r\nContent-Length: " + bodyBytes + "\r\n\r\n";
  }

  private static void send(EmbeddedChannel channel, String text) {
    channel.writeInbound(Unpooled.copiedBuffer(text, US_ASCII));
  }
}
