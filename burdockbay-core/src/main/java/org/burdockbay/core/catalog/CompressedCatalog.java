package org.burdockbay.core.catalog;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.burdockbay.core.agreement.Bytes;

/**
 * The compressed text of a catalog as it was published.
 *
 * <p>Catalogs are logged, stored and transferred in this form. They compress well because their
 * queues repeat the same fields.
 *
 * @param version the version; 0 before the first catalog
 * @param data the UTF-8 text in zlib format, whose checksum detects corruption
 */
public record CompressedCatalog(long version, Bytes data) {

  /** The empty catalog that is in force before the first one is published. */
  public static final CompressedCatalog EMPTY = of(0, "");

  /** The part of the heap that a decompressed text takes at most, as a divisor. */
  private static final long TEXT_DIVISOR = 32;

  /** Maximum size of the decompressed text, in bytes. */
  static final int MAX_TEXT_BYTES =
      Math.toIntExact(Math.min(16 * 1024 * 1024, Runtime.getRuntime().maxMemory() / TEXT_DIVISOR));

  private static final int BUFFER_BYTES = 16 * 1024;

  /** Compresses a text. */
  public static CompressedCatalog of(long version, String text) {
    Deflater deflater = new Deflater();
    try {
      deflater.setInput(text.getBytes(StandardCharsets.UTF_8));
      deflater.finish();
      ByteArrayOutputStream compressed = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!deflater.finished()) {
        compressed.write(buffer, 0, deflater.deflate(buffer));
      }
      return new CompressedCatalog(version, Bytes.copyOf(compressed.toByteArray()));
    } finally {
      deflater.end();
    }
  }

  /**
   * Decompresses the text.
   *
   * @throws CatalogException if the data is corrupt or the text is too large
   */
  public String text() throws CatalogException {
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(data.toArray());
      ByteArrayOutputStream text = new ByteArrayOutputStream();
      byte[] buffer = new byte[BUFFER_BYTES];
      while (!inflater.finished()) {
        int count = inflater.inflate(buffer);
        text.write(buffer, 0, count);
        if (count == 0 && !inflater.finished()) {
          throw new CatalogException("catalog " + version + " is truncated");
        }
        if (text.size() > MAX_TEXT_BYTES) {
          throw new CatalogException(
              "catalog " + version + " exceeds " + MAX_TEXT_BYTES + " bytes");
        }
      }
      return text.toString(StandardCharsets.UTF_8);
    } catch (DataFormatException e) {
      throw new CatalogException("catalog " + version + " is corrupt: " + e.getMessage(), e);
    } finally {
      inflater.end();
    }
  }
}
