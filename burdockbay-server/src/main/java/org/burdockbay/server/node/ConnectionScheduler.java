package org.burdockbay.server.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.settings.PeerSettings;

/**
 * Decides when this host connects to the hosts that it discovers.
 *
 * <p>A host that has just started spends most of its processor time on handshakes. Until the shards
 * of its failure domain have dispatchers, or a second has passed, it connects at once only to the
 * seeds and to the hosts of its domain, which claim these shards, and to all others at a bounded
 * rate. Once this time is over, it connects to every host at once.
 *
 * <p>Takes effect in a fleet that is divided into shards, and on hosts that may dispatch and have
 * no disk: from the hosts with a disk, the others learn the layout, the upstreams and the other
 * hosts.
 */
final class ConnectionScheduler {

  /** Number of connections that are opened together. */
  static final int BATCH_SIZE = 4;

  static final long BATCH_INTERVAL_MILLIS = 50;

  /** Longest time for which connections are deferred after the first one, in milliseconds. */
  static final long MAX_DEFERRAL_MILLIS = 1_000;

  private final NodeSettings settings;
  private final HostDirectory directory;
  private final Consumer<PeerSettings> connector;
  private final EventLog log;

  /** The hosts to connect to later, by id, in the order of discovery. */
  private final Map<String, HostDescriptor> deferred = new LinkedHashMap<>();

  private boolean defersConnections;
  private OptionalLong firstDeferredAt = OptionalLong.empty();
  private long nextBatchAt;

  /**
   * Creates a scheduler.
   *
   * @param directory holds the discovered hosts; seeds are added to it
   * @param connector opens a connection, and reopens it whenever it is lost
   */
  ConnectionScheduler(
      NodeSettings settings,
      HostDirectory directory,
      Consumer<PeerSettings> connector,
      EventLog log) {
    this.settings = settings;
    this.directory = directory;
    this.connector = connector;
    this.log = log;
    this.defersConnections =
        settings.scheduling().stagedRecovery()
            && settings.mayDispatch()
            && settings.dataFolder().isEmpty();
  }

  /** Connects to a seed, unless it is known already. */
  void connectSeed(HostAddress seed, long now) {
    HostDescriptor descriptor = new HostDescriptor(seed.ip(), "", "", seed.toString());
    boolean known = directory.otherHosts().contains(seed.ip());
    if (!known && !seed.ip().equals(settings.host())) {
      directory.add(descriptor, now);
      connect(descriptor);
    }
  }

  /** Connects to a host that was discovered or has changed, now or later. */
  void hostDiscovered(HostDescriptor descriptor, boolean isNew, long now) {
    if (defersConnections && (isNew || deferred.containsKey(descriptor.id()))) {
      connectInStages(descriptor, now);
    } else if (isNew) {
      connect(descriptor);
    }
  }

  private void connectInStages(HostDescriptor descriptor, long now) {
    if (descriptor.domain().equals(settings.descriptor().domain())) {
      deferred.remove(descriptor.id());
      connect(descriptor);
      return;
    }
    deferred.put(descriptor.id(), descriptor);
    if (firstDeferredAt.isEmpty()) {
      firstDeferredAt = OptionalLong.of(now);
      nextBatchAt = now + BATCH_INTERVAL_MILLIS;
    }
  }

  /** Opens the deferred connections that are due. */
  void tick(Membership membership, long now) {
    if (!defersConnections || firstDeferredAt.isEmpty()) {
      return;
    }
    long elapsed = now - firstDeferredAt.getAsLong();
    if (membership.isOwnDomainServed()) {
      endDeferral("domain-served", elapsed);
    } else if (elapsed >= MAX_DEFERRAL_MILLIS) {
      endDeferral("time-elapsed", elapsed);
    } else if (isKnownUndivided(membership)) {
      endDeferral("fleet-undivided", elapsed);
    } else {
      connectDispatchers(membership);
      if (now >= nextBatchAt) {
        nextBatchAt = now + BATCH_INTERVAL_MILLIS;
        connectDeferred(BATCH_SIZE);
      }
    }
  }

  /** Connects to the deferred hosts that dispatch, as work may be submitted to them now. */
  private void connectDispatchers(Membership membership) {
    for (RouteView.ActiveDispatcher dispatcher : membership.routes().shards().values()) {
      HostDescriptor descriptor = deferred.remove(dispatcher.host());
      if (descriptor != null) {
        connect(descriptor);
      }
    }
  }

  /**
   * Returns whether a host with a disk, which retains the layout, has reported an undivided one.
   */
  private static boolean isKnownUndivided(Membership membership) {
    return membership.layout().undivided()
        && membership.liveHosts().stream()
            .mapToLong(HostStatus::storageIncarnation)
            .anyMatch(incarnation -> incarnation != 0);
  }

  private void endDeferral(String reason, long elapsedMillis) {
    defersConnections = false;
    log.info(
        "connections-resumed",
        "reason=" + reason + " deferred=" + deferred.size() + " millis=" + elapsedMillis);
    connectDeferred(deferred.size());
  }

  private void connectDeferred(int count) {
    List<HostDescriptor> next = new ArrayList<>(deferred.values());
    for (HostDescriptor descriptor : next.subList(0, Math.min(count, next.size()))) {
      deferred.remove(descriptor.id());
      connect(descriptor);
    }
  }

  private void connect(HostDescriptor descriptor) {
    HostAddress address = HostAddress.parse(descriptor.address());
    connector.accept(new PeerSettings(descriptor.id(), descriptor.domain(), address, false));
  }
}
