package org.burdockbay.app.command;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.burdockbay.server.settings.HostSettings;
import org.burdockbay.server.storage.DataFolder;
import org.burdockbay.server.storage.LogStore;
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
    RecoveredLog initialLog = RecoveredLog.bootstrap(voters);
    try (DataFolder folder = DataFolder.bootstrap(path, hostSettings.cluster(), hostSettings.id());
        LogStore store =
            new LogStore(folder.groupFolder(GroupId.CONTROL.number()), GroupId.CONTROL)) {
      store.write(
          List.of(
              new RaftEffect.Persist(
                  1,
                  Optional.of(initialLog.hardState()),
                  Optional.empty(),
                  OptionalLong.empty(),
                  initialLog.entries())));
    }
    System.out.println("initialised " + path + " with voters " + voters);
    return ExitCode.OK;
  }
}
