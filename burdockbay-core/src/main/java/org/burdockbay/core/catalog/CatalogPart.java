package org.burdockbay.core.catalog;

import org.burdockbay.core.agreement.Bytes;

/**
 * A part of a {@link CompressedCatalog}.
 *
 * @param version the version of the catalog
 * @param totalSize size of the complete compressed catalog, in bytes
 * @param offset offset of the part in the compressed catalog, in bytes
 * @param data the content of the part; empty if the source is busy
 */
public record CatalogPart(long version, int totalSize, int offset, Bytes data) {

  /** Returns the reply of a source that has reached its limit on concurrent receivers. */
  static CatalogPart busy(Request request) {
    return new CatalogPart(request.version(), 0, request.offset(), Bytes.EMPTY);
  }

  /** Requests the part of a version that starts at an offset, in bytes. */
  public record Request(long version, int offset) {}
}
