package org.burdockbay.core.agreement;

/**
 * Identity of an agreement group. Messages and file names contain it, so that one process can be a
 * member of several groups.
 */
public record GroupId(int number) {

  /** Group that replicates the configuration and the ledger. */
  public static final GroupId CONTROL = new GroupId(0);
}
