package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Log entries in memory that follow the base, the last entry that was discarded. */
final class RaftLog {

  private final TreeMap<Long, VoterSet> voterSets = new TreeMap<>();
  private ArrayList<LogEntry> entries = new ArrayList<>();
  private long baseIndex;
  private long baseTerm;
  private long baseTimeMillis;

  RaftLog(RecoveredLog recovered) {
    recovered.snapshot().ifPresent(this::reset);
    recovered.entries().forEach(this::append);
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return baseIndex + entries.size();
  }

  long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.getLast().term();
  }

  long lastTimeMillis() {
    return entries.isEmpty() ? baseTimeMillis : entries.getLast().timeMillis();
  }

  /** Returns the term of an entry, or -1 if this log doesn't contain it. */
  long term(long index) {
    if (index == baseIndex) {
      return baseTerm;
    }
    if (index < baseIndex || index > lastIndex()) {
      return -1;
    }
    return entry(index).term();
  }

  LogEntry entry(long index) {
    return entries.get((int) (index - baseIndex - 1));
  }

  /**
   * Returns entries starting at an index.
   *
   * @param count maximum number of entries
   * @param bytes total command size after which no further entry is added
   */
  List<LogEntry> entriesFrom(long index, int count, int bytes) {
    List<LogEntry> result = new ArrayList<>();
    int size = 0;
    for (long i = index; i <= lastIndex() && result.size() < count && size < bytes; i++) {
      LogEntry entry = entry(i);
      result.add(entry);
      size += entry.commandBytes();
    }
    return result;
  }

  /**
   * Returns the index up to which the log can be compacted so that a limited number of entries up
   * to the given index remains.
   *
   * @param index last entry that may be discarded
   * @param count maximum number of entries to retain
   * @param bytes limit for the size of the retained commands, which the oldest one may exceed
   */
  long compactionIndex(long index, int count, long bytes) {
    long base = index;
    long size = 0;
    while (base > baseIndex && index - base < count && size < bytes) {
      size += entry(base).commandBytes();
      base--;
    }
    return base;
  }

  void append(LogEntry entry) {
    if (entry.index() != lastIndex() + 1) {
      throw new IllegalArgumentException(
          "log entry " + entry.index() + " doesn't follow last entry " + lastIndex());
    }
    entries.add(entry);
    if (entry.content() instanceof EntryContent.Members members) {
      voterSets.put(entry.index(), members.voters());
    }
  }

  void truncateFrom(long index) {
    entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    voterSets.tailMap(index, true).clear();
  }

  /** Discards entries up to an index, which must have been applied. */
  void compact(long index) {
    if (index <= baseIndex) {
      return;
    }
    final LogEntry base = entry(index);
    VoterSet voters = votersAt(index);
    entries = new ArrayList<>(entries.subList((int) (index - baseIndex), entries.size()));
    voterSets.headMap(index, true).clear();
    voterSets.put(index, voters);
    baseIndex = index;
    baseTerm = base.term();
    baseTimeMillis = base.timeMillis();
  }

  /** Replaces the entire log by a snapshot. */
  void reset(Snapshot snapshot) {
    entries = new ArrayList<>();
    voterSets.clear();
    voterSets.put(snapshot.index(), snapshot.voters());
    baseIndex = snapshot.index();
    baseTerm = snapshot.term();
    baseTimeMillis = snapshot.timeMillis();
  }

  /**
   * Returns the current members. A change takes effect when its entry is appended, whether
   * committed or not.
   */
  VoterSet voters() {
    return voterSets.isEmpty() ? VoterSet.EMPTY : voterSets.lastEntry().getValue();
  }

  /** Returns the index of the entry that set the current members. */
  long votersIndex() {
    return voterSets.isEmpty() ? 0 : voterSets.lastKey();
  }

  VoterSet votersAt(long index) {
    Map.Entry<Long, VoterSet> entry = voterSets.floorEntry(index);
    return entry == null ? VoterSet.EMPTY : entry.getValue();
  }
}
