package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Applies a configuration document on the condition that its version is unchanged. */
public final class ApplyCommand extends HostClientCommand {

  private static final long POLL_INTERVAL_MILLIS = 100;
  private static final int MAX_ATTEMPTS = 5;

  @Argument(required = true, metaVar = "FILE", usage = "configuration document")
  private Path file;

  @Option(
      name = "--if-version",
      required = true,
      metaVar = "N",
      usage = "the version that was edited; 0 for the first document")
  private long expectedVersion;

  @Option(
      name = "--change-id",
      metaVar = "ID",
      usage = "identity of the change; repeat it after a lost answer to get the first answer")
  private String changeId = UUID.randomUUID().toString();

  @Option(name = "--operator", metaVar = "NAME", usage = "who applies it, for the history")
  private String operator = "";

  @Option(name = "--wait-ms", metaVar = "MS", usage = "wait until it is in force on live hosts")
  private long timeoutMillis;

  @Override
  public String summary() {
    return "apply a configuration document if its version is still the one that was edited";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    String text = DocumentFile.readValidated(file);
    Map<String, Object> change = new LinkedHashMap<>();
    change.put("text", text);
    change.put("expectedVersion", expectedVersion);
    change.put("changeId", changeId);
    change.put("operator", operator);
    HostClient client = client();
    long version = sendWithRetries(client, change).path("version").asLong();
    System.out.println("accepted version=" + version + " change-id=" + changeId);
    return timeoutMillis > 0 ? awaitInForce(client, version) : ExitCode.OK;
  }

  private static JsonNode sendWithRetries(HostClient client, Map<String, Object> change)
      throws BurdockbayException {
    BurdockbayException lastFailure = null;
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      try {
        return client.post("/v1/operator/configuration", change, Map.of());
      } catch (BurdockbayException e) {
        // The change id makes the request idempotent, so it can be repeated if the host was
        // unavailable or its answer was lost.
        if (e.kind() != ErrorKind.UNAVAILABLE) {
          throw e;
        }
        lastFailure = e;
      }
    }
    throw lastFailure;
  }

  private ExitCode awaitInForce(HostClient client, long version) throws BurdockbayException {
    long deadline = System.currentTimeMillis() + timeoutMillis;
    List<String> behind = List.of();
    while (System.currentTimeMillis() < deadline) {
      behind = hostsBehind(client, version);
      if (behind.isEmpty()) {
        System.out.println("in force on every live host version=" + version);
        return ExitCode.OK;
      }
      sleepUntilNextPoll();
    }
    System.out.println("not yet in force on " + String.join(", ", behind));
    return ExitCode.FAILED;
  }

  private static List<String> hostsBehind(HostClient client, long version)
      throws BurdockbayException {
    JsonNode report = client.get("/v1/operator/status").path("report");
    List<String> behind = new ArrayList<>();
    List<JsonNode> hosts = new ArrayList<>();
    hosts.add(report.path("self"));
    report.path("live").forEach(hosts::add);
    for (JsonNode host : hosts) {
      if (host.path("configurationVersion").asLong() < version) {
        behind.add(host.path("host").asText());
      }
    }
    return behind;
  }

  private static void sleepUntilNextPoll() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
