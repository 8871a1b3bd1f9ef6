package org.burdockbay.app.command;

import java.util.Map;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;

/** Starts a planned stop of a host; doesn't wait until the host has stopped. */
public final class DrainCommand extends HostClientCommand {

  @Override
  public String summary() {
    return "begin a planned stop of a host; it finishes what is in flight and exits";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    client().post("/v1/operator/drain", Map.of(), Map.of());
    System.out.println("draining");
    return ExitCode.OK;
  }
}
