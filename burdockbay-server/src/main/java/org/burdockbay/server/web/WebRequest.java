package org.burdockbay.server.web;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.burdockbay.core.agreement.Bytes;

/**
 * A complete request.
 *
 * @param method the method
 * @param path the path without the query
 * @param host value of the Host header without the port; empty if the header is missing
 * @param body the body
 * @param headers lookup of headers by name
 */
public record WebRequest(
    String method, String path, String host, Bytes body, HeaderLookup headers) {

  static WebRequest of(HttpRequest request, Bytes body) {
    String target = request.uri();
    int query = target.indexOf('?');
    String path = query < 0 ? target : target.substring(0, query);
    HttpHeaders headers = request.headers();
    return new WebRequest(
        request.method().name(),
        path,
        withoutPort(Optional.ofNullable(headers.get("Host")).orElse("")),
        body,
        name -> Optional.ofNullable(headers.get(name)));
  }

  /** Returns this request without its body and headers. */
  WebRequest withoutContent() {
    return new WebRequest(method, path, host, Bytes.EMPTY, name -> Optional.empty());
  }

  /**
   * Returns the body as text.
   *
   * @throws CharacterCodingException if it isn't valid UTF-8
   */
  public String bodyText() throws CharacterCodingException {
    return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body.toArray())).toString();
  }

  private static String withoutPort(String host) {
    int colon = host.lastIndexOf(':');
    return colon < 0 ? host : host.substring(0, colon);
  }

  /** Looks up a header. */
  @FunctionalInterface
  public interface HeaderLookup {

    /** Returns the first value of the header with the given name, ignoring case. */
    Optional<String> find(String name);
  }
}
