package org.burdockbay.server.web;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.server.settings.HostAddress;

/**
 * The head of requests that differ in their bodies only, encoded once.
 *
 * <p>Immutable.
 */
public final class WebHead {

  private static final byte[] END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final HostAddress address;
  private final byte[] encoded;

  /**
   * Encodes a head.
   *
   * @param address where to send the requests
   * @param method the method
   * @param path path and query
   * @param headers headers beside those of the body; signs that end a line become question marks
   */
  public WebHead(HostAddress address, String method, String path, Map<String, String> headers) {
    this.address = address;
    StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    line(text, "Host", address.toString());
    line(text, "Content-Type", "application/json");
    headers.forEach((name, value) -> line(text, name, value));
    this.encoded = text.append("Content-Length: ").toString().getBytes(StandardCharsets.UTF_8);
  }

  HostAddress address() {
    return address;
  }

  /** Returns a request with this head. */
  ByteBuf request(Bytes body) {
    byte[] content = body.toArray();
    byte[] length = Integer.toString(content.length).getBytes(StandardCharsets.US_ASCII);
    return Unpooled.buffer(encoded.length + length.length + END.length + content.length)
        .writeBytes(encoded)
        .writeBytes(length)
        .writeBytes(END)
        .writeBytes(content);
  }

  private static void line(StringBuilder text, String name, String value) {
    text.append(name).append(": ").append(value.replaceAll("\\p{Cntrl}", "?")).append("\r\n");
  }
}
