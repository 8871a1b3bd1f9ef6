package org.burdockbay.core.agreement;

import java.util.List;
import java.util.Optional;

/**
 * What a voter's data folder held at the start. All of it is synced: the voter counts and
 * acknowledges it from the start on.
 *
 * @param hardState term and vote
 * @param snapshot the newest snapshot, if any
 * @param entries the entries after the snapshot, without gaps
 */
public record RecoveredLog(
    HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

  /** An empty data folder. */
  public static final RecoveredLog EMPTY =
      new RecoveredLog(HardState.INITIAL, Optional.empty(), List.of());

  /** Copies the entries. */
  public RecoveredLog {
    entries = List.copyOf(entries);
  }

  /** Returns the log with which the first voters of a group start: its members, agreed by hand. */
  public static RecoveredLog bootstrap(List<VoterId> voters) {
    EntryContent members = new EntryContent.Members(new VoterSet(voters, List.of()));
    return new RecoveredLog(
        new HardState(1, Optional.empty()),
        Optional.empty(),
        List.of(new LogEntry(1, 1, 0, members)));
  }
}
