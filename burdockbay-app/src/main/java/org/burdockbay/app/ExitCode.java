package org.burdockbay.app;

/** Exit codes of the program, documented in docs/OPERATING.md. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The command failed. */
  FAILED(1),
  /** The command line is invalid: the command or an option is unknown, or an option is missing. */
  USAGE(2),
  /** A settings file or configuration document is not valid. */
  INVALID(3),
  /**
   * The host can't start: an address or data folder is in use, or the data folder is unreadable or
   * belongs to another host or cluster.
   */
  UNAVAILABLE(4),
  /** The configuration's version is no longer the expected one. */
  CONFLICT(5);

  private final int code;

  ExitCode(int code) {
    this.code = code;
  }

  /** Returns the exit code of the process. */
  public int code() {
    return code;
  }
}
