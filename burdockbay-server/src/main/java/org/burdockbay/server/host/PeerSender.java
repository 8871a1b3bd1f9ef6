package org.burdockbay.server.host;

import org.burdockbay.core.message.PeerMessage;

/** Sends messages to hosts, including this one. */
@FunctionalInterface
public interface PeerSender {

  /** Sends a message, without a guarantee that it arrives. */
  void send(String host, PeerMessage message);
}
