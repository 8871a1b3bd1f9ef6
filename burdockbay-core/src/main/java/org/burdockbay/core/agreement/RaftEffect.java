package org.burdockbay.core.agreement;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;

/** Effect requested by a {@link RaftNode}. */
public sealed interface RaftEffect {

  /**
   * Writes and syncs state, in the order of the tickets. {@link RaftNode#persisted} is called with
   * the ticket afterwards.
   *
   * @param ticket number of this write
   * @param hardState term and vote, if changed
   * @param snapshot snapshot that replaces the log up to its index, if any
   * @param truncateFrom index from which existing entries are removed before the new ones are
   *     appended
   * @param entries entries to append
   */
  record Persist(
      long ticket,
      Optional<HardState> hardState,
      Optional<Snapshot> snapshot,
      OptionalLong truncateFrom,
      List<LogEntry> entries)
      implements RaftEffect {

    /** Copies the entries to make the effect immutable. */
    public Persist {
      entries = List.copyOf(entries);
    }
  }

  /** Sends a message, which may be lost, delayed, duplicated or reordered. */
  record Send(RaftMessage message) implements RaftEffect {}

  /** Applies committed entries to the state machine, in order and exactly once. */
  record Apply(List<LogEntry> entries) implements RaftEffect {

    /** Copies the entries to make the effect immutable. */
    public Apply {
      entries = List.copyOf(entries);
    }
  }

  /** Replaces the state of the state machine by a snapshot. */
  record Restore(Snapshot snapshot) implements RaftEffect {}

  /** The role or the known leader of this member has changed. */
  record RoleChanged(RaftRole role, long term, Optional<VoterId> leader) implements RaftEffect {}
}
