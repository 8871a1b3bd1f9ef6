package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Option;

/** Prints the status report of a host and its response times. */
public final class StatusCommand extends HostClientCommand {

  @Option(name = "--json", usage = "print JSON")
  private boolean printJson;

  @Override
  public String summary() {
    return "print the state of a host: dispatcher, agreement, response times by caller and job";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostClient client = client();
    JsonNode status = client.get("/v1/operator/status");
    if (printJson) {
      System.out.println(client.prettyPrint(status));
      return ExitCode.OK;
    }
    JsonNode report = status.path("report");
    printFields("host", report.path("self"));
    printFields("dispatch", report.path("dispatch"));
    printFields("agreement", report.path("agreement"));
    System.out.println("waiting-requests=" + report.path("waitingRequests").asInt());
    status
        .path("responseMillis")
        .properties()
        .forEach(entry -> printFields("response-ms " + entry.getKey(), entry.getValue()));
    return ExitCode.OK;
  }

  private static void printFields(String title, JsonNode node) {
    StringBuilder line = new StringBuilder(title);
    node.properties()
        .forEach(
            field -> line.append(' ').append(field.getKey()).append('=').append(field.getValue()));
    System.out.println(line);
  }
}
