package org.burdockbay.core.catalog;

import java.util.Optional;
import org.burdockbay.core.agreement.Bytes;

/**
 * Downloads the newest catalog from hosts that have it in force.
 *
 * <p>At most one part is requested at a time, because a large catalog takes seconds on a
 * low-bandwidth link and would delay the heartbeats queued behind it. If a source stops answering,
 * the download continues from another host at the current offset.
 */
public final class CatalogDownload {

  /** Time to wait for a part before any host may be asked again, in milliseconds. */
  static final long PART_TIMEOUT_MILLIS = 250;

  /** Time without progress after which an older version may be downloaded, in milliseconds. */
  static final long STALL_TIMEOUT_MILLIS = 2_000;

  private long version;
  private Bytes received = Bytes.EMPTY;
  private boolean inProgress;
  private long requestedAt;
  private long progressAt;

  /**
   * Records that another host has a newer version in force.
   *
   * @return the request to send to that host, or empty if none is due
   */
  public Optional<CatalogPart.Request> handleAnnouncement(long announcedVersion, long now) {
    if (!inProgress) {
      start(announcedVersion, now);
    } else if (now - requestedAt < PART_TIMEOUT_MILLIS) {
      return Optional.empty();
    } else if (announcedVersion > version) {
      start(announcedVersion, now);
    } else if (announcedVersion < version) {
      if (now - progressAt < STALL_TIMEOUT_MILLIS) {
        return Optional.empty();
      }
      start(announcedVersion, now);
    }
    return Optional.of(nextRequest(now));
  }

  /** Processes a received part. Parts of older versions and duplicates are ignored. */
  public Result handlePart(CatalogPart part, long now) {
    if (part.data().size() == 0) {
      // The source is busy. Allows an immediate request to the next host that has the version.
      requestedAt = now - PART_TIMEOUT_MILLIS;
      return Result.NONE;
    }
    if (part.totalSize() > CompressedCatalog.MAX_TEXT_BYTES) {
      return Result.NONE;
    }
    if (!inProgress || part.version() > version) {
      // The source no longer has the requested version and sent the start of a newer one.
      start(part.version(), now);
    }
    if (part.version() != version || part.offset() != received.size()) {
      return Result.NONE;
    }
    received = received.concat(part.data());
    progressAt = now;
    if (received.size() < part.totalSize()) {
      return new Result.Continue(nextRequest(now));
    }
    inProgress = false;
    return new Result.Complete(new CompressedCatalog(version, received));
  }

  private void start(long newVersion, long now) {
    version = newVersion;
    received = Bytes.EMPTY;
    inProgress = true;
    progressAt = now;
  }

  private CatalogPart.Request nextRequest(long now) {
    requestedAt = now;
    return new CatalogPart.Request(version, received.size());
  }

  /** Result of processing a part. */
  public sealed interface Result {

    /** The shared instance of {@link None}. */
    Result NONE = new None();

    /** No action is required. */
    record None() implements Result {}

    /** The next part should be requested from the same host. */
    record Continue(CatalogPart.Request request) implements Result {}

    /** The download is complete. */
    record Complete(CompressedCatalog catalog) implements Result {}
  }
}
