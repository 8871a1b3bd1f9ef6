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
 * Creates the data folders with which a new system starts.
 *
 * <p>All seeds are told the same seeds, so each writes the same first members. Every other host
 * with a disk, and every host that comes back with an empty one later, waits to be admitted.
 */
final class ClusterBootstrap {

  private ClusterBootstrap() {}

  static void createDataFolderIfNeeded(NodeSettings settings) throws StorageException {
    Path path = settings.dataFolder().orElseThrow();
    boolean seed = settings.seeds().stream().map(HostAddress::ip).anyMatch(settings.host()::equals);
    if (!settings.firstStart() || !seed || Files.exists(path.resolve("identity"))) {
      return;
    }
    List<VoterId> voters =
        settings.seeds().stream()
            .map(HostAddress::ip)
            .sorted()
            .map(ip -> new VoterId(ip, DataFolder.BOOTSTRAP_INCARNATION))
            .toList();
    RecoveredLog first = RecoveredLog.bootstrap(voters);
    try (DataFolder folder = DataFolder.bootstrap(path, settings.cluster(), settings.host());
        LogStore store =
            new LogStore(folder.groupFolder(GroupId.CONTROL.number()), GroupId.CONTROL)) {
      store.write(
          List.of(
              new RaftEffect.Persist(
                  1,
                  Optional.of(first.hardState()),
                  Optional.empty(),
                  OptionalLong.empty(),
                  first.entries())));
    }
  }
}
