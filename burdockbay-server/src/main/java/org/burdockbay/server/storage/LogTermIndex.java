package org.burdockbay.server.storage;

import java.util.TreeMap;

/** The terms of the entries that a log holds, without their content. */
final class LogTermIndex {

  /** Term by the first entry that has it, beginning with the entry that the log follows. */
  private final TreeMap<Long, Long> termsByFirstIndex = new TreeMap<>();

  private long lastIndex;

  LogTermIndex() {
    reset(0, 0);
  }

  /** Forgets all entries; the log then follows the given one. */
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

  /** Forgets the entries before one that is held. */
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
