package org.burdockbay.core.lease;

/** How an upstream answered a call. */
public enum OrderResult {
  /** It did what it was told. */
  DONE,
  /** It has seen a higher fencing token. */
  FENCED,
  /** It has run or stopped that start, or a later one, before. */
  OLD,
  /** The order's lease had run out when it came. */
  LATE,
  /** It has no room for the task. */
  NO_ROOM,
  /** It takes no orders at present and has done nothing. */
  UNWELL,
  /** Another life of the upstream, or another upstream, has the address. */
  OTHER_LIFE,
  /** It refuses the order as malformed. */
  INVALID,
  /** No answer came; the order may be carried out, also later. */
  NO_ANSWER
}
