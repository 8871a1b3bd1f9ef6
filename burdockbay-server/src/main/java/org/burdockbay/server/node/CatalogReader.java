package org.burdockbay.server.node;

import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogException;

/** Parses the published form of a catalog. */
@FunctionalInterface
public interface CatalogReader {

  /**
   * Parses and validates a catalog.
   *
   * @throws CatalogException if it is invalid; the message names the field
   */
  Catalog read(String text) throws CatalogException;
}
