package org.burdockbay.core.catalog;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Serves parts of the most recent catalogs of this host to other hosts.
 *
 * <p>Previous versions are retained so that downloads in progress can complete. The number of
 * concurrent receivers is limited, because the parts share this host's link with its heartbeats.
 * Other hosts get a busy reply and retry, also at hosts that have completed their download by then.
 */
public final class CatalogSource {

  /**
   * Size of a part, in bytes. Its transmission takes a small fraction of a heartbeat interval on a
   * low-bandwidth link.
   */
  static final int PART_BYTES = 4 * 1024;

  /** Initial limit on concurrent receivers. */
  static final int INITIAL_RECEIVER_LIMIT = 2;

  /** Upper bound of the limit on concurrent receivers. */
  static final int MAX_RECEIVERS = 16;

  /**
   * Interval between two requests of a receiver, in milliseconds, below which the limit on
   * receivers is raised.
   */
  static final long FAST_INTERVAL_MILLIS = 60;

  /**
   * Interval between two requests of a receiver, in milliseconds, above which the limit on
   * receivers is lowered, as parts are queueing on this host's link.
   */
  static final long SLOW_INTERVAL_MILLIS = 120;

  /** Time without a request after which a host no longer counts as a receiver, in milliseconds. */
  static final long RECEIVER_TIMEOUT_MILLIS = CatalogDownload.PART_TIMEOUT_MILLIS;

  private static final int MAX_RETAINED_VERSIONS = 3;

  private final Deque<CompressedCatalog> newestFirst = new ArrayDeque<>();
  private final Map<String, Long> requestedAt = new HashMap<>();
  private int receiverLimit = INITIAL_RECEIVER_LIMIT;

  /** Adds the version that has come into force and discards the oldest one over the limit. */
  public void add(CompressedCatalog catalog) {
    newestFirst.addFirst(catalog);
    if (newestFirst.size() > MAX_RETAINED_VERSIONS) {
      newestFirst.removeLast();
    }
  }

  /**
   * Returns the requested part, or the first part of the newest version if the requested version
   * isn't retained.
   *
   * @return the part, without data if the limit on receivers is reached; empty if there is no
   *     catalog
   */
  public Optional<CatalogPart> servePart(String receiver, CatalogPart.Request request, long now) {
    requestedAt.values().removeIf(at -> now - at > RECEIVER_TIMEOUT_MILLIS);
    if (newestFirst.isEmpty()) {
      return Optional.empty();
    }
    Long previousRequestAt = requestedAt.get(receiver);
    if (previousRequestAt != null) {
      adjustReceiverLimit(now - previousRequestAt);
    } else if (requestedAt.size() >= receiverLimit) {
      return Optional.of(CatalogPart.busy(request));
    }
    CatalogPart part = slice(request);
    if (part.offset() + part.data().size() < part.totalSize()) {
      requestedAt.put(receiver, now);
    } else {
      requestedAt.remove(receiver);
    }
    return Optional.of(part);
  }

  private void adjustReceiverLimit(long intervalMillis) {
    if (intervalMillis < FAST_INTERVAL_MILLIS) {
      receiverLimit = Math.min(receiverLimit + 1, MAX_RECEIVERS);
    } else if (intervalMillis > SLOW_INTERVAL_MILLIS) {
      receiverLimit = Math.max(receiverLimit - 1, 1);
    }
  }

  private CatalogPart slice(CatalogPart.Request request) {
    Optional<CompressedCatalog> requested =
        newestFirst.stream()
            .filter(retained -> retained.version() == request.version())
            .findFirst();
    CompressedCatalog catalog = requested.orElseGet(newestFirst::getFirst);
    int size = catalog.data().size();
    int from = requested.isPresent() ? Math.clamp(request.offset(), 0, size) : 0;
    int to = Math.min(size, from + PART_BYTES);
    return new CatalogPart(catalog.version(), size, from, catalog.data().slice(from, to));
  }
}
