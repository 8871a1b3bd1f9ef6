package org.burdockbay.core.agreement;

import java.util.Optional;

/**
 * State that a voter must persist in addition to its log.
 *
 * @param term current term
 * @param votedFor candidate that received the vote in this term, if any
 */
public record HardState(long term, Optional<VoterId> votedFor) {

  /** Initial state, before the first term. */
  public static final HardState INITIAL = new HardState(0, Optional.empty());
}
