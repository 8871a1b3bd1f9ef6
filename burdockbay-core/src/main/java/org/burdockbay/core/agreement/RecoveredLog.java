package org.burdockbay.core.agreement;

import java.util.List;
import java.util.Optional;

/**
 * Content of a member's data folder at startup. All of it is synced, so the member counts and
 * acknowledges it immediately.
 *
 * @param hardState current term and vote
 * @param snapshot latest snapshot, if any
 * @param entries log entries after the snapshot, without gaps
 */
public record RecoveredLog(
    HardState hardState, Optional<Snapshot> snapshot, List<LogEntry> entries) {

  /** Content of an empty data folder. */
  public static final RecoveredLog EMPTY =
      new RecoveredLog(HardState.INITIAL, Optional.empty(), List.of());

  /** Copies the entries to make the record immutable. */
  public RecoveredLog {
    entries = List.copyOf(entries);
  }

  /** Returns the members that the last change in the log sets, committed or not. */
  public VoterSet members() {
    return new RaftLog(this).voters();
  }

  /**
   * Returns the initial log of the first voters of a group, which contains the predefined members.
   */
  public static RecoveredLog bootstrap(List<VoterId> voters) {
    EntryContent members = new EntryContent.Members(new VoterSet(voters, List.of()));
    return new RecoveredLog(
        new HardState(1, Optional.empty()),
        Optional.empty(),
        List.of(new LogEntry(1, 1, 0, members)));
  }
}
