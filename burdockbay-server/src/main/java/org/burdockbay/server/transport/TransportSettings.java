package org.burdockbay.server.transport;

import java.util.function.Predicate;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.settings.HostSettings;

/**
 * What the transport has to know of its host.
 *
 * @param cluster hosts of other clusters are refused
 * @param host the id of this host
 * @param secret what all hosts of the cluster know; empty if they prove nothing to each other
 * @param address where to listen
 * @param isKnownHost whether a host with the given id may connect
 * @param threadCount number of threads that carry connections
 * @param pingIntervalMillis time between pings on a connection, in milliseconds
 * @param silenceTimeoutMillis silence after which a connection is given up, in milliseconds
 * @param maxGapMillis gap between two messages on a connection after which what follows was sent
 *     too long ago to be believed, in milliseconds; several heartbeats
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

  /** Silence after which a connection is given up where hosts are listed, in milliseconds. */
  static final long STATIC_PEERS_SILENCE_TIMEOUT_MILLIS = 1_500;

  private static final long STATIC_PEERS_PING_INTERVAL_MILLIS = 600;
  private static final int STATIC_PEERS_THREAD_COUNT = 2;

  /** Returns the settings of a host whose peers are listed in its settings. */
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
