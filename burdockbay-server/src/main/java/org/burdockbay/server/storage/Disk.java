package org.burdockbay.server.storage;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/**
 * File system operations on a data folder.
 *
 * <p>Writes and renames of a killed process stay visible whether synced or not. After a power loss
 * only synced state is certain to exist: the content of a file after a sync of the file, directory
 * entries after a sync of their folder. State that an earlier process wrote must therefore be made
 * durable after it is read and before anything depends on it. For the content of a file that takes
 * a copy: after a failed sync, the bytes stay readable, but later syncs don't write them.
 */
interface Disk {

  /** Creates a folder and its missing parents. */
  void createFolders(Path folder) throws IOException;

  /** Returns whether a file or folder exists. */
  boolean exists(Path path);

  /** Returns the paths in a folder, sorted by name. */
  List<Path> list(Path folder) throws IOException;

  /** Returns the content of a file. */
  byte[] read(Path file) throws IOException;

  /**
   * Locks a file for this process, creating the file if it is missing.
   *
   * @return a handle that releases the lock when closed, or empty if the file is already locked
   */
  Optional<Closeable> lock(Path file) throws IOException;

  /** Creates a file, or truncates an existing one, and opens it for writing. */
  Writer create(Path file) throws IOException;

  /** Renames a file atomically, replacing an existing target. */
  void move(Path from, Path to) throws IOException;

  /** Deletes a file if it exists. */
  void delete(Path file) throws IOException;

  /** Makes the directory entries of a folder durable. */
  void syncFolder(Path folder) throws IOException;

  /** Writes a file sequentially. */
  interface Writer extends Closeable {

    /** Appends the remaining bytes of the buffer. */
    void write(ByteBuffer buffer) throws IOException;

    /** Makes all written bytes durable. */
    void sync() throws IOException;
  }
}
