package org.burdockbay.server.transport;

import java.util.function.Predicate;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.settings.HostSettings;

/**
 * Settings of the transport between hosts.
 *
 * @param cluster name of the cluster; hosts of other clusters are rejected
 * @param host the id of this host
 * @param secret shared secret of the cluster; empty disables authentication
 * @param address address to listen on
 * @param isKnownHost tests whether the host with the given id may connect
 * @param threadCount number of event loop threads
 * @param pingIntervalMillis interval between pings on a connection, in milliseconds
 * @param silenceTimeoutMillis time without traffic from the other host after which a connection is
 *     closed, in milliseconds
 * @param maxGapMillis longest gap between two messages on an inbound connection, in milliseconds;
 *     after a longer gap messages may be outdated, and the connection is closed; must cover several
 *     heartbeat intervals
 */
public record TransportSettings(
    String cluster,
    String host,
    String secret,
    HostAddress address,
    Predicate<String> isKnownHost,
    int threadCount,
    long pingIntervalMillis,
    long silenceTimeoutMillis,
    long maxGapMillis) {

  /** Time without traffic after which a connection between static peers is closed. */
  static final long STATIC_PEERS_SILENCE_TIMEOUT_MILLIS = 1_500;

  private static final long STATIC_PEERS_PING_INTERVAL_MILLIS = 600;
  private static final int STATIC_PEERS_THREAD_COUNT = 2;

  /** Returns the transport settings of a host whose settings list its peers. */
  public static TransportSettings forStaticPeers(HostSettings settings) {
    return new TransportSettings(
        settings.cluster(),
        settings.id(),
        settings.secret(),
        settings.peerAddress(),
        settings.domainByHost()::containsKey,
        STATIC_PEERS_THREAD_COUNT,
        STATIC_PEERS_PING_INTERVAL_MILLIS,
        STATIC_PEERS_SILENCE_TIMEOUT_MILLIS,
        Membership.SILENCE_TIMEOUT_MILLIS);
  }
}
