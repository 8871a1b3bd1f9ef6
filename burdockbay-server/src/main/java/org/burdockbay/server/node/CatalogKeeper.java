package org.burdockbay.server.node;

import java.util.OptionalLong;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogException;
import org.burdockbay.server.logging.EventLog;

/**
 * The catalog in force on this host, with its published text.
 *
 * <p>It only moves to higher versions, so a late message or a host that returns with an old state
 * can't revert it.
 */
final class CatalogKeeper {

  private final CatalogReader reader;
  private final EventLog log;
  private volatile Catalog current = Catalog.NONE;
  private String text = "";
  private OptionalLong newerHeardAt = OptionalLong.empty();

  CatalogKeeper(CatalogReader reader, EventLog log) {
    this.reader = reader;
    this.log = log;
  }

  /** Returns the catalog in force; safe on any thread. */
  Catalog current() {
    return current;
  }

  /** Returns the text as it was published; for the control thread. */
  String text() {
    return text;
  }

  /** Takes note of the version that is in force elsewhere, and returns whether it is newer. */
  boolean heard(long version, long now) {
    boolean newer = version > current.version();
    if (newer && newerHeardAt.isEmpty()) {
      newerHeardAt = OptionalLong.of(now);
    }
    return newer;
  }

  /** Puts a catalog in force if it is newer, and returns whether it was. */
  boolean offer(long version, String offered, String source, long now) {
    if (version <= current.version()) {
      return false;
    }
    try {
      Catalog read = reader.read(offered);
      noteInForce(version, source, now);
      text = offered;
      current = read;
      return true;
    } catch (CatalogException e) {
      // Checked before it was accepted; another release may disagree. The old one stays in force.
      log.error("catalog-unreadable", "version=" + version, e);
      return false;
    }
  }

  private void noteInForce(long version, String source, long now) {
    log.info(
        "catalog-in-force",
        "version="
            + version
            + " before="
            + current.version()
            + " source="
            + source
            + " heard-ago="
            + (now - newerHeardAt.orElse(now)));
    newerHeardAt = OptionalLong.empty();
  }
}
