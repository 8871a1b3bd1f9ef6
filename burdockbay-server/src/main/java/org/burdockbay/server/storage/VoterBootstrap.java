package org.burdockbay.server.storage;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.server.storage.StorageException.Fault;

/** Creates the data folders of the initial voters of a new cluster. */
public final class VoterBootstrap {

  private VoterBootstrap() {}

  /**
   * Creates the data folder of an initial voter, or completes a creation that was interrupted. A
   * folder that already has a log, or was ever set aside as corrupt, isn't changed: the host may
   * have voted.
   *
   * @return whether the folder was created or completed
   * @throws StorageException if the folder belongs to another host or cluster, or can't be read or
   *     written
   */
  public static boolean createDataFolder(
      Path path, String cluster, String host, List<VoterId> voters) throws StorageException {
    return createDataFolder(FileDisk.INSTANCE, path, cluster, host, voters);
  }

  static boolean createDataFolder(
      Disk disk, Path path, String cluster, String host, List<VoterId> voters)
      throws StorageException {
    if (DataFolder.wasSetAside(disk, path)) {
      return false;
    }
    try (DataFolder folder = DataFolder.openOrBootstrap(disk, path, cluster, host)) {
      return folder.incarnation() == DataFolder.BOOTSTRAP_INCARNATION
          && writeLogIfMissing(disk, folder, RecoveredLog.bootstrap(voters));
    } catch (StorageException e) {
      if (e.fault() == Fault.CORRUPT) {
        return false;
      }
      throw e;
    }
  }

  private static boolean writeLogIfMissing(Disk disk, DataFolder folder, RecoveredLog initial)
      throws StorageException {
    Path groupFolder = folder.groupFolder(GroupId.CONTROL.number());
    try (LogStore store = new LogStore(disk, groupFolder, GroupId.CONTROL)) {
      boolean missing = isMissing(store.recoveredLog(), initial);
      if (missing) {
        store.write(
            List.of(
                new RaftEffect.Persist(
                    1,
                    Optional.of(initial.hardState()),
                    Optional.empty(),
                    OptionalLong.empty(),
                    initial.entries())));
      }
      return missing;
    }
  }

  /**
   * Returns whether a log is empty or holds only the first part of the initial log. Such a member
   * has neither voted nor acknowledged anything.
   */
  private static boolean isMissing(RecoveredLog log, RecoveredLog initial) {
    return log.snapshot().isEmpty()
        && log.entries().isEmpty()
        && log.hardState().votedFor().isEmpty()
        && log.hardState().term() <= initial.hardState().term();
  }
}
