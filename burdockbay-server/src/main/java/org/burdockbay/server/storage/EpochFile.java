package org.burdockbay.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import org.burdockbay.server.storage.StorageException.Fault;

/**
 * The highest epoch of the dispatcher role that a host with a disk has seen.
 *
 * <p>Upstreams remember the highest epoch that they have seen and refuse all below. Hosts learn it
 * from each other; after all of them were killed, only a disk tells it, and the first dispatcher
 * would otherwise be refused until it has outbid what it doesn't know.
 */
public final class EpochFile {

  private static final String NAME = "epoch";

  private final Path folder;

  /** Names the file in a data folder. */
  public EpochFile(Path folder) {
    this.folder = folder;
  }

  /**
   * Returns the epoch; 0 if none was saved.
   *
   * @throws StorageException if the file is there and can't be read
   */
  public long read() throws StorageException {
    Path file = folder.resolve(NAME);
    if (!Files.exists(file)) {
      return 0;
    }
    List<byte[]> records = RecordFile.read(file).records();
    if (records.size() != 1 || records.getFirst().length != Long.BYTES) {
      throw new StorageException(Fault.CORRUPT, file + " holds no epoch");
    }
    return ByteBuffer.wrap(records.getFirst()).getLong();
  }

  /**
   * Saves an epoch and waits for the disk.
   *
   * @throws StorageException if it can't be saved
   */
  public void write(long epoch) throws StorageException {
    Path draft = folder.resolve(NAME + ".new");
    try {
      RecordFile.writeWhole(draft, ByteBuffer.allocate(Long.BYTES).putLong(epoch).array());
      Files.move(draft, folder.resolve(NAME), StandardCopyOption.ATOMIC_MOVE);
      RecordFile.syncFolder(folder);
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, folder.resolve(NAME) + " can't be written", e);
    }
  }
}
