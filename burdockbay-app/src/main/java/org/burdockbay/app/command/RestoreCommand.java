package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Argument;

/** Ends the evacuation of a failure domain. */
public final class RestoreCommand extends HostClientCommand {

  @Argument(required = true, metaVar = "DOMAIN", usage = "failure domain")
  private String domain;

  @Override
  public String summary() {
    return "end the evacuation of a failure domain";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    JsonNode reply = client().delete("/v1/operator/evacuations/" + domain);
    System.out.println("restored " + domain + " version=" + reply.path("version").asLong());
    return ExitCode.OK;
  }
}
