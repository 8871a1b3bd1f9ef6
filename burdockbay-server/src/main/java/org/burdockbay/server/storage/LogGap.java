package org.burdockbay.server.storage;

/**
 * A segment that doesn't follow the last entry read before it. A snapshot that replaced the log
 * leaves one, and so does the removal of older segments.
 *
 * @param lastIndex the last entry read before the segment
 * @param lastTerm its term
 * @param baseIndex the entry that the segment follows
 * @param baseTerm its term
 */
public record LogGap(long lastIndex, long lastTerm, long baseIndex, long baseTerm) {}
