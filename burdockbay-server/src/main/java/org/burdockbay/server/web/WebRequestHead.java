package org.burdockbay.server.web;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.server.settings.HostAddress;

/**
 * The encoded request line and headers of requests that differ only in their bodies.
 *
 * <p>Immutable.
 */
public final class WebRequestHead {

  private static final byte[] HEAD_END = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final HostAddress address;
  private final byte[] encodedHead;

  /**
   * Encodes a request head.
   *
   * @param address address to which the requests are sent
   * @param method the method
   * @param path path and query
   * @param headers further headers; control characters in values are replaced with question marks
   */
  public WebRequestHead(
      HostAddress address, String method, String path, Map<String, String> headers) {
    this.address = address;
    StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
    appendHeader(text, "Host", address.toString());
    appendHeader(text, "Content-Type", "application/json");
    headers.forEach((name, value) -> appendHeader(text, name, value));
    this.encodedHead = text.append("Content-Length: ").toString().getBytes(StandardCharsets.UTF_8);
  }

  HostAddress address() {
    return address;
  }

  /** Returns an encoded request with this head and the given body. */
  ByteBuf encodeRequest(Bytes body) {
    byte[] content = body.toArray();
    byte[] length = Integer.toString(content.length).getBytes(StandardCharsets.US_ASCII);
    return Unpooled.buffer(encodedHead.length + length.length + HEAD_END.length + content.length)
        .writeBytes(encodedHead)
        .writeBytes(length)
        .writeBytes(HEAD_END)
        .writeBytes(content);
  }

  private static void appendHeader(StringBuilder text, String name, String value) {
    text.append(name).append(": ").append(value.replaceAll("\\p{Cntrl}", "?")).append("\r\n");
  }
}
