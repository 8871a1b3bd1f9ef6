package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** The part of HTTP/1.1 that the stand-ins need. */
final class Http {

  private Http() {}

  /** A request or a response; the first line is split at spaces into at most three words. */
  record Message(String[] first, Map<String, String> headers, String body) {

    int status() {
      return Integer.parseInt(first[1]);
    }
  }

  /** Reads a message; null at the end of the stream. */
  static Message read(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new TreeMap<>();
    for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
      int colon = line.indexOf(':');
      headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
    }
    int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new IOException("the channel ended within a body");
    }
    return new Message(first.split(" ", 3), headers, new String(body, StandardCharsets.UTF_8));
  }

  private static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return null;
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.UTF_8);
  }

  static byte[] request(String method, String path, Map<String, String> headers, String body) {
    StringBuilder head = new StringBuilder(method + ' ' + path + " HTTP/1.1\r\n");
    headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    head.append("Content-Type: application/json\r\nContent-Length: " + bytes.length + "\r\n\r\n");
    return concat(head.toString().getBytes(StandardCharsets.US_ASCII), bytes);
  }

  static byte[] response(int status, String body) {
    byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
    String head =
        "HTTP/1.1 " + status + " -\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length + "\r\n\r\n";
    return concat(head.getBytes(StandardCharsets.US_ASCII), bytes);
  }

  private static byte[] concat(byte[] a, byte[] b) {
    byte[] all = new byte[a.length + b.length];
    System.arraycopy(a, 0, all, 0, a.length);
    System.arraycopy(b, 0, all, a.length, b.length);
    return all;
  }

  /** A channel of a client. */
  static final class Channel implements AutoCloseable {

    final Socket socket = new Socket();
    private final InputStream in;

    Channel(String ip, int port, int timeoutMillis) throws IOException {
      socket.setTcpNoDelay(true);
      socket.connect(new InetSocketAddress(ip, port), Math.min(1_000, timeoutMillis));
      socket.setSoTimeout(timeoutMillis);
      in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, Map<String, String> headers, String body)
        throws IOException {
      socket.getOutputStream().write(request(method, path, headers, body));
    }

    /** Returns the next response; null if the channel ended. */
    Message receive() throws IOException {
      return read(in);
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** Makes one call on a channel of its own. */
  static Message call(
      String ip, int port, String method, String path, Map<String, String> headers, String body,
      int timeoutMillis)
      throws IOException {
    try (Channel channel = new Channel(ip, port, timeoutMillis)) {
      channel.send(method, path, headers, body);
      Message answer = channel.receive();
      if (answer == null) {
        throw new IOException("the channel ended without an answer");
      }
      return answer;
    }
  }
}
