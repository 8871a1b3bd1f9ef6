package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;

/** Lists the configuration versions that a host with a data folder retains. */
public final class HistoryCommand extends HostClientCommand {

  @Override
  public String summary() {
    return "list the versions of the configuration that a host with a data folder keeps";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    for (JsonNode version : client().get("/v1/operator/history")) {
      System.out.println(
          "version="
              + version.path("version").asLong()
              + " change-id="
              + version.path("changeId").asText()
              + " operator="
              + version.path("operator").asText()
              + " characters="
              + version.path("text").asText().length());
    }
    return ExitCode.OK;
  }
}
