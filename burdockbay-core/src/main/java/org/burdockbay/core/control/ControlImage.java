package org.burdockbay.core.control;

import java.util.List;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.ledger.LedgerImage;

/**
 * A copy of the complete {@link ControlState}, as stored in snapshots.
 *
 * @param configuration retained versions of the configuration, oldest first
 * @param changes accepted changes with the versions that they created, oldest first
 * @param ledger state of the ledger
 * @param catalog catalog in force; version 0 before the first one
 * @param evacuations evacuated failure domains
 */
public record ControlImage(
    List<ConfigurationVersion> configuration,
    List<AcceptedChange> changes,
    LedgerImage ledger,
    CompressedCatalog catalog,
    Evacuations evacuations) {

  /** Copies the lists. */
  public ControlImage {
    configuration = List.copyOf(configuration);
    changes = List.copyOf(changes);
  }

  /**
   * A version of the configuration document.
   *
   * @param version number of the version, starting at 1
   * @param text the complete document
   * @param changeId id of the change that created the version
   * @param operator name of the operator who applied the change
   * @param acceptedAt time that the leader assigned to the change, in milliseconds
   */
  public record ConfigurationVersion(
      long version, String text, String changeId, String operator, long acceptedAt) {}

  /** The id of an accepted change and the version that the change created. */
  public record AcceptedChange(String changeId, long version) {}
}
