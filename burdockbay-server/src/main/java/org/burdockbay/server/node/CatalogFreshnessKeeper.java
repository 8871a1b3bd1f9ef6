package org.burdockbay.server.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogConfirmation;
import org.burdockbay.core.catalog.CatalogFreshness;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.host.AgreementDriver;
import org.burdockbay.server.logging.EventLog;

/**
 * Exchanges confirmations of the newest catalog with other hosts in heartbeats, and ends the use of
 * the catalog in force on this host while it may be outdated.
 *
 * <p>Unless stated otherwise, methods must be called on the control thread.
 */
final class CatalogFreshnessKeeper {

  private final CatalogFreshness freshness;
  private final Supplier<Optional<AgreementDriver>> agreement;
  private final Consumer<Runnable> afterArrivedMessages;
  private final EventLog log;
  private final Clock clock;
  private final Map<String, Echo> echoes = new HashMap<>();
  private final Set<String> hostsWithoutDisk = new HashSet<>();

  /** When {@link #leaderConfirmedAt} was computed; the heartbeats to all hosts share it. */
  private long leaderConfirmationAt = Long.MIN_VALUE;

  private OptionalLong leaderConfirmedAt = OptionalLong.empty();
  private boolean checkingSilence;
  private boolean outdated;

  /**
   * Creates a keeper.
   *
   * @param maxAgeMillis time after the acceptance of a version within which it must be in force on
   *     this host, in milliseconds
   * @param agreement returns the Raft node of this host, if it has one
   * @param afterArrivedMessages runs a task on the control thread after all messages that have
   *     already arrived at this host
   */
  CatalogFreshnessKeeper(
      long maxAgeMillis,
      Supplier<Optional<AgreementDriver>> agreement,
      Consumer<Runnable> afterArrivedMessages,
      EventLog log,
      Clock clock) {
    this.freshness = new CatalogFreshness(maxAgeMillis, clock.millis());
    this.agreement = agreement;
    this.afterArrivedMessages = afterArrivedMessages;
    this.log = log;
    this.clock = clock;
  }

  /** Returns whether this host may act on a catalog now; safe on any thread. */
  boolean mayActOn(Catalog catalog, long now) {
    return freshness.mayActOn(catalog.version(), now);
  }

  /** Records that a version has come into force on this host. */
  void putInForce(long version) {
    freshness.putInForce(version);
  }

  /** Handles what a heartbeat tells about catalogs. */
  void handleHeartbeat(PeerMessage.Heartbeat heartbeat, long arrivedAt) {
    HostStatus status = heartbeat.status();
    if (status.storageIncarnation() == 0) {
      hostsWithoutDisk.add(status.host());
    } else {
      hostsWithoutDisk.remove(status.host());
    }
    heartbeat
        .sentAtMillis()
        .ifPresent(sentAt -> echoes.put(status.host(), new Echo(sentAt, arrivedAt)));
    freshness.handleAnnouncement(status.configurationVersion(), arrivedAt);
    heartbeat
        .catalogConfirmation()
        .ifPresent(confirmation -> handleConfirmation(confirmation, arrivedAt));
  }

  /** Forgets the times that an earlier process on a host may have stated. */
  void connectionOpened(String host) {
    echoes.remove(host);
  }

  /** Returns the time to state in a heartbeat to a host; empty if the host can't be the leader. */
  OptionalLong sentAtFor(String host, long now) {
    return hostsWithoutDisk.contains(host) ? OptionalLong.empty() : OptionalLong.of(now);
  }

  /** Returns the confirmation to send to a host; empty if this host doesn't lead. */
  Optional<CatalogConfirmation> confirmationFor(String host, long now) {
    Echo echo = echoes.get(host);
    return agreement
        .get()
        .filter(AgreementDriver::isLeader)
        .map(
            leader ->
                new CatalogConfirmation(
                    leader.state().catalog().version(),
                    confirmationAge(leader, now),
                    echo == null ? OptionalLong.empty() : OptionalLong.of(echo.sentAt),
                    echo == null ? 0 : now - echo.arrivedAt));
  }

  /** Checks whether a leader is silent, if none has confirmed the catalog for some time. */
  void tick(Catalog inForce, long now) {
    agreement
        .get()
        .filter(AgreementDriver::isLeader)
        .ifPresent(
            leader ->
                leader
                    .node()
                    .confirmedAt()
                    .ifPresent(
                        confirmedAt ->
                            freshness.handleConfirmation(
                                leader.state().catalog().version(), confirmedAt, now)));
    if (!checkingSilence && freshness.needsSilenceCheck(now)) {
      checkingSilence = true;
      afterArrivedMessages.accept(
          () -> {
            checkingSilence = false;
            freshness.silenceChecked(now, clock.millis());
          });
    }
    logChange(inForce, now);
  }

  private void handleConfirmation(CatalogConfirmation confirmation, long arrivedAt) {
    freshness.leaderHeard(arrivedAt);
    confirmation
        .confirmedAt(arrivedAt)
        .ifPresent(
            confirmedAt ->
                freshness.handleConfirmation(confirmation.version(), confirmedAt, arrivedAt));
  }

  private OptionalLong confirmationAge(AgreementDriver leader, long now) {
    if (now != leaderConfirmationAt) {
      leaderConfirmationAt = now;
      leaderConfirmedAt = leader.node().confirmedAt();
    }
    return leaderConfirmedAt.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(Math.max(0, now - leaderConfirmedAt.getAsLong()));
  }

  private void logChange(Catalog inForce, long now) {
    boolean nowOutdated = inForce.version() > 0 && !mayActOn(inForce, now);
    if (nowOutdated == outdated) {
      return;
    }
    outdated = nowOutdated;
    String details =
        "version="
            + inForce.version()
            + " newest-known="
            + freshness.newestKnownVersion()
            + " confirmed-ago="
            + describe(freshness.confirmationAgeMillis(now))
            + " leader-heard-ago="
            + freshness.leaderSilenceMillis(now);
    if (nowOutdated) {
      log.warn("catalog-unconfirmed", details);
    } else {
      log.info("catalog-confirmed", details);
    }
  }

  private static String describe(OptionalLong millis) {
    return millis.isEmpty() ? "never" : Long.toString(millis.getAsLong());
  }

  /**
   * The latest time that another host has stated.
   *
   * @param sentAt the time, in milliseconds of the other host's clock
   * @param arrivedAt when the message arrived here, in milliseconds
   */
  private record Echo(long sentAt, long arrivedAt) {}
}
