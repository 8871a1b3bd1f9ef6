package org.burdockbay.core.agreement;

/** Content of a log entry. */
public sealed interface EntryContent {

  /** No operation. A new leader appends it to commit entries of earlier terms. */
  record Noop() implements EntryContent {}

  /** Command for the state machine. */
  record Command(Bytes data) implements EntryContent {}

  /** Change of the group's members, effective from this entry on. */
  record Members(VoterSet voters) implements EntryContent {}
}
