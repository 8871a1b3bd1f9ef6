package org.burdockbay.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.server.storage.StorageException.Fault;

/**
 * Stores the highest dispatcher epoch and the largest shard layout that a host has seen.
 *
 * <p>Upstreams remember the highest epoch that they have seen and refuse lower ones. Hosts learn it
 * from each other, so after all of them were killed it survives only on disk. Without it, upstreams
 * would refuse the first dispatcher until it had superseded an epoch that it doesn't know. In the
 * same way, without the layout, one host would dispatch for the whole of a large fleet until enough
 * upstreams had been discovered.
 */
public final class EpochFile {

  private static final String FILE_NAME = "epoch";

  private final Disk disk;
  private final Path file;

  /** Creates an accessor for the file of a data folder; the folder must be open before use. */
  public EpochFile(Path folder) {
    this(FileDisk.INSTANCE, folder);
  }

  EpochFile(Disk disk, Path folder) {
    this.disk = disk;
    this.file = folder.resolve(FILE_NAME);
  }

  /**
   * The stored epoch and layout.
   *
   * @param epoch the highest epoch seen; 0 if none was seen
   * @param layout the largest shard layout seen
   */
  public record Content(long epoch, ShardLayout layout) {

    /** Content of a missing file. */
    public static final Content NONE = new Content(0, ShardLayout.UNDIVIDED);
  }

  /**
   * Reads the stored epoch and layout, or {@link Content#NONE} if the file doesn't exist.
   *
   * <p>Files of earlier versions contain only the epoch.
   *
   * @throws StorageException if the file exists but is corrupt or can't be read
   */
  public Content read() throws StorageException {
    if (!disk.exists(file)) {
      return Content.NONE;
    }
    List<byte[]> records = RecordFile.read(disk, file).records();
    if (records.size() != 1) {
      throw new StorageException(
          Fault.CORRUPT, file + " contains " + records.size() + " records; expected 1");
    }
    ByteBuffer record = ByteBuffer.wrap(records.getFirst());
    return switch (record.remaining()) {
      case Long.BYTES -> new Content(record.getLong(), ShardLayout.UNDIVIDED);
      case Long.BYTES + Integer.BYTES -> new Content(record.getLong(), toLayout(record.getInt()));
      default ->
          throw new StorageException(
              Fault.CORRUPT, file + " contains a record of unexpected length");
    };
  }

  private ShardLayout toLayout(int shardsPerDomain) throws StorageException {
    if (shardsPerDomain < 0) {
      throw new StorageException(
          Fault.CORRUPT,
          file + " contains an invalid layout: " + shardsPerDomain + " shards per domain");
    }
    return new ShardLayout(shardsPerDomain);
  }

  /**
   * Replaces the stored epoch and layout; they are durable when this method returns.
   *
   * @throws StorageException if the file can't be written
   */
  public void write(Content content) throws StorageException {
    ByteBuffer record = ByteBuffer.allocate(Long.BYTES + Integer.BYTES);
    record.putLong(content.epoch()).putInt(content.layout().shardsPerDomain());
    try {
      RecordFile.replaceAtomically(disk, file, record.array());
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, file + " can't be written", e);
    }
  }
}
