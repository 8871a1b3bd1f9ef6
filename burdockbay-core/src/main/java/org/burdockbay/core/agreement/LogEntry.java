package org.burdockbay.core.agreement;

/**
 * Entry of the replicated log.
 *
 * @param index position in the log, starting at 1
 * @param term term of the leader that appended the entry
 * @param timeMillis time of the group, in milliseconds: the sum of the times measured by successive
 *     leaders, not wall-clock time
 * @param content content of the entry
 */
public record LogEntry(long index, long term, long timeMillis, EntryContent content) {

  /** Returns the size of the command in bytes, or 0 if the entry contains none. */
  int commandBytes() {
    return content instanceof EntryContent.Command command ? command.data().size() : 0;
  }
}
