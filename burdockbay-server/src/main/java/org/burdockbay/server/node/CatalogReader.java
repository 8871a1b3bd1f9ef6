package org.burdockbay.server.node;

import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogException;

/** Reads the published form of a catalog. */
@FunctionalInterface
public interface CatalogReader {

  /**
   * Reads and checks a catalog.
   *
   * @throws CatalogException if it can't be put in force; the message names the field
   */
  Catalog read(String text) throws CatalogException;
}
