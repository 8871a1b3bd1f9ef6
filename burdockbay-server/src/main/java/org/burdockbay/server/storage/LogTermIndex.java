package org.burdockbay.server.storage;

import java.util.TreeMap;

/** Tracks the terms of the entries in a log, without their content. */
final class LogTermIndex {

  /** Term by the index of its first entry, starting with the entry that precedes the log. */
  private final TreeMap<Long, Long> termsByFirstIndex = new TreeMap<>();

  private long lastIndex;

  LogTermIndex() {
    reset(0, 0);
  }

  /** Removes all entries; the log continues after the given entry. */
  void reset(long index, long term) {
    termsByFirstIndex.clear();
    termsByFirstIndex.put(index, term);
    lastIndex = index;
  }

  void append(long index, long term) {
    truncateFrom(index);
    if (lastTerm() != term) {
      termsByFirstIndex.put(index, term);
    }
    lastIndex = index;
  }

  void truncateFrom(long index) {
    termsByFirstIndex.tailMap(index, true).clear();
    lastIndex = index - 1;
  }

  /** Removes the entries before the given one, which must be in the log. */
  void discardBefore(long index) {
    termsByFirstIndex.headMap(termsByFirstIndex.floorKey(index), false).clear();
  }

  boolean containsEntry(long index, long term) {
    return index >= termsByFirstIndex.firstKey()
        && index <= lastIndex
        && termsByFirstIndex.floorEntry(index).getValue() == term;
  }

  long lastIndex() {
    return lastIndex;
  }

  long lastTerm() {
    return termsByFirstIndex.lastEntry().getValue();
  }
}
