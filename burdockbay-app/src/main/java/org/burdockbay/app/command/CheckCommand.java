package org.burdockbay.app.command;

import java.nio.file.Path;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.server.settings.HostSettings;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Validates a configuration document, or the settings file of a host, without applying it. */
public final class CheckCommand implements Command {

  @Argument(required = true, metaVar = "FILE", usage = "configuration document")
  private Path file;

  @Option(name = "--settings", usage = "the file holds settings of a host instead")
  private boolean isSettingsFile;

  @Override
  public String summary() {
    return "validate a configuration document or a settings file";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    if (isSettingsFile) {
      HostSettings.read(file);
    } else {
      DocumentFile.readValidated(file);
    }
    System.out.println(file + ": valid");
    return ExitCode.OK;
  }
}
