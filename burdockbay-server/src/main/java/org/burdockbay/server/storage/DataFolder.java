package org.burdockbay.server.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.security.SecureRandom;
import org.burdockbay.server.storage.StorageException.Fault;
import org.burdockbay.wire.proto.Wire;

/**
 * An open data folder of a host, locked for this process.
 *
 * <p>The identity file records cluster, host and incarnation. The incarnation is generated when the
 * folder is created, so a host whose disk was wiped joins as a new voter.
 */
public final class DataFolder implements AutoCloseable {

  /** Incarnation of the folders of the initial voters of a new cluster. */
  public static final long BOOTSTRAP_INCARNATION = 1;

  private static final int FORMAT_VERSION = 1;
  private static final String IDENTITY_FILE = "identity";
  private static final String IDENTITY_TEMP_FILE = IDENTITY_FILE + RecordFile.TEMP_FILE_SUFFIX;
  private static final String LOCK_FILE = "lock";

  private final Path path;
  private final Closeable lock;
  private final Wire.FolderIdentity identity;

  private DataFolder(Path path, Closeable lock, Wire.FolderIdentity identity) {
    this.path = path;
    this.lock = lock;
    this.identity = identity;
  }

  /**
   * Creates the data folder of an initial voter of a new cluster.
   *
   * @throws StorageException if the folder is already initialised or can't be created
   */
  public static DataFolder bootstrap(Path path, String cluster, String host)
      throws StorageException {
    if (FileDisk.INSTANCE.exists(path.resolve(IDENTITY_FILE))) {
      throw new StorageException(Fault.FOREIGN, path + " is already initialised");
    }
    return openOrCreate(FileDisk.INSTANCE, path, cluster, host, BOOTSTRAP_INCARNATION);
  }

  /**
   * Opens the folder, or creates it with a new incarnation if it has no identity.
   *
   * @throws StorageException if the folder belongs to another host or cluster, is in use by another
   *     process, or can't be read or created
   */
  public static DataFolder open(Path path, String cluster, String host) throws StorageException {
    return open(FileDisk.INSTANCE, path, cluster, host);
  }

  static DataFolder open(Disk disk, Path path, String cluster, String host)
      throws StorageException {
    long incarnation = new SecureRandom().nextLong(2, Long.MAX_VALUE);
    return openOrCreate(disk, path, cluster, host, incarnation);
  }

  /**
   * Renames a corrupt folder, so that the host starts with an empty one as a learner.
   *
   * @return the new path of the corrupt folder
   * @throws StorageException if the folder can't be renamed
   */
  public static Path setAside(Path path) throws StorageException {
    Path aside = path.resolveSibling(path.getFileName() + ".corrupt-" + System.currentTimeMillis());
    try {
      return Files.move(path, aside, StandardCopyOption.ATOMIC_MOVE);
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, path + " can't be renamed to set it aside", e);
    }
  }

  /** Returns the incarnation of the folder. */
  public long incarnation() {
    return identity.getIncarnation();
  }

  /** Returns the path of the folder of a Raft group. */
  public Path groupFolder(int number) {
    return path.resolve("group-" + number);
  }

  @Override
  public void close() throws StorageException {
    try {
      lock.close();
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, path + " can't be closed", e);
    }
  }

  private static DataFolder openOrCreate(
      Disk disk, Path path, String cluster, String host, long newIncarnation)
      throws StorageException {
    try {
      disk.createFolders(path);
      Closeable lock =
          disk.lock(path.resolve(LOCK_FILE))
              .orElseThrow(
                  () ->
                      new StorageException(Fault.FOREIGN, path + " is in use by another process"));
      Path file = path.resolve(IDENTITY_FILE);
      if (!disk.exists(file)) {
        createIdentity(disk, path, file, cluster, host, newIncarnation);
      }
      // A killed process may have created the identity file without syncing its directory entry.
      disk.syncFolder(path);
      return new DataFolder(path, lock, readIdentity(disk, file, cluster, host));
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, path + " can't be opened: " + e, e);
    }
  }

  private static void createIdentity(
      Disk disk, Path path, Path file, String cluster, String host, long incarnation)
      throws IOException, StorageException {
    if (!disk.list(path).stream()
        .map(Path::getFileName)
        .allMatch(DataFolder::isLeftoverOfCreation)) {
      throw new StorageException(Fault.FOREIGN, path + " is not empty and has no identity file");
    }
    disk.syncFolder(path.toAbsolutePath().getParent());
    Wire.FolderIdentity identity =
        Wire.FolderIdentity.newBuilder()
            .setFormat(FORMAT_VERSION)
            .setCluster(cluster)
            .setHost(host)
            .setIncarnation(incarnation)
            .build();
    RecordFile.replaceAtomically(disk, file, identity.toByteArray());
  }

  /** Returns whether an interrupted creation may leave a file of this name. */
  private static boolean isLeftoverOfCreation(Path name) {
    return name.equals(Path.of(LOCK_FILE)) || name.equals(Path.of(IDENTITY_TEMP_FILE));
  }

  private static Wire.FolderIdentity readIdentity(Disk disk, Path file, String cluster, String host)
      throws StorageException {
    RecordFile.Content content = RecordFile.read(disk, file);
    if (content.records().size() != 1) {
      throw new StorageException(
          Fault.CORRUPT, file + " doesn't contain exactly one identity record");
    }
    Wire.FolderIdentity identity;
    try {
      identity = Wire.FolderIdentity.parseFrom(content.records().getFirst());
    } catch (InvalidProtocolBufferException e) {
      throw new StorageException(Fault.CORRUPT, file + " contains a malformed identity record", e);
    }
    if (identity.getFormat() != FORMAT_VERSION) {
      throw new StorageException(
          Fault.FOREIGN,
          file + " has format " + identity.getFormat() + "; expected format " + FORMAT_VERSION);
    }
    if (!identity.getCluster().equals(cluster) || !identity.getHost().equals(host)) {
      throw new StorageException(
          Fault.FOREIGN,
          file
              + " belongs to host "
              + identity.getHost()
              + " of cluster "
              + identity.getCluster()
              + ", not to host "
              + host
              + " of cluster "
              + cluster);
    }
    return identity;
  }
}
