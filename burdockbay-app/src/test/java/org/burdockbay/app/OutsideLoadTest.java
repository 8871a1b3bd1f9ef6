package org.burdockbay.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** Tests that real processes serve others while one party occupies their connections. */
public class OutsideLoadTest {

  private static final int CONNECTIONS = 300;

  private TestCluster cluster;

  /** Starts the cluster. */
  @BeforeClass
  public void setUp() throws Exception {
    cluster = new TestCluster();
  }

  /** Ends the processes. */
  @AfterClass(alwaysRun = true)
  public void tearDown() throws Exception {
    cluster.close();
  }

  /** Guards against bodies under way that occupy all threads, so that no request is answered. */
  @Test
  public void servesOthersBesideIncompleteBodies() throws Exception {
    List<Socket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < CONNECTIONS; i++) {
        Socket socket = cluster.connect("a");
        sockets.add(socket);
        write(
            socket,
            "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer caller-credential\r\n"
                + "Content-Length: 200000\r\n\r\n"
                + "x".repeat(1_000));
      }
      for (int i = 0; i < 5; i++) {
        assertEquals(cluster.submit("a", "check", "k" + i, 5).get().code(), 200);
      }
      assertEquals(cluster.get("a", "/ready", "").code(), 200);
      assertTrue(cluster.process("a").isAlive());
    } finally {
      for (Socket socket : sockets) {
        socket.close();
      }
    }
  }

  /** Guards against refusing small bodies that arrive late, as all do beside load. */
  @Test
  public void acceptsBodiesThatArriveSlowly() throws Exception {
    String body = "{\"job\":\"check\",\"tasks\":[{\"key\":\"slow\",\"runMillis\":5}]}";
    try (Socket socket = cluster.connect("a")) {
      write(
          socket,
          "POST /v1/jobs HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer caller-credential\r\n"
              + "Content-Length: "
              + body.length()
              + "\r\n\r\n");
      for (int i = 0; i < body.length(); i++) {
        write(socket, body.substring(i, i + 1));
        Thread.sleep(20);
      }
      String status = new String(socket.getInputStream().readNBytes(12), StandardCharsets.US_ASCII);
      assertEquals(status, "HTTP/1.1 200");
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }
}
