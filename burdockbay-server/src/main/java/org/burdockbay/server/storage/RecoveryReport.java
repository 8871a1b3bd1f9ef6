package org.burdockbay.server.storage;

import java.util.List;

/**
 * What opening a log found in its files.
 *
 * @param firstSegment number of the oldest segment; 0 if there was none
 * @param lastSegment number of the newest segment; 0 if there was none
 * @param truncatedBytes size of the incomplete record that was cut off the newest segment
 * @param gaps segments that don't follow the one before
 */
public record RecoveryReport(
    long firstSegment, long lastSegment, int truncatedBytes, List<LogGap> gaps) {

  /** Copies the gaps. */
  public RecoveryReport {
    gaps = List.copyOf(gaps);
  }
}
