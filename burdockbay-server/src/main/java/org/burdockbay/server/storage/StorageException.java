package org.burdockbay.server.storage;

import org.burdockbay.server.ServerException;
import org.jspecify.annotations.Nullable;

/** Thrown when a data folder can't be used; the message names the file or folder. */
public class StorageException extends ServerException {

  private static final long serialVersionUID = 1L;

  /** The kind of failure. */
  public enum Fault {
    /**
     * The folder belongs to another host or cluster, has another format, is in use by another
     * process, or can't become a new data folder because it is already initialised or not empty.
     */
    FOREIGN,
    /** A synced record is missing, damaged or undecodable. */
    CORRUPT,
    /** Reading, writing or syncing failed. */
    FAILED
  }

  private final Fault fault;

  /** Creates an exception whose message names the file or folder. */
  public StorageException(Fault fault, String message) {
    this(fault, message, null);
  }

  /** Creates an exception with a cause. */
  public StorageException(Fault fault, String message, @Nullable Throwable cause) {
    super(message, cause);
    this.fault = fault;
  }

  /** Returns the kind of failure. */
  public Fault fault() {
    return fault;
  }
}
