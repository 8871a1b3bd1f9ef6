package org.burdockbay.server.http;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.security.KeyStore;
import java.security.cert.CertificateFactory;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import javax.net.ssl.SSLContext;
import javax.net.ssl.TrustManagerFactory;
import javax.net.ssl.X509TrustManager;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostSettings;
import org.testng.annotations.Test;

/** Tests TLS, problem details of errors, graceful stops and startup failures of the HTTP server. */
public class HttpServerTest {

  /** Exceeds the kernel's socket buffers of a connection. */
  private static final byte[] LARGE_RESPONSE = new byte[32 * 1024 * 1024];

  private static final int RECEIVE_BUFFER_BYTES = 4_096;
  private static final long POLL_INTERVAL_MILLIS = 10;

  private final CompletableFuture<Void> silentRequestArrived = new CompletableFuture<>();

  /** Guards against a host with a certificate that serves no TLS, or plain HTTP as well. */
  @Test
  public void servesOverTls() throws Exception {
    HostSettings settings = settings(freePort(), resource("certificate.pem"), resource("key.pem"));
    try (HttpServer server = server(settings)) {
      server.start();
      assertEquals(get(settings, "https", "/hello"), "200 hello");
      expectThrows(java.io.IOException.class, () -> get(settings, "http", "/hello"));
    }
  }

  /** Guards against errors and unknown paths that aren't reported as problem details. */
  @Test
  public void answersErrorsWithProblemDetails() throws Exception {
    HostSettings settings = settings(freePort(), "", "");
    try (HttpServer server = server(settings)) {
      server.start();
      String refused = get(settings, "http", "/refused");
      assertTrue(refused.startsWith("429 "), refused);
      assertTrue(refused.contains("\"promise\":\"not_run\""), refused);
      assertTrue(refused.contains("\"retryAfterMillis\":700"), refused);
      assertTrue(get(settings, "http", "/nowhere").startsWith("404 {\"type\":\"urn:burdockbay"));
    }
  }

  /** Guards against a planned stop that truncates responses still being written. */
  @Test
  public void writesWholeResponsesBeforeStopping() throws Exception {
    HostSettings settings = settings(freePort(), "", "");
    try (HttpServer server = server(settings);
        Socket caller = new Socket()) {
      server.start();
      caller.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      caller.connect(settings.httpAddress().toSocketAddress());
      send(caller, "GET /large HTTP/1.1");
      caller.getInputStream().readNBytes(RECEIVE_BUFFER_BYTES);
      CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> server.stop(60_000));
      awaitClosedPort(settings);
      long rest = caller.getInputStream().transferTo(OutputStream.nullOutputStream());
      assertTrue(
          rest + RECEIVE_BUFFER_BYTES > LARGE_RESPONSE.length, "only " + rest + " bytes came");
      stopped.join();
    }
  }

  /** Guards against a planned stop that drops new requests instead of rejecting them. */
  @Test
  public void refusesRequestsOnOpenConnectionsWhileStopping() throws Exception {
    HostSettings settings = settings(freePort(), "", "");
    try (HttpServer server = server(settings);
        Socket slow = new Socket();
        Socket second = new Socket()) {
      server.start();
      slow.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
      slow.connect(settings.httpAddress().toSocketAddress());
      second.connect(settings.httpAddress().toSocketAddress());
      send(slow, "GET /large HTTP/1.1");
      slow.getInputStream().readNBytes(RECEIVE_BUFFER_BYTES);
      send(second, "GET /hello HTTP/1.1");
      BufferedReader responses =
          new BufferedReader(new InputStreamReader(second.getInputStream(), UTF_8));
      assertEquals(responses.readLine(), "HTTP/1.1 200 OK");
      final CompletableFuture<Void> stopped = CompletableFuture.runAsync(() -> server.stop(60_000));
      awaitClosedPort(settings);
      send(second, "GET /hello HTTP/1.1");
      String rest = responses.lines().collect(Collectors.joining("\n"));
      assertTrue(rest.contains("HTTP/1.1 503 Service Unavailable\n"), rest);
      assertTrue(rest.contains("Retry-After: 1\n"), rest);
      assertTrue(rest.contains("\"type\":\"urn:burdockbay:error:refused\""), rest);
      slow.getInputStream().transferTo(OutputStream.nullOutputStream());
      stopped.join();
    }
  }

  /** Guards against a planned stop that never ends because a request is never answered. */
  @Test
  public void stopsDespiteUnansweredRequests() throws Exception {
    HostSettings settings = settings(freePort(), "", "");
    try (HttpServer server = server(settings);
        Socket caller = new Socket()) {
      server.start();
      caller.connect(settings.httpAddress().toSocketAddress());
      send(caller, "GET /silent HTTP/1.1");
      silentRequestArrived.join();
      server.stop(10);
      caller.getInputStream().readAllBytes();
      expectThrows(
          IOException.class, () -> new Socket().connect(settings.httpAddress().toSocketAddress()));
    }
  }

  /** Guards against a startup error that doesn't name the address in use. */
  @Test
  public void reportsAddressesInUse() throws Exception {
    try (ServerSocket other = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      HostSettings settings = settings(other.getLocalPort(), "", "");
      try (HttpServer server = server(settings)) {
        ServerException e = expectThrows(ServerException.class, server::start);
        assertTrue(e.getMessage().startsWith("http-address 127.0.0.1:"), e.getMessage());
      }
    }
  }

  /** Guards against an unusable key file that isn't reported before the server starts. */
  @Test
  public void reportsUnusableKeyFiles() throws Exception {
    HostSettings settings =
        settings(freePort(), resource("certificate.pem"), resource("certificate.pem"));
    ServerException e = expectThrows(ServerException.class, () -> server(settings));
    assertTrue(e.getMessage().startsWith("tls-key "), e.getMessage());
  }

  private HttpServer server(HostSettings settings) throws ServerException {
    return new HttpServer(
        settings,
        new Responder(new ObjectMapper()),
        new EventLog("test"),
        List.of(
            routes -> {
              routes.get("/hello", context -> context.result("hello"));
              routes.get(
                  "/silent",
                  context -> {
                    context.future(CompletableFuture::new);
                    silentRequestArrived.complete(null);
                  });
              routes.get("/large", context -> context.result(LARGE_RESPONSE));
              routes.get(
                  "/refused",
                  context -> {
                    throw new ApiException(ErrorKind.QUOTA_EXCEEDED, "over the quota", 700);
                  });
            }));
  }

  private static void send(Socket caller, String requestLine) throws IOException {
    String request = requestLine + "\r\nHost: test\r\n\r\n";
    caller.getOutputStream().write(request.getBytes(UTF_8));
  }

  /** Waits until the server accepts no more connections. */
  private static void awaitClosedPort(HostSettings settings) throws InterruptedException {
    while (true) {
      try (Socket socket = new Socket()) {
        socket.connect(settings.httpAddress().toSocketAddress());
      } catch (IOException e) {
        return;
      }
      Thread.sleep(POLL_INTERVAL_MILLIS);
    }
  }

  private static String get(HostSettings settings, String scheme, String path) throws Exception {
    KeyStore trusted = KeyStore.getInstance("PKCS12");
    trusted.load(null, null);
    try (InputStream in = HttpServerTest.class.getResourceAsStream("certificate.pem")) {
      trusted.setCertificateEntry(
          "host", CertificateFactory.getInstance("X.509").generateCertificate(in));
    }
    TrustManagerFactory trust =
        TrustManagerFactory.getInstance(TrustManagerFactory.getDefaultAlgorithm());
    trust.init(trusted);
    SSLContext tls = SSLContext.getInstance("TLS");
    tls.init(null, trust.getTrustManagers(), null);
    OkHttpClient client =
        new OkHttpClient.Builder()
            .sslSocketFactory(
                tls.getSocketFactory(), (X509TrustManager) trust.getTrustManagers()[0])
            .build();
    String url = scheme + "://" + settings.httpAddress() + path;
    try (Response response = client.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.code() + " " + response.body().string();
    }
  }

  private static HostSettings settings(int port, String certificate, String key)
      throws ConfigurationException {
    return HostSettings.parse(
        "test.ini",
        """
        [host]
        id = a
        domain = north
        cluster = test
        secret = 0123456789abcdef
        peer-address = 127.0.0.1:1
        http-address = 127.0.0.1:%d
        operator-token = 0123456789abcdef
        runner-token = 0123456789abcdef
        tls-certificate = %s
        tls-key = %s
        """
            .formatted(port, certificate, key));
  }

  private static String resource(String name) throws Exception {
    return Path.of(HttpServerTest.class.getResource(name).toURI()).toString();
  }

  private static int freePort() throws Exception {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return socket.getLocalPort();
    }
  }
}
