package org.burdockbay.server.settings;

import java.net.InetSocketAddress;

/** An IP address and a port. */
public record HostAddress(String ip, int port) {

  /**
   * Parses an address of the form {@code ip:port}.
   *
   * @throws IllegalArgumentException if the text has another form
   */
  public static HostAddress parse(String text) {
    int colon = text.lastIndexOf(':');
    if (colon < 0) {
      throw new IllegalArgumentException("'" + text + "' is not of the form ip:port");
    }
    return new HostAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
  }

  /** Returns this address as a socket address. */
  public InetSocketAddress toSocketAddress() {
    return new InetSocketAddress(ip, port);
  }

  @Override
  public String toString() {
    return ip + ":" + port;
  }
}
