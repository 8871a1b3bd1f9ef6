package org.burdockbay.app;

import org.burdockbay.core.error.BurdockbayException;

/** A command of the program. Its options are annotated fields, which args4j sets before the run. */
public interface Command {

  /** Returns a one-line description for {@code burdockbay help}. */
  String summary();

  /**
   * Runs the command.
   *
   * @throws BurdockbayException if the command fails; the message is printed on standard error
   */
  ExitCode run() throws BurdockbayException;
}
