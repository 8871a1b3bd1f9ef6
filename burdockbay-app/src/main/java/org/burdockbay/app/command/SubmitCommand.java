package org.burdockbay.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Submits a job as a caller and prints the answer. */
public final class SubmitCommand extends HostClientCommand {

  @Option(name = "--job", required = true, metaVar = "NAME", usage = "kind of job")
  private String job;

  @Option(name = "--key", metaVar = "ID", usage = "submission id, for safe resubmission")
  private String submissionId;

  @Option(name = "--deadline-ms", metaVar = "MS", usage = "deadline, from now")
  private long deadlineMillis;

  @Argument(required = true, multiValued = true, metaVar = "TASK", usage = "payload, JSON")
  private List<String> tasks = new ArrayList<>();

  @Override
  public String summary() {
    return "submit a job as a caller and print its whole answer";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostClient client = client();
    ObjectNode body = client.mapper().createObjectNode();
    body.put("job", job);
    ArrayNode payloads = body.putArray("tasks");
    for (String task : tasks) {
      try {
        payloads.add(client.mapper().readTree(task));
      } catch (IOException e) {
        throw new BurdockbayException(
            ErrorKind.BAD_REQUEST, "task payload is not valid JSON: " + task, e);
      }
    }
    Map<String, String> headers = new HashMap<>();
    if (submissionId != null) {
      headers.put("Idempotency-Key", submissionId);
    }
    if (deadlineMillis > 0) {
      headers.put("Burdockbay-Deadline-Ms", Long.toString(deadlineMillis));
    }
    JsonNode answer = client.post("/v1/jobs", body, headers);
    System.out.println(client.prettyPrint(answer));
    return ExitCode.OK;
  }
}
