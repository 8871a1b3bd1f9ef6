package org.burdockbay.server.transport;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Limits the number of accepted connections whose other end isn't authenticated yet.
 *
 * <p>When too many handshakes are under way, the connection of the oldest one is closed, so that
 * connections which never complete theirs can't exclude other hosts. Thread-safe.
 */
final class PendingHandshakes {

  static final int MAX_PENDING = 128;

  private final Set<Channel> oldestFirst = new LinkedHashSet<>();

  /** Adds a connection, and closes the oldest one if there are too many. */
  synchronized void begun(Channel channel) {
    oldestFirst.add(channel);
    if (oldestFirst.size() > MAX_PENDING) {
      Iterator<Channel> oldest = oldestFirst.iterator();
      Channel closing = oldest.next();
      oldest.remove();
      closing.close();
    }
  }

  /** Removes a connection that is authenticated or closed. */
  synchronized void ended(Channel channel) {
    oldestFirst.remove(channel);
  }
}
