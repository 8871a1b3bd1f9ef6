package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Decides which work goes first, and which can no longer be served. */
final class AdmissionRule {

  /** When a refused caller may come back, in milliseconds: a few times the usual run time. */
  static final long RETRY_MILLIS = 1_000;

  /** Returns the work in the order in which its tasks are placed. */
  List<WorkState> order(Collection<WorkState> works, long now) {
    List<WorkState> ordered = new ArrayList<>(works);
    ordered.sort(
        Comparator.comparing((WorkState work) -> now > work.latestStart() && !work.offered)
            .thenComparingLong(WorkState::latestStart));
    return ordered;
  }

  /** Returns whether waiting work can't be answered before its caller leaves. */
  boolean hopeless(WorkState work, long now) {
    return now + work.chainMillis() > work.expiresAt();
  }
}
