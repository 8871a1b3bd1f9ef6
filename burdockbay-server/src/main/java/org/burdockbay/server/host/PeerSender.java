package org.burdockbay.server.host;

import org.burdockbay.core.message.PeerMessage;

/** Sends messages to hosts, this one included. */
@FunctionalInterface
public interface PeerSender {

  /** Sends a message; it may be lost. */
  void send(String host, PeerMessage message);
}
