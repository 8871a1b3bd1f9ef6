package org.burdockbay.app.command;

import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.Set;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.configuration.IniDocument;
import org.burdockbay.core.configuration.support.IniReader;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Argument;

/** Compares a configuration document with the one in force, section by section and key by key. */
public final class DiffCommand extends HostClientCommand {

  @Argument(required = true, metaVar = "FILE", usage = "configuration document")
  private Path file;

  @Override
  public String summary() {
    return "compare a document with the one in force; exit 1 where they differ";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    String text = client().get("/v1/operator/configuration").path("text").asText();
    Set<String> inForce = settingLines("in-force", text);
    Set<String> given = settingLines(file.toString(), DocumentFile.read(file));
    boolean same = true;
    for (String setting : inForce) {
      if (!given.contains(setting)) {
        System.out.println("- " + setting);
        same = false;
      }
    }
    for (String setting : given) {
      if (!inForce.contains(setting)) {
        System.out.println("+ " + setting);
        same = false;
      }
    }
    return same ? ExitCode.OK : ExitCode.FAILED;
  }

  /** Returns one line for each section header and each setting, in the order of the document. */
  private static Set<String> settingLines(String name, String text) throws BurdockbayException {
    Set<String> lines = new LinkedHashSet<>();
    for (IniDocument.Section section : new IniReader(name).read(text).sections()) {
      lines.add("[" + section.header() + "]");
      for (IniDocument.Entry entry : section.entries()) {
        lines.add("[" + section.header() + "] " + entry.key() + " = " + entry.value());
      }
    }
    return lines;
  }
}
