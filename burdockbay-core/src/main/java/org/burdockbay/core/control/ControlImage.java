package org.burdockbay.core.control;

import java.util.List;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.ledger.LedgerImage;

/**
 * The whole agreed state, for snapshots.
 *
 * @param configuration the versions kept, oldest first
 * @param changes accepted change ids with their versions, oldest first
 * @param ledger the ledger
 * @param catalog the catalog; version 0 while there is none
 */
public record ControlImage(
    List<ConfigurationVersion> configuration,
    List<AcceptedChange> changes,
    LedgerImage ledger,
    CompressedCatalog catalog) {

  /** Copies the lists. */
  public ControlImage {
    configuration = List.copyOf(configuration);
    changes = List.copyOf(changes);
  }

  /** One version of the configuration document. */
  public record ConfigurationVersion(
      long version, String text, String changeId, String operator, long acceptedAt) {}

  /** A change id with the version that it was accepted as. */
  public record AcceptedChange(String changeId, long version) {}
}
