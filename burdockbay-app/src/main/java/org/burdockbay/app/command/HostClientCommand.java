package org.burdockbay.app.command;

import org.burdockbay.app.Command;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.kohsuke.args4j.Option;

/** Base of the commands that call a host as an operator. */
abstract class HostClientCommand implements Command {

  @Option(name = "--host", required = true, metaVar = "IP:PORT", usage = "HTTP address of a host")
  private String host;

  @Option(
      name = "--token",
      metaVar = "TOKEN",
      usage = "credential; the environment variable BURDOCKBAY_TOKEN where it is missing")
  private String token;

  /** Returns a client for the host that the options name. */
  final HostClient client() throws BurdockbayException {
    String given = token == null ? System.getenv("BURDOCKBAY_TOKEN") : token;
    if (given == null) {
      throw new BurdockbayException(ErrorKind.BAD_REQUEST, "give --token or set BURDOCKBAY_TOKEN");
    }
    return new HostClient(host, given);
  }
}
