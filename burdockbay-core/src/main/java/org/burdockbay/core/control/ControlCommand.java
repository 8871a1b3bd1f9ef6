package org.burdockbay.core.control;

import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.ledger.LedgerCommand;

/** A command that is replicated through the agreement log and applied by every voter. */
public sealed interface ControlCommand {

  /** Passes a command to the ledger. */
  record LedgerOperation(LedgerCommand command) implements ControlCommand {}

  /**
   * Replaces the configuration if its current version is the expected one.
   *
   * @param changeId unique id of the change, chosen by the operator's tool; a resend after a lost
   *     reply has the same id
   * @param operator name of the operator who applies the change
   * @param expectedVersion version on which the change is based
   * @param text complete new document, already validated
   */
  record ApplyConfiguration(String changeId, String operator, long expectedVersion, String text)
      implements ControlCommand {}

  /** Puts a catalog in force, unless the current one has the same or a higher version. */
  record PublishCatalog(CompressedCatalog catalog) implements ControlCommand {}

  /**
   * Starts or ends the evacuation of a failure domain, if no other change was made since the
   * expected version. A copy that arrives late can't undo a later order this way.
   *
   * @param domain name of the failure domain
   * @param evacuated whether the domain is to be evacuated
   * @param expectedVersion version of the evacuations on which the order is based
   */
  record ChangeEvacuation(String domain, boolean evacuated, long expectedVersion)
      implements ControlCommand {}

  /**
   * Reads the current catalog. The read is ordered by the log, so the result is at least as new as
   * every version that was acknowledged before.
   */
  record ReadCatalog() implements ControlCommand {}
}
