package org.burdockbay.app.command;

import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Cancels a submission and prints its outcome. */
public final class CancelCommand extends HostClientCommand {

  @Argument(required = true, metaVar = "ID", usage = "submission id")
  private String submissionId;

  @Option(name = "--wait-ms", metaVar = "MS", usage = "how long to wait for the outcome")
  private long timeoutMillis = 30_000;

  @Override
  public String summary() {
    return "cancel a submission, as its caller, and print its outcome";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostClient client = client();
    System.out.println(
        client.prettyPrint(client.delete("/v1/jobs/" + submissionId + "?wait=" + timeoutMillis)));
    return ExitCode.OK;
  }
}
