package org.burdockbay.server.transport;

import org.burdockbay.core.message.PeerMessage;

/**
 * Receives messages from other hosts and events of their connections, on the transport's threads.
 */
public interface PeerListener {

  /** Called for each message from an authenticated host. */
  void messageReceived(String host, PeerMessage message);

  /**
   * Called when a new connection to or from the host is authenticated; messages on an earlier one
   * may be lost.
   */
  void connectionOpened(String host);

  /**
   * Called when an outbound connection to the host is established.
   *
   * @param incarnation incarnation of the other host's process
   */
  default void outboundConnected(String host, long incarnation) {}
}
