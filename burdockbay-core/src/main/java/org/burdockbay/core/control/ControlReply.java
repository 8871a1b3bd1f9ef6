package org.burdockbay.core.control;

import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.ledger.LedgerReply;

/** How a {@link ControlCommand} was answered. */
public sealed interface ControlReply {

  /** The ledger's answer. */
  record LedgerResult(LedgerReply reply) implements ControlReply {}

  /** The configuration was accepted under the given version, or a catalog of it is in force. */
  record Accepted(long version) implements ControlReply {}

  /** The configuration has another version than the one that the operator edited. */
  record VersionConflict(long currentVersion) implements ControlReply {}

  /** No quorum answered in time; the command may or may not take effect. */
  record Unavailable() implements ControlReply {}

  /** The catalog in force; version 0 while there is none. */
  record CatalogContent(CompressedCatalog catalog) implements ControlReply {}
}
