package org.burdockbay.server.storage;

import java.util.List;

/**
 * The findings of a {@link LogStore} about its files when it was opened.
 *
 * @param firstSegment number of the oldest segment; 0 if there was none
 * @param lastSegment number of the newest segment; 0 if there was none
 * @param truncatedBytes size of the incomplete tail that was removed from the newest segment
 * @param gaps discontinuities between consecutive segments
 */
public record RecoveryReport(
    long firstSegment, long lastSegment, int truncatedBytes, List<LogGap> gaps) {

  /** Creates a report with a copy of the gaps. */
  public RecoveryReport {
    gaps = List.copyOf(gaps);
  }
}
