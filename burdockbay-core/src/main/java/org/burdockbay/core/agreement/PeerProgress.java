package org.burdockbay.core.agreement;

import org.jspecify.annotations.Nullable;

/** Replication progress of another member, as tracked by the leader. */
final class PeerProgress {

  /** Index of the last entry that the member has synced and that matches the leader's log. */
  long matchIndex;

  /** Index of the next entry to send; advances without waiting for acknowledgements. */
  long nextIndex;

  long lastAckAt;

  /** Latest time at which a request was sent that the member has replied to in this term. */
  long confirmedAt = Long.MIN_VALUE;

  long lastProgressAt;
  long lastSentAt;

  /** Snapshot in transfer, or null. Its next chunk starts at {@link #snapshotOffset}. */
  @Nullable Snapshot snapshot;

  int snapshotOffset;

  /**
   * Time of the last chunk sent. Separate from {@link #lastSentAt}, because heartbeats in between
   * must not postpone resending the chunk.
   */
  long chunkSentAt;

  PeerProgress(long nextIndex, long now) {
    this.nextIndex = nextIndex;
    this.lastAckAt = now;
    this.lastProgressAt = now;
  }
}
