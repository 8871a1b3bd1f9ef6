package org.burdockbay.server.storage;

import java.util.TreeMap;

/** The terms of the entries that a log holds, without their content. */
final class LogOutline {

  /** Term by the first entry that has it, beginning with the entry that the log follows. */
  private final TreeMap<Long, Long> terms = new TreeMap<>();

  private long lastIndex;

  LogOutline() {
    reset(0, 0);
  }

  /** Forgets all entries; the log then follows the given one. */
  void reset(long index, long term) {
    terms.clear();
    terms.put(index, term);
    lastIndex = index;
  }

  void append(long index, long term) {
    truncateFrom(index);
    if (lastTerm() != term) {
      terms.put(index, term);
    }
    lastIndex = index;
  }

  void truncateFrom(long index) {
    terms.tailMap(index, true).clear();
    lastIndex = index - 1;
  }

  /** Forgets the entries before one that is held. */
  void discardBefore(long index) {
    terms.headMap(terms.floorKey(index), false).clear();
  }

  boolean holds(long index, long term) {
    return index >= terms.firstKey()
        && index <= lastIndex
        && terms.floorEntry(index).getValue() == term;
  }

  long lastIndex() {
    return lastIndex;
  }

  long lastTerm() {
    return terms.lastEntry().getValue();
  }
}
