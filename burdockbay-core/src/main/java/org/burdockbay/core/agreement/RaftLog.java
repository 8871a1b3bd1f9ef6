package org.burdockbay.core.agreement;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The entries in memory, from a base that a snapshot covers. */
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

  /** Returns the term of an entry, or -1 if it is not known here. */
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

  /** Returns entries from an index on, up to the given count and size in bytes. */
  List<LogEntry> entriesFrom(long index, int count, int bytes) {
    List<LogEntry> part = new ArrayList<>();
    int size = 0;
    for (long i = index; i <= lastIndex() && part.size() < count && size < bytes; i++) {
      LogEntry entry = entry(i);
      part.add(entry);
      size += entry.commandBytes();
    }
    return part;
  }

  /**
   * Returns the index to compact to so that at most {@code count} entries up to the given index
   * remain. Their commands may exceed the given size in bytes by part of the oldest one.
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
          "entry " + entry.index() + " doesn't follow " + lastIndex());
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

  /** Drops entries up to an index, which must be applied. */
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

  /** Replaces the whole log by a snapshot. */
  void reset(Snapshot snapshot) {
    entries = new ArrayList<>();
    voterSets.clear();
    voterSets.put(snapshot.index(), snapshot.voters());
    baseIndex = snapshot.index();
    baseTerm = snapshot.term();
    baseTimeMillis = snapshot.timeMillis();
  }

  /** Returns the members; a change counts from its entry on, committed or not. */
  VoterSet voters() {
    return voterSets.isEmpty() ? VoterSet.EMPTY : voterSets.lastEntry().getValue();
  }

  /** Returns the entry that set the members. */
  long votersIndex() {
    return voterSets.isEmpty() ? 0 : voterSets.lastKey();
  }

  VoterSet votersAt(long index) {
    Map.Entry<Long, VoterSet> entry = voterSets.floorEntry(index);
    return entry == null ? VoterSet.EMPTY : entry.getValue();
  }
}
