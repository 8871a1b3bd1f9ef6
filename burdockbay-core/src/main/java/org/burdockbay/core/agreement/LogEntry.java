package org.burdockbay.core.agreement;

/**
 * One entry of the log.
 *
 * @param index its place, from 1
 * @param term the term of the leader that appended it
 * @param timeMillis the group's time: milliseconds that leaders have counted, not a wall time
 * @param content what it carries
 */
public record LogEntry(long index, long term, long timeMillis, EntryContent content) {

  /** Returns the size of the command in bytes, or 0 if the entry carries no command. */
  int commandBytes() {
    return content instanceof EntryContent.Command command ? command.data().size() : 0;
  }
}
