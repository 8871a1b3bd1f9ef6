package org.burdockbay.core.agreement;

/**
 * State of the state machine after an entry, which replaces the log up to that entry.
 *
 * @param index index of the last entry included
 * @param term term of that entry
 * @param timeMillis time of the group at that entry, in milliseconds
 * @param voters members of the group as of that entry
 * @param data encoded state
 */
public record Snapshot(long index, long term, long timeMillis, VoterSet voters, Bytes data) {}
