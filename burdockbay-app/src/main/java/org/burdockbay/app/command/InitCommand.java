package org.burdockbay.app.command;

import java.nio.file.Path;
import java.util.List;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.server.settings.HostSettings;
import org.burdockbay.server.storage.DataFolder;
import org.burdockbay.server.storage.StorageException;
import org.burdockbay.server.storage.StorageException.Fault;
import org.burdockbay.server.storage.VoterBootstrap;
import org.kohsuke.args4j.Option;

/**
 * Creates the data folder of an initial voter of a new cluster.
 *
 * <p>The folder holds the initial state of the control group's log, with all voters of the
 * settings. A voter that lost its disk must not be initialised again: it rejoins under a new
 * incarnation.
 */
public final class InitCommand implements Command {

  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings of the host")
  private Path settingsFile;

  @Override
  public String summary() {
    return "create the data folder of a first voter of a NEW cluster; never to replace a lost disk";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostSettings hostSettings = HostSettings.read(settingsFile);
    Path path =
        hostSettings
            .dataFolder()
            .orElseThrow(
                () ->
                    new BurdockbayException(
                        ErrorKind.BAD_REQUEST, settingsFile + ": [host] data-folder is not set"));
    List<VoterId> voters =
        hostSettings.voterIds().stream()
            .map(id -> new VoterId(id, DataFolder.BOOTSTRAP_INCARNATION))
            .toList();
    boolean created =
        VoterBootstrap.createDataFolder(path, hostSettings.cluster(), hostSettings.id(), voters);
    if (!created) {
      throw new StorageException(Fault.FOREIGN, path + " is already initialised");
    }
    System.out.println("initialised " + path + " with voters " + voters);
    return ExitCode.OK;
  }
}
