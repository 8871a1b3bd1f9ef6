package org.burdockbay.server.web;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests how a listener counts requests in flight and closes connections during a planned stop. */
public class WebListenerTest {

  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final long POLL_INTERVAL_MILLIS = 5;

  /** Exceeds the kernel's socket buffers of a connection. */
  private static final String LARGE_RESPONSE = "x".repeat(32 * 1024 * 1024);

  private final BlockingQueue<WebExchange> openExchanges = new LinkedBlockingQueue<>();
  private EventLoopGroup loops;
  private HostAddress address;
  private WebListener listener;

  /** Starts a listener that leaves responses to the test. */
  @BeforeMethod
  public void listen() throws Exception {
    loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      address = new HostAddress("127.0.0.1", socket.getLocalPort());
    }
    openExchanges.clear();
    listener =
        new WebListener(
            loops, address, WebLimits.CALLERS, openExchanges::add, new EventLog("test"));
    listener.start();
  }

  /** Stops the listener and its event loops. */
  @AfterMethod(alwaysRun = true)
  public void close() {
    listener.close();
    loops.shutdownGracefully().awaitUninterruptibly();
  }

  /**
   * Guards against truncated responses: requests counted as done before their responses were
   * written.
   */
  @Test
  public void countsRequestsUntilTheirResponsesAreWritten() throws Exception {
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.connect(address.toSocketAddress());
      sendRequest(caller);
      WebExchange exchange = openExchanges.take();
      assertEquals(listener.openRequestCount(), 1);
      exchange.respond(WebResponse.text(200, LARGE_RESPONSE));
      caller.getInputStream().readNBytes(RECEIVE_BUFFER_BYTES);
      assertEquals(listener.openRequestCount(), 1);
      caller.getInputStream().skipNBytes(LARGE_RESPONSE.length() - RECEIVE_BUFFER_BYTES);
      awaitNoOpenRequests();
    }
  }

  /**
   * Guards against truncated responses: connections counted as idle while a response was being
   * written.
   */
  @Test
  public void writesWholeResponsesBeforeClosingIdleConnections() throws Exception {
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.connect(address.toSocketAddress());
      sendRequest(caller);
      openExchanges.take().respond(WebResponse.text(200, LARGE_RESPONSE));
      caller.getInputStream().readNBytes(RECEIVE_BUFFER_BYTES);
      listener.drain();
      long rest = caller.getInputStream().transferTo(OutputStream.nullOutputStream());
      assertTrue(
          rest + RECEIVE_BUFFER_BYTES > LARGE_RESPONSE.length(), "only " + rest + " bytes came");
    }
  }

  /** Guards against a planned stop that waits for callers that have closed their connections. */
  @Test
  public void stopsCountingRequestsOfClosedConnections() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(address.toSocketAddress());
      sendRequest(caller);
      sendRequest(caller);
      openExchanges.take();
    }
    awaitNoOpenRequests();
  }

  /**
   * Guards against bodies in responses to HEAD requests, which callers take for the next response.
   */
  @Test
  public void sendsNoBodyInResponseToHead() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(address.toSocketAddress());
      caller.getOutputStream().write("HEAD / HTTP/1.1\r\nHost: test\r\n\r\n".getBytes(UTF_8));
      openExchanges.take().respond(WebResponse.text(200, "body"));
      sendRequest(caller);
      openExchanges.take().respond(WebResponse.empty(404));
      byte[] responses = caller.getInputStream().readNBytes(100);
      String text = new String(responses, UTF_8);
      assertTrue(text.contains("content-length: 4\r\n"), text);
      assertTrue(text.contains("\r\n\r\nHTTP/1.1 404"), text);
    }
  }

  /** Guards against requests that are sent without reading any response, and wait in memory. */
  @Test
  public void closesConnectionsWithTooManyWaitingRequests() throws Exception {
    try (Socket caller = new Socket()) {
      caller.connect(address.toSocketAddress());
      for (int i = 0; i < WebConnection.MAX_WAITING_REQUESTS + 2; i++) {
        sendRequest(caller);
      }
      assertEquals(caller.getInputStream().read(), -1);
    }
    awaitNoOpenRequests();
  }

  /** Guards against responses that are never read, and fill the memory with those that follow. */
  @Test
  public void handlesNoRequestWhileResponseIsUnread() throws Exception {
    try (Socket caller = new Socket()) {
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.connect(address.toSocketAddress());
      sendRequest(caller);
      openExchanges.take().respond(WebResponse.text(200, LARGE_RESPONSE));
      caller.getInputStream().readNBytes(RECEIVE_BUFFER_BYTES);
      sendRequest(caller);
      assertNull(openExchanges.poll(200, TimeUnit.MILLISECONDS));
      caller.getInputStream().skipNBytes(LARGE_RESPONSE.length() - RECEIVE_BUFFER_BYTES);
      openExchanges.take().respond(WebResponse.empty(200));
    }
  }

  /** Guards against callers that are kept out by connections on which nothing is sent. */
  @Test
  public void closesIdleConnectionsInFavorOfNewOnes() throws Exception {
    listener.close();
    WebMemory memory = WebMemory.ofHeap(4 * 48 * 1024);
    listener =
        new WebListener(
            loops,
            address,
            () -> WebLimits.CALLERS,
            memory,
            openExchanges::add,
            new EventLog("test"),
            Clock.monotonic());
    listener.start();
    List<Socket> idle = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      Socket socket = new Socket();
      socket.connect(address.toSocketAddress());
      idle.add(socket);
    }
    try (Socket caller = new Socket()) {
      caller.connect(address.toSocketAddress());
      sendRequest(caller);
      openExchanges.take().respond(WebResponse.empty(200));
      assertEquals((char) caller.getInputStream().read(), 'H');
      assertTrue(listener.connectionCount() <= 4, listener.connectionCount() + " connections");
    }
    for (Socket socket : idle) {
      socket.close();
    }
  }

  /** Guards against refused connections that no metric shows. */
  @Test
  public void countsConnectionsRefusedBesideBusyOnes() throws Exception {
    listener.close();
    WebMemory memory = WebMemory.ofHeap(4 * 48 * 1024);
    MetricRegistry registry = new MetricRegistry();
    memory.register(registry);
    listener =
        new WebListener(
            loops,
            address,
            () -> WebLimits.CALLERS,
            memory,
            openExchanges::add,
            new EventLog("test"),
            Clock.monotonic());
    listener.start();
    List<Socket> busy = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      Socket socket = new Socket();
      socket.connect(address.toSocketAddress());
      sendRequest(socket);
      openExchanges.take();
      busy.add(socket);
    }
    try (Socket caller = new Socket()) {
      caller.connect(address.toSocketAddress());
      assertEquals(caller.getInputStream().read(), -1);
      assertEquals(registry.getGauges().get("web.connections-refused").getValue(), 1L);
    }
    for (Socket socket : busy) {
      socket.close();
    }
  }

  private void awaitNoOpenRequests() throws InterruptedException {
    while (listener.openRequestCount() > 0) {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
    assertEquals(listener.openRequestCount(), 0);
  }

  private static void sendRequest(Socket caller) throws Exception {
    caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: test\r\n\r\n".getBytes(UTF_8));
  }
}
