package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Map;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Argument;

/** Starts the evacuation of a failure domain. */
public final class EvacuateCommand extends HostClientCommand {

  @Argument(required = true, metaVar = "DOMAIN", usage = "failure domain")
  private String domain;

  @Override
  public String summary() {
    return "start no more tasks in a failure domain; running ones end by themselves";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    JsonNode reply = client().post("/v1/operator/evacuations/" + domain, Map.of(), Map.of());
    System.out.println("evacuated " + domain + " version=" + reply.path("version").asLong());
    return ExitCode.OK;
  }
}
