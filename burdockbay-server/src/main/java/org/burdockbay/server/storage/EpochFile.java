package org.burdockbay.server.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.server.storage.StorageException.Fault;

/**
 * The highest epoch of a dispatcher and the largest layout that a host with a disk has seen.
 *
 * <p>Upstreams remember the highest epoch that they have seen and refuse all below. Hosts learn it
 * from each other; after all of them were killed, only a disk tells it, and the first dispatcher
 * would otherwise be refused until it has outbid what it doesn't know. In the same way one host
 * would otherwise dispatch the whole of a large fleet until enough upstreams have been heard of.
 */
public final class EpochFile {

  private static final String FILE_NAME = "epoch";

  private final Disk disk;
  private final Path file;

  /** Names the file in a data folder, which is opened before the file is read. */
  public EpochFile(Path folder) {
    this(FileDisk.INSTANCE, folder);
  }

  EpochFile(Disk disk, Path folder) {
    this.disk = disk;
    this.file = folder.resolve(FILE_NAME);
  }

  /**
   * What is kept.
   *
   * @param epoch the highest epoch; 0 if none was seen
   * @param layout the largest layout
   */
  public record Content(long epoch, ShardLayout layout) {

    /** What a host knows that has saved nothing. */
    public static final Content NONE = new Content(0, ShardLayout.UNDIVIDED);
  }

  /**
   * Returns what was saved; a file of earlier versions holds the epoch alone.
   *
   * @throws StorageException if the file is there and can't be read
   */
  public Content read() throws StorageException {
    if (!disk.exists(file)) {
      return Content.NONE;
    }
    List<byte[]> records = RecordFile.read(disk, file).records();
    if (records.size() != 1) {
      throw new StorageException(Fault.CORRUPT, file + " holds " + records.size() + " records");
    }
    ByteBuffer record = ByteBuffer.wrap(records.getFirst());
    return switch (record.remaining()) {
      case Long.BYTES -> new Content(record.getLong(), ShardLayout.UNDIVIDED);
      case Long.BYTES + Integer.BYTES -> new Content(record.getLong(), toLayout(record.getInt()));
      default -> throw new StorageException(Fault.CORRUPT, file + " holds no epoch");
    };
  }

  private ShardLayout toLayout(int shardsPerDomain) throws StorageException {
    if (shardsPerDomain < 0) {
      throw new StorageException(Fault.CORRUPT, file + " holds " + shardsPerDomain + " shards");
    }
    return new ShardLayout(shardsPerDomain);
  }

  /**
   * Saves epoch and layout and waits for the disk.
   *
   * @throws StorageException if it can't be saved
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
