package org.burdockbay.server.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * The file operations of a data folder.
 *
 * <p>After a kill of the process, everything that it wrote and renamed is still visible, synced or
 * not. After a power loss only what was synced is certain: the content of a file by a sync of the
 * file, names by a sync of their folder. So whoever reads something back that an earlier process
 * wrote has to sync it before building on it.
 */
interface Disk {

  /** Creates a folder and its parents where they are missing. */
  void createFolders(Path folder) throws IOException;

  /** Returns whether a file or folder exists. */
  boolean exists(Path path);

  /** Returns what a folder holds, sorted by name. */
  List<Path> list(Path folder) throws IOException;

  /** Returns the content of a file. */
  byte[] read(Path file) throws IOException;

  /**
   * Locks a file for this process and creates it if it is missing.
   *
   * @return what releases the lock, or empty if another process has it
   */
  Optional<Closeable> lock(Path file) throws IOException;

  /** Creates a file, or empties it, and opens it for writing. */
  Writer create(Path file) throws IOException;

  /** Cuts a file to a size; durable after the next {@link #sync}. */
  void truncate(Path file, long size) throws IOException;

  /** Makes the content of a file durable, whichever process wrote it. */
  void sync(Path file) throws IOException;

  /** Renames a file, replacing the one that has the name. */
  void move(Path from, Path to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(Path file) throws IOException;

  /** Makes the names in a folder durable. */
  void syncFolder(Path folder) throws IOException;

  /** A file that is written from its beginning on. */
  interface Writer extends Closeable {

    /** Appends all that remains in the buffer. */
    void write(ByteBuffer buffer) throws IOException;

    /** Makes what was written durable. */
    void sync() throws IOException;
  }
}
