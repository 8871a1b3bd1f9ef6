package org.burdockbay.core.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.jspecify.annotations.Nullable;

/** A submission for which callers wait at this entry host. */
final class PendingSubmission {

  /** The purpose of the waiting request. */
  enum Purpose {
    SUBMIT,
    FOLLOW,
    CANCEL
  }

  final SubmissionKey key;
  final Purpose purpose;
  final @Nullable JobRequest request;
  final boolean atMostOnce;

  /** Tickets of the waiting requests with the time at which each wait ends. */
  final Map<Long, Long> tickets = new LinkedHashMap<>();

  final long arrivedAt;
  final long deadlineAt;
  Arrival arrival = Arrival.FIRST;
  @Nullable String domain;
  RouteView.@Nullable ActiveDispatcher sentTo;
  long unroutedSince;
  long nextSendAt;
  int redirects;
  boolean sent;

  PendingSubmission(
      SubmissionKey key,
      Purpose purpose,
      @Nullable JobRequest request,
      boolean atMostOnce,
      long arrivedAt,
      long deadlineAt) {
    this.key = key;
    this.purpose = purpose;
    this.request = request;
    this.atMostOnce = atMostOnce;
    this.arrivedAt = arrivedAt;
    this.deadlineAt = deadlineAt;
    this.unroutedSince = arrivedAt;
  }
}
