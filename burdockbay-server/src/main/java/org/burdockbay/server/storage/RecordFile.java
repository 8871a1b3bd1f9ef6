package org.burdockbay.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * Reads and writes files of framed records: length, CRC-32C of the payload, payload.
 *
 * <p>Reading distinguishes a torn tail from corruption. A write interrupted by a power loss leaves
 * a record that extends past the end of the file, or zeros up to the end. It was never synced, so
 * it may be truncated. A complete record with a wrong checksum was changed after it was written.
 */
final class RecordFile {

  static final int HEADER_BYTES = 8;

  /** Suffix of the temporary file that {@link #replaceAtomically} writes and renames. */
  static final String TEMP_FILE_SUFFIX = ".new";

  private static final int MAX_RECORD_BYTES = 64 * 1024 * 1024;

  private RecordFile() {}

  /** Returns a record with its header, as written to the file. */
  static ByteBuffer frame(byte[] payload) {
    ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    buffer.putInt(payload.length).putInt(checksum(payload)).put(payload).flip();
    return buffer;
  }

  /**
   * Reads all complete records.
   *
   * @throws StorageException if a record is corrupt or the file can't be read
   */
  static Content read(Disk disk, Path file) throws StorageException {
    return read(disk, file, Long.MAX_VALUE);
  }

  /**
   * Reads the complete records of the first part of a file.
   *
   * @param limit size of the part, in bytes; the rest is ignored
   * @throws StorageException if a record is corrupt or the file can't be read
   */
  static Content read(Disk disk, Path file, long limit) throws StorageException {
    byte[] bytes;
    try {
      byte[] whole = disk.read(file);
      bytes = whole.length > limit ? Arrays.copyOf(whole, (int) limit) : whole;
    } catch (IOException e) {
      throw new StorageException(StorageException.Fault.FAILED, file + " can't be read", e);
    }
    List<byte[]> records = new ArrayList<>();
    int position = 0;
    while (position < bytes.length) {
      int end = findRecordEnd(bytes, position);
      if (end < 0) {
        if (isTornTail(bytes, position)) {
          break;
        }
        throw new StorageException(
            StorageException.Fault.CORRUPT, file + " is corrupt at byte " + position);
      }
      byte[] payload = new byte[end - position - HEADER_BYTES];
      System.arraycopy(bytes, position + HEADER_BYTES, payload, 0, payload.length);
      records.add(payload);
      position = end;
    }
    return new Content(records, position, bytes.length);
  }

  /** Creates a file with one record and syncs its content, but not its directory entry. */
  static void writeSingleRecord(Disk disk, Path file, byte[] payload) throws IOException {
    try (Disk.Writer writer = disk.create(file)) {
      writer.write(frame(payload));
      writer.sync();
    }
  }

  /** Replaces a file by one with a single record; durable when this method returns. */
  static void replaceAtomically(Disk disk, Path file, byte[] payload) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + TEMP_FILE_SUFFIX);
    writeSingleRecord(disk, temporary, payload);
    disk.move(temporary, file);
    disk.syncFolder(file.getParent());
  }

  /** Returns the end of the record at a position, or -1 if there is no complete, valid one. */
  private static int findRecordEnd(byte[] bytes, int position) {
    if (bytes.length - position < HEADER_BYTES) {
      return -1;
    }
    ByteBuffer header = ByteBuffer.wrap(bytes, position, HEADER_BYTES);
    int length = header.getInt();
    int expected = header.getInt();
    if (length <= 0 || length > bytes.length - position - HEADER_BYTES) {
      return -1;
    }
    CRC32C crc = new CRC32C();
    crc.update(bytes, position + HEADER_BYTES, length);
    return (int) crc.getValue() == expected ? position + HEADER_BYTES + length : -1;
  }

  private static boolean isTornTail(byte[] bytes, int position) {
    if (isZeroFilled(bytes, position) || bytes.length - position < HEADER_BYTES) {
      return true;
    }
    int length = ByteBuffer.wrap(bytes, position, HEADER_BYTES).getInt();
    if (length <= 0 || length > MAX_RECORD_BYTES) {
      return false;
    }
    long end = (long) position + HEADER_BYTES + length;
    if (end > bytes.length) {
      return !hasRecordAfter(bytes, position + 1);
    }
    return end == bytes.length && bytes[bytes.length - 1] == 0;
  }

  /** Returns whether a valid record follows, which rules out a torn tail. */
  private static boolean hasRecordAfter(byte[] bytes, int from) {
    for (int position = from; position < bytes.length - HEADER_BYTES; position++) {
      int end = findRecordEnd(bytes, position);
      if (end > 0) {
        return true;
      }
    }
    return false;
  }

  private static boolean isZeroFilled(byte[] bytes, int position) {
    for (int i = position; i < bytes.length; i++) {
      if (bytes[i] != 0) {
        return false;
      }
    }
    return true;
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }

  /**
   * The content of a file.
   *
   * @param records payloads of the complete records
   * @param validBytes end offset of the last complete record
   * @param fileBytes size of the file
   */
  record Content(List<byte[]> records, int validBytes, int fileBytes) {

    boolean isTorn() {
      return validBytes < fileBytes;
    }
  }
}
