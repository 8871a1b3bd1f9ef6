package org.burdockbay.server.node;

import java.util.List;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.storage.DataFolder;
import org.burdockbay.server.storage.StorageException;
import org.burdockbay.server.storage.VoterBootstrap;

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
   * the folder doesn't exist yet. A creation that was interrupted is completed.
   */
  static void createDataFolderIfNeeded(NodeSettings settings) throws StorageException {
    boolean isSeed =
        settings.seeds().stream().map(HostAddress::ip).anyMatch(settings.host()::equals);
    if (!settings.firstStart() || !isSeed) {
      return;
    }
    List<VoterId> voters =
        settings.seeds().stream()
            .map(HostAddress::ip)
            .sorted()
            .map(ip -> new VoterId(ip, DataFolder.BOOTSTRAP_INCARNATION))
            .toList();
    VoterBootstrap.createDataFolder(
        settings.dataFolder().orElseThrow(), settings.cluster(), settings.host(), voters);
  }
}
