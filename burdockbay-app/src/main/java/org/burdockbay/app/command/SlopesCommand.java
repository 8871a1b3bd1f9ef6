package org.burdockbay.app.command;

import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.bench.slope.CoreBenchmark;
import org.burdockbay.core.error.BurdockbayException;

/** Runs the {@link CoreBenchmark}, the source of the cost figures in docs/CAPACITY.md. */
public final class SlopesCommand implements Command {

  @Override
  public String summary() {
    return "measure what a task, record, runner and host cost the core, for docs/CAPACITY.md";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    new CoreBenchmark(System.out).run();
    return ExitCode.OK;
  }
}
