package org.burdockbay.server.storage;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.Bytes;
import org.burdockbay.core.agreement.EntryContent;
import org.burdockbay.core.agreement.HardState;
import org.burdockbay.core.agreement.LogEntry;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.Snapshot;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterSet;

/** Creates log entries, votes and snapshots for tests of the storage. */
final class LogRecords {

  static final HardState VOTED = new HardState(3, Optional.of(new VoterId("b", 1)));

  private LogRecords() {}

  static RaftEffect.Persist persist(HardState state, List<LogEntry> entries) {
    return new RaftEffect.Persist(
        1, Optional.of(state), Optional.empty(), OptionalLong.empty(), entries);
  }

  static RaftEffect.Persist append(long from, long to) {
    return new RaftEffect.Persist(
        1, Optional.empty(), Optional.empty(), OptionalLong.empty(), entries(from, to));
  }

  static RaftEffect.Persist snapshot(long index, long term) {
    Snapshot snapshot = new Snapshot(index, term, 0, VoterSet.EMPTY, Bytes.EMPTY);
    return new RaftEffect.Persist(
        1, Optional.empty(), Optional.of(snapshot), OptionalLong.empty(), List.of());
  }

  static List<LogEntry> entries(long from, long to) {
    List<LogEntry> entries = new ArrayList<>();
    for (long index = from; index <= to; index++) {
      entries.add(entry(index, 1));
    }
    return entries;
  }

  static LogEntry entry(long index, long term) {
    byte[] data = ("entry " + index).getBytes(StandardCharsets.UTF_8);
    return new LogEntry(index, term, 0, new EntryContent.Command(Bytes.copyOf(data)));
  }
}
