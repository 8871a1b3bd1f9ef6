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
 * @param known whether a host with the given id may connect
 * @param loops number of threads that carry connections
 * @param pingMillis time between pings on a connection, in milliseconds
 * @param silenceMillis silence after which a connection is given up, in milliseconds
 * @param staleMillis gap between two messages on a connection after which what follows was sent too
 *     long ago to be believed, in milliseconds; several heartbeats
 */
public record TransportSettings(
    String cluster,
    String host,
    String secret,
    HostAddress address,
    Predicate<String> known,
    int loops,
    long pingMillis,
    long silenceMillis,
    long staleMillis) {

  /** Silence after which a connection is given up where hosts are listed, in milliseconds. */
  static final long LISTED_SILENCE_MILLIS = 1_500;

  private static final long LISTED_PING_MILLIS = 600;
  private static final int LISTED_LOOPS = 2;

  /** Returns the settings of a host whose peers are listed in its settings. */
  public static TransportSettings of(HostSettings settings) {
    return new TransportSettings(
        settings.cluster(),
        settings.id(),
        settings.secret(),
        settings.peerAddress(),
        settings.domainByHost()::containsKey,
        LISTED_LOOPS,
        LISTED_PING_MILLIS,
        LISTED_SILENCE_MILLIS,
        Membership.SILENCE_TIMEOUT_MILLIS);
  }
}
