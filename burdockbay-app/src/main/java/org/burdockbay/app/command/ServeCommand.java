package org.burdockbay.app.command;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.server.Host;
import org.burdockbay.server.LazyResources;
import org.burdockbay.server.settings.HostSettings;
import org.burdockbay.server.wiring.DaggerHostComponent;
import org.kohsuke.args4j.Option;

/** Runs a host until SIGTERM or the drain command stops it. */
public final class ServeCommand implements Command {

  @Option(name = "--settings", required = true, metaVar = "FILE", usage = "settings of the host")
  private Path settingsFile;

  @Override
  public String summary() {
    return "run a host until SIGTERM or 'drain', then stop gracefully";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    LazyResources.preload();
    Host host = DaggerHostComponent.factory().create(HostSettings.read(settingsFile)).host();
    // SIGTERM runs this hook, which starts the planned stop and keeps the process alive until the
    // stop has finished. It waits for a latch rather than for the main thread to end: after a
    // failed stop that thread calls System.exit, which itself waits for all hooks.
    CountDownLatch stopped = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  host.stop();
                  try {
                    stopped.await();
                  } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                  }
                }));
    try {
      host.serve();
      // Halts before the hook returns; otherwise the exit code would be that of the signal.
      Runtime.getRuntime().halt(ExitCode.OK.code());
    } finally {
      stopped.countDown();
    }
    return ExitCode.OK;
  }
}
