package org.burdockbay.core.control;

import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.ledger.LedgerCommand;

/** A command in the agreement log. */
public sealed interface ControlCommand {

  /** A command to the ledger. */
  record LedgerOperation(LedgerCommand command) implements ControlCommand {}

  /**
   * Replaces the configuration if its version is still the expected one.
   *
   * @param changeId identity of the change, chosen by the operator's tool; a resend after a lost
   *     answer carries the same one
   * @param operator who asks
   * @param expectedVersion the version that the operator edited
   * @param text the whole new document, already validated
   */
  record ApplyConfiguration(String changeId, String operator, long expectedVersion, String text)
      implements ControlCommand {}

  /** Puts a catalog in force, unless the one in force has the same or a higher version. */
  record PublishCatalog(CompressedCatalog catalog) implements ControlCommand {}

  /**
   * Reads the catalog in the order of the log, and so the newest one that was acknowledged before.
   */
  record ReadCatalog() implements ControlCommand {}
}
