package org.burdockbay.server.transport;

import org.burdockbay.core.message.PeerMessage;

/** Told of messages and connections of other hosts, on the transport's threads. */
public interface PeerListener {

  /** A message arrived from an authenticated host. */
  void messageReceived(String host, PeerMessage message);

  /** A connection to or from the host is new, so messages on an earlier one may be lost. */
  void connectionOpened(String host);

  /**
   * An outbound connection to the host has been established.
   *
   * @param incarnation incarnation of the host's process at the other end
   */
  default void outboundConnected(String host, long incarnation) {}
}
