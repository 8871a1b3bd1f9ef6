package org.burdockbay.app.command;

import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Option;

/** Polls a host and prints each configuration version that it finds newly in force. */
public final class WatchCommand extends HostClientCommand {

  private static final long POLL_INTERVAL_MILLIS = 500;

  @Option(name = "--count", metaVar = "N", usage = "end after this many versions; 0 for never")
  private int maxVersions;

  @Override
  public String summary() {
    return "print each version of the configuration as it comes into force on a host";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    HostClient client = client();
    long lastVersion = -1;
    int printed = 0;
    while (maxVersions == 0 || printed < maxVersions) {
      long version = client.get("/v1/operator/configuration").path("version").asLong();
      if (version != lastVersion) {
        System.out.println("version=" + version);
        lastVersion = version;
        printed++;
      } else if (!sleepUntilNextPoll()) {
        break;
      }
    }
    return ExitCode.OK;
  }

  /** Waits for the poll interval; returns false if the thread was interrupted. */
  private static boolean sleepUntilNextPoll() {
    try {
      Thread.sleep(POLL_INTERVAL_MILLIS);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
