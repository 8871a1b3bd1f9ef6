package org.burdockbay.server;

import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.security.SecureRandom;
import java.util.logging.LogManager;

/**
 * Loads resources that the runtime and the network library otherwise read from disk on first use.
 *
 * <p>A process calls this before it starts its threads, so that startup doesn't depend on the order
 * in which the threads are scheduled.
 */
public final class LazyResources {

  private static final int SEED_BYTES = 8;

  private LazyResources() {}

  /** Loads native libraries, kernel limits, and security and logging properties. */
  public static void preload() {
    LogManager.getLogManager();
    new SecureRandom().nextBytes(new byte[SEED_BYTES]);
    // Channels that aren't registered don't start an event loop.
    close(new NioServerSocketChannel());
    close(new NioSocketChannel());
  }

  private static void close(Channel channel) {
    channel.unsafe().closeForcibly();
  }
}
