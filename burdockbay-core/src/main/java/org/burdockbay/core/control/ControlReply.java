package org.burdockbay.core.control;

import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.ledger.LedgerReply;

/** The reply to a {@link ControlCommand}. */
public sealed interface ControlReply {

  /** The reply of the ledger. */
  record LedgerResult(LedgerReply reply) implements ControlReply {}

  /**
   * The configuration, catalog or evacuation was accepted, or had been accepted before.
   *
   * @param version version of the configuration, or of the catalog or the evacuations that are in
   *     force
   */
  record Accepted(long version) implements ControlReply {}

  /**
   * The change is based on an outdated version of the configuration or of the evacuations.
   *
   * @param currentVersion the current version
   */
  record VersionConflict(long currentVersion) implements ControlReply {}

  /** No quorum replied before the timeout; the command may or may not take effect. */
  record Unavailable() implements ControlReply {}

  /** The catalog in force; version 0 before the first one. */
  record CatalogContent(CompressedCatalog catalog) implements ControlReply {}
}
