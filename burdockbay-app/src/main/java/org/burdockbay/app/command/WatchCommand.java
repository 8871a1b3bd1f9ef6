package org.burdockbay.app.command;

import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Option;

/** Prints a line for each version of the configuration that comes into force on a host. */
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
    long last = -1;
    int seen = 0;
    while (maxVersions == 0 || seen < maxVersions) {
      long version = client.get("/v1/operator/configuration").path("version").asLong();
      if (version != last) {
        System.out.println("version=" + version);
        last = version;
        seen++;
      } else if (!sleepUntilNextPoll()) {
        break;
      }
    }
    return ExitCode.OK;
  }

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
