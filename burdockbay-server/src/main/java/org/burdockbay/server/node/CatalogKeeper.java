package org.burdockbay.server.node;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.Executor;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogDownload;
import org.burdockbay.core.catalog.CatalogException;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CatalogSource;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;

/**
 * Holds the catalog in force on this host and exchanges catalogs with other hosts.
 *
 * <p>The version in force only increases, so that neither a late message nor a host that reconnects
 * with an old state can revert it. Catalogs are decoded on a background thread, because decoding a
 * large one can exceed the heartbeat interval on a slow processor. Unless stated otherwise, methods
 * must be called on the control thread.
 */
final class CatalogKeeper {

  /** Delay before a catalog that couldn't be decoded is downloaded again, in milliseconds. */
  static final long RETRY_INTERVAL_MILLIS = 1_000;

  private final CatalogReader reader;
  private final Executor background;
  private final Executor control;
  private final Runnable onInForce;
  private final EventLog log;
  private final Clock clock;
  private final CatalogDownload download = new CatalogDownload();
  private final CatalogSource source = new CatalogSource();
  private volatile Catalog current = Catalog.EMPTY;

  /** Highest version submitted for decoding. */
  private long submittedVersion;

  /** When another host first announced a version newer than the one in force. */
  private OptionalLong newerAnnouncedAt = OptionalLong.empty();

  private long retryAt = Long.MIN_VALUE;

  /**
   * Creates a keeper without a catalog.
   *
   * @param background decodes catalogs
   * @param control executes tasks on the control thread
   * @param onInForce called on the control thread after a version has come into force
   */
  CatalogKeeper(
      CatalogReader reader,
      Executor background,
      Executor control,
      Runnable onInForce,
      EventLog log,
      Clock clock) {
    this.reader = reader;
    this.background = background;
    this.control = control;
    this.onInForce = onInForce;
    this.log = log;
    this.clock = clock;
  }

  /** Returns the catalog in force; safe on any thread. */
  Catalog current() {
    return current;
  }

  /**
   * Records the version in force on another host.
   *
   * @return the part to request from that host, or empty if none is due
   */
  Optional<CatalogPart.Request> handleAnnouncement(long version, long now) {
    if (version <= submittedVersion || now < retryAt) {
      return Optional.empty();
    }
    if (newerAnnouncedAt.isEmpty()) {
      newerAnnouncedAt = OptionalLong.of(now);
    }
    return download.handleAnnouncement(version, now);
  }

  /**
   * Processes a part received from another host.
   *
   * @return the next part to request from that host, or empty if none is due
   */
  Optional<CatalogPart.Request> handlePart(CatalogPart part, String host, long now) {
    if (part.version() <= submittedVersion) {
      return Optional.empty();
    }
    return switch (download.handlePart(part, now)) {
      case CatalogDownload.Result.None none -> Optional.empty();
      case CatalogDownload.Result.Continue next -> Optional.of(next.request());
      case CatalogDownload.Result.Complete complete -> {
        offer(complete.catalog(), host);
        yield Optional.empty();
      }
    };
  }

  /** Returns the reply to a request of another host, or empty if this host has no catalog. */
  Optional<CatalogPart> servePart(String host, CatalogPart.Request request, long now) {
    return source.servePart(host, request, now);
  }

  /** Schedules a catalog for decoding, after which it is put in force, if it is newer. */
  void offer(CompressedCatalog compressed, String origin) {
    if (compressed.version() <= submittedVersion) {
      return;
    }
    submittedVersion = compressed.version();
    long receivedAt = clock.millis();
    background.execute(() -> decode(compressed, new Receipt(origin, receivedAt)));
  }

  private void decode(CompressedCatalog compressed, Receipt receipt) {
    try {
      Catalog decoded = reader.read(compressed.text());
      long decodedAt = clock.millis();
      control.execute(() -> putInForce(decoded, compressed, receipt, decodedAt));
    } catch (CatalogException e) {
      // Validated before it was accepted, but possibly by another release. The current catalog
      // stays in force.
      log.error("catalog-unreadable", "version=" + compressed.version(), e);
      control.execute(this::scheduleRetry);
    } catch (RuntimeException | OutOfMemoryError e) {
      // Without a retry, no later announcement of this version would lead to a download.
      log.error("catalog-undecoded", "version=" + compressed.version(), e);
      control.execute(this::scheduleRetry);
    }
  }

  private void scheduleRetry() {
    submittedVersion = current.version();
    retryAt = clock.millis() + RETRY_INTERVAL_MILLIS;
  }

  private void putInForce(
      Catalog decoded, CompressedCatalog compressed, Receipt receipt, long decodedAt) {
    if (compressed.version() <= current.version()) {
      return;
    }
    long now = clock.millis();
    log.info(
        "catalog-in-force",
        "version="
            + compressed.version()
            + " before="
            + current.version()
            + " source="
            + receipt.origin
            + " heard-ago="
            + (now - newerAnnouncedAt.orElse(now))
            + " received-ago="
            + (now - receipt.receivedAt)
            + " decoded-ago="
            + (now - decodedAt)
            + " bytes="
            + compressed.data().size());
    newerAnnouncedAt = OptionalLong.empty();
    current = decoded;
    source.add(compressed);
    onInForce.run();
  }

  /**
   * The receipt of a catalog.
   *
   * @param origin id of the host that sent it, or "log"
   * @param receivedAt when its last part was handled, in milliseconds
   */
  private record Receipt(String origin, long receivedAt) {}
}
