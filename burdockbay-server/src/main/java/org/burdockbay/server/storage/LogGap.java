package org.burdockbay.server.storage;

/**
 * A discontinuity between the entries read so far and the next segment.
 *
 * <p>It is expected after a snapshot that replaced the log and after the deletion of older
 * segments.
 *
 * @param lastIndex index of the last entry read before the segment
 * @param lastTerm term of the last entry read before the segment
 * @param baseIndex index of the entry that precedes the segment
 * @param baseTerm term of the entry that precedes the segment
 */
public record LogGap(long lastIndex, long lastTerm, long baseIndex, long baseTerm) {}
