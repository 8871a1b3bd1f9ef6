package org.burdockbay.core.lease;

/** The result of an order that was sent to an upstream. */
public enum OrderResult {
  /** The upstream carried out the order. */
  DONE,
  /** The upstream has seen a higher fencing token. */
  FENCED,
  /** The upstream has already run or stopped this start or a later one. */
  OLD,
  /** The lease in the order had expired when the order arrived. */
  LATE,
  /** The upstream lacks the capacity for the task. */
  NO_ROOM,
  /** The upstream accepts no orders at present and has done nothing. */
  UNWELL,
  /** Another upstream uses the address; the order wasn't carried out. */
  OTHER_LIFE,
  /** The upstream refuses the order as malformed. */
  INVALID,
  /** No answer arrived; the order may have been carried out, or may be later. */
  NO_ANSWER
}
