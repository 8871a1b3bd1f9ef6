package org.burdockbay.server.storage;

import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.wire.LogRecordCodec;
import org.burdockbay.wire.WireException;

/** Rebuilds a log from the records of its segments, oldest first. */
final class SegmentReader implements LogRecordCodec.Visitor {

  private static final long UNKNOWN_TERM = -1;

  private final GroupId group;
  private final List<LogEntry> entries = new ArrayList<>();
  private final List<LogGap> gaps = new ArrayList<>();
  private HardState hardState = HardState.INITIAL;
  private long baseIndex;
  private long baseTerm;
  private long segmentBaseIndex;
  private long changeCount;

  SegmentReader(GroupId group) {
    this.group = group;
  }

  /**
   * Begins the next segment.
   *
   * <p>Until its base record is read, the segment is assumed to follow the last entry. A segment
   * that lost its content in a power loss has no base record.
   */
  void beginSegment() {
    segmentBaseIndex = lastIndex();
  }

  @Override
  public void visitBase(int number, long index, long term) throws WireException {
    if (number != group.number()) {
      throw new WireException("segment of group " + number + "; expected group " + group.number());
    }
    segmentBaseIndex = index;
    if (index != lastIndex() || term != lastTerm()) {
      // A snapshot replaced the log here, or earlier segments were deleted.
      changeCount++;
      gaps.add(new LogGap(lastIndex(), lastTerm(), index, term));
      entries.clear();
      baseIndex = index;
      baseTerm = term;
    }
  }

  @Override
  public void visitHardState(HardState state) {
    if (!state.equals(hardState)) {
      changeCount++;
    }
    hardState = state;
  }

  @Override
  public void visitTruncation(long index) {
    changeCount++;
    removeFrom(index);
    if (index <= baseIndex) {
      // The preceding entries were in older segments, since covered by a snapshot and deleted.
      baseIndex = index - 1;
      baseTerm = UNKNOWN_TERM;
    }
  }

  @Override
  public void visitEntry(LogEntry entry) throws WireException {
    changeCount++;
    removeFrom(entry.index());
    if (entry.index() != lastIndex() + 1) {
      throw new WireException(
          "entry " + entry.index() + " is not the successor of entry " + lastIndex());
    }
    entries.add(entry);
  }

  List<LogEntry> entries() {
    return entries;
  }

  List<LogGap> gaps() {
    return gaps;
  }

  HardState lastHardState() {
    return hardState;
  }

  /** Returns the number of records that changed the log or the hard state. */
  long changeCount() {
    return changeCount;
  }

  /** Returns the index of the entry that precedes the latest segment. */
  long segmentBaseIndex() {
    return segmentBaseIndex;
  }

  long baseIndex() {
    return baseIndex;
  }

  long lastIndex() {
    return entries.isEmpty() ? baseIndex : entries.getLast().index();
  }

  boolean containsEntry(long index, long term) {
    if (index == baseIndex) {
      return term == baseTerm;
    }
    return entries.stream().anyMatch(entry -> entry.index() == index && entry.term() == term);
  }

  private void removeFrom(long index) {
    entries.removeIf(entry -> entry.index() >= index);
  }

  private long lastTerm() {
    return entries.isEmpty() ? baseTerm : entries.getLast().term();
  }
}
