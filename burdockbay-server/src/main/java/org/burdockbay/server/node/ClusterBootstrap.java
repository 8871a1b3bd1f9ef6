package org.burdockbay.server.node;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.storage.DataFolder;
import org.burdockbay.server.storage.LogStore;
import org.burdockbay.server.storage.StorageException;

/**
 * Creates the data folders of the initial voters of a new cluster.
 *
 * <p>All seeds are configured with the same list of seeds, so each writes the same initial voters.
 * Every other host with a disk, and every host that later returns with an empty disk, waits to be
 * added.
 */
final class ClusterBootstrap {

  private ClusterBootstrap() {}

  /**
   * Creates the data folder of this host if it is a seed, the cluster starts for the first time and
   * the folder doesn't exist yet.
   */
  static void createDataFolderIfNeeded(NodeSettings settings) throws StorageException {
    Path path = settings.dataFolder().orElseThrow();
    boolean isSeed =
        settings.seeds().stream().map(HostAddress::ip).anyMatch(settings.host()::equals);
    if (!settings.firstStart() || !isSeed || Files.exists(path.resolve("identity"))) {
      return;
    }
    List<VoterId> voters =
        settings.seeds().stream()
            .map(HostAddress::ip)
            .sorted()
            .map(ip -> new VoterId(ip, DataFolder.BOOTSTRAP_INCARNATION))
            .toList();
    RecoveredLog bootstrapLog = RecoveredLog.bootstrap(voters);
    try (DataFolder folder = DataFolder.bootstrap(path, settings.cluster(), settings.host());
        LogStore store =
            new LogStore(folder.groupFolder(GroupId.CONTROL.number()), GroupId.CONTROL)) {
      store.write(
          List.of(
              new RaftEffect.Persist(
                  1,
                  Optional.of(bootstrapLog.hardState()),
                  Optional.empty(),
                  OptionalLong.empty(),
                  bootstrapLog.entries())));
    }
  }
}
