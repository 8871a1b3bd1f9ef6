package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Option;

/** Prints the configuration in force on a host; its version goes to standard error. */
public final class ShowCommand extends HostClientCommand {

  @Option(name = "--json", usage = "print JSON with the version")
  private boolean printJson;

  @Override
  public String summary() {
    return "print the configuration that is in force on a host";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostClient client = client();
    JsonNode document = client.get("/v1/operator/configuration");
    if (printJson) {
      System.out.println(client.prettyPrint(document));
    } else {
      System.err.println("version " + document.path("version").asLong());
      System.out.print(document.path("text").asText());
    }
    return ExitCode.OK;
  }
}
