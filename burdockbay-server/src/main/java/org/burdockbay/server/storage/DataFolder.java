package org.burdockbay.server.storage;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Comparator;
import java.util.Optional;
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
  private static final String CORRUPT_FOLDER_PREFIX = "corrupt-";

  private final Path path;
  private final Closeable lock;
  private final Wire.FolderIdentity identity;

  private DataFolder(Path path, Closeable lock, Wire.FolderIdentity identity) {
    this.path = path;
    this.lock = lock;
    this.identity = identity;
  }

  /**
   * Opens the folder, or creates it as that of an initial voter of a new cluster if it has no
   * identity.
   *
   * @throws StorageException as for {@link #open}
   */
  static DataFolder openOrBootstrap(Disk disk, Path path, String cluster, String host)
      throws StorageException {
    return openOrCreate(disk, path, cluster, host, BOOTSTRAP_INCARNATION);
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
   * Moves the content of a corrupt folder into a subfolder, so that the host starts with an empty
   * one as a learner. May be repeated until it succeeds.
   *
   * @return the path of the subfolder
   * @throws StorageException if the content can't be moved
   */
  public static Path setAside(Path path) throws StorageException {
    return setAside(FileDisk.INSTANCE, path);
  }

  static Path setAside(Disk disk, Path path) throws StorageException {
    try {
      Path identity = path.resolve(IDENTITY_FILE);
      Path aside =
          newestCorruptFolder(disk, path)
              .filter(
                  folder -> !disk.exists(identity) || !disk.exists(folder.resolve(IDENTITY_FILE)))
              .orElseGet(() -> path.resolve(CORRUPT_FOLDER_PREFIX + System.currentTimeMillis()));
      disk.createFolders(aside);
      disk.syncFolder(path);
      if (disk.exists(identity)) {
        // Without its identity, the folder is never opened as that of the same voter again.
        disk.move(identity, aside.resolve(IDENTITY_FILE));
      }
      disk.syncFolder(aside);
      disk.syncFolder(path);
      moveRemainingContent(disk, path, aside);
      return aside;
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, path + " can't be set aside: " + e, e);
    }
  }

  /** Returns whether the content of a folder was set aside at any time. */
  static boolean wasSetAside(Disk disk, Path path) throws StorageException {
    try {
      return disk.exists(path) && newestCorruptFolder(disk, path).isPresent();
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, path + " can't be read: " + e, e);
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

  static DataFolder openOrCreate(
      Disk disk, Path path, String cluster, String host, long newIncarnation)
      throws StorageException {
    try {
      disk.createFolders(path);
      Closeable lock =
          disk.lock(path.resolve(LOCK_FILE))
              .orElseThrow(
                  () ->
                      new StorageException(Fault.FOREIGN, path + " is in use by another process"));
      try {
        Path file = path.resolve(IDENTITY_FILE);
        if (!disk.exists(file)) {
          createIdentity(disk, path, file, cluster, host, newIncarnation);
        }
        // A killed process may have created the identity file without syncing its directory entry.
        disk.syncFolder(path);
        return new DataFolder(path, lock, readIdentity(disk, file, cluster, host));
      } catch (IOException | StorageException e) {
        lock.close();
        throw e;
      }
    } catch (IOException e) {
      throw new StorageException(Fault.FAILED, path + " can't be opened: " + e, e);
    }
  }

  private static void createIdentity(
      Disk disk, Path path, Path file, String cluster, String host, long incarnation)
      throws IOException, StorageException {
    Optional<Path> aside = newestCorruptFolder(disk, path);
    if (aside.isPresent()) {
      moveRemainingContent(disk, path, aside.get());
    }
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
    return name.equals(Path.of(LOCK_FILE))
        || name.equals(Path.of(IDENTITY_TEMP_FILE))
        || isCorruptFolder(name);
  }

  private static boolean isCorruptFolder(Path name) {
    return name.toString().startsWith(CORRUPT_FOLDER_PREFIX);
  }

  private static Optional<Path> newestCorruptFolder(Disk disk, Path path) throws IOException {
    return disk.list(path).stream()
        .filter(entry -> isCorruptFolder(entry.getFileName()))
        .max(Comparator.naturalOrder());
  }

  /** Moves what is left in a folder without identity after its content was set aside. */
  private static void moveRemainingContent(Disk disk, Path path, Path aside) throws IOException {
    for (Path entry : disk.list(path)) {
      if (!isLeftoverOfCreation(entry.getFileName())) {
        disk.move(entry, aside.resolve(entry.getFileName()));
      }
    }
    disk.syncFolder(aside);
    disk.syncFolder(path);
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
