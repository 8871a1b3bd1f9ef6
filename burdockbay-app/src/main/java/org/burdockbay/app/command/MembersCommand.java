package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.stream.StreamSupport;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;

/** Lists a host and the live hosts in its membership view. */
public final class MembersCommand extends HostClientCommand {

  private static final String ROW_FORMAT = "%-16s %-12s %-8s %-10s %-8s %-6s %-9s%n";

  @Override
  public String summary() {
    return "list the live hosts as one host sees them";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    JsonNode report = client().get("/v1/operator/status").path("report");
    System.out.printf(
        ROW_FORMAT, "HOST", "DOMAIN", "VERSION", "DISPATCHES", "LEADER", "DRAINS", "EVACUATED");
    JsonNode evacuated = report.path("self").path("evacuations").path("domains");
    printRow(report.path("self"), evacuated);
    report.path("live").forEach(host -> printRow(host, evacuated));
    return ExitCode.OK;
  }

  private static void printRow(JsonNode host, JsonNode evacuated) {
    boolean inEvacuatedDomain =
        StreamSupport.stream(evacuated.spliterator(), false).anyMatch(host.path("domain")::equals);
    System.out.printf(
        ROW_FORMAT,
        host.path("host").asText(),
        host.path("domain").asText(),
        host.path("configurationVersion").asLong(),
        host.path("dispatcherEpoch").asLong() != 0 ? "yes" : "no",
        host.path("leader").asText(),
        host.path("draining").asBoolean() ? "yes" : "no",
        inEvacuatedDomain ? "yes" : "no");
  }
}
