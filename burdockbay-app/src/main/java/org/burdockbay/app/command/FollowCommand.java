package org.burdockbay.app.command;

import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Waits for the answer of a submission and prints it. */
public final class FollowCommand extends HostClientCommand {

  @Argument(required = true, metaVar = "ID", usage = "submission id")
  private String submissionId;

  @Option(name = "--wait-ms", metaVar = "MS", usage = "how long to wait for the answer")
  private long timeoutMillis = 30_000;

  @Override
  public String summary() {
    return "wait for the answer of a submission, as its caller";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostClient client = client();
    System.out.println(
        client.prettyPrint(client.get("/v1/jobs/" + submissionId + "?wait=" + timeoutMillis)));
    return ExitCode.OK;
  }
}
