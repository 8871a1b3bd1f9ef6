package org.burdockbay.app.command;

import org.burdockbay.app.Command;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;
import org.kohsuke.args4j.Option;

/** Base class of the commands that call the HTTP API of a host, as an operator or a caller. */
abstract class HostClientCommand implements Command {

  @Option(name = "--host", required = true, metaVar = "IP:PORT", usage = "HTTP address of a host")
  private String host;

  @Option(
      name = "--token",
      metaVar = "TOKEN",
      usage = "credential; the environment variable BURDOCKBAY_TOKEN where it is missing")
  private String token;

  /**
   * Returns a client for the host and the credential given by the options.
   *
   * @throws BurdockbayException if neither the option nor the environment variable has a credential
   */
  final HostClient client() throws BurdockbayException {
    String credential = token == null ? System.getenv("BURDOCKBAY_TOKEN") : token;
    if (credential == null) {
      throw new BurdockbayException(
          ErrorKind.BAD_REQUEST, "no credential: give --token or set BURDOCKBAY_TOKEN");
    }
    return new HostClient(host, credential);
  }
}
