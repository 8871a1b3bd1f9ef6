package org.burdockbay.core.message;

import java.util.List;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.dispatch.Arrival;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;

/** A message from one host to another. */
public sealed interface PeerMessage {

  /**
   * What the sender tells of itself.
   *
   * @param lastContactAgeMillis how long ago the sender heard the receiver, in milliseconds; empty
   *     if it hasn't, or doesn't tell
   */
  record Heartbeat(HostStatus status, OptionalLong lastContactAgeMillis) implements PeerMessage {

    /** Creates a heartbeat that doesn't tell when the receiver was heard. */
    public Heartbeat(HostStatus status) {
      this(status, OptionalLong.empty());
    }
  }

  /** A message of an agreement group. */
  record Agreement(GroupId group, RaftMessage message) implements PeerMessage {}

  /** Asks the leader to propose a command; {@code requestId} is the sender's. */
  record Propose(long requestId, ControlCommand command) implements PeerMessage {}

  /** Answers a {@link Propose}. */
  record Proposed(long requestId, ControlReply reply) implements PeerMessage {}

  /** Asks for the configuration if the receiver has a newer version. */
  record FetchConfiguration(long knownVersion) implements PeerMessage {}

  /** A version of the configuration that is in force at the sender. */
  record ConfigurationText(long version, String text) implements PeerMessage {}

  /** Requests a part of a catalog. */
  record FetchCatalogPart(CatalogPart.Request request) implements PeerMessage {}

  /** Answers a {@link FetchCatalogPart}. */
  record SendCatalogPart(CatalogPart part) implements PeerMessage {}

  /** Forwards a job to a dispatcher. */
  record SubmitJob(JobRequest request, Arrival arrival) implements PeerMessage {}

  /** Asks a dispatcher for the outcome of a submission. */
  record FollowJob(SubmissionKey key) implements PeerMessage {}

  /** Asks a dispatcher to cancel a submission. */
  record CancelJob(SubmissionKey key) implements PeerMessage {}

  /**
   * Tells a waiting host the outcome of a job.
   *
   * @param digest digest of the content that the outcome is for; empty where only the key was asked
   */
  record ReportJob(SubmissionKey key, String digest, JobOutcome outcome) implements PeerMessage {}

  /** Tells a waiting host which failure domain has the submission. */
  record RedirectJob(SubmissionKey key, String domain) implements PeerMessage {}

  /** Gives a job back to a waiting host. */
  record ReturnJob(SubmissionKey key) implements PeerMessage {}

  /**
   * Submits work to the dispatcher; repeated until the outcome comes.
   *
   * @param token the token under which the sender takes the receiver for the dispatcher
   * @param ticket the sender's number for the caller's request; the same in each repetition
   * @param ageMillis how long ago the caller's request arrived
   * @param quietPeriodMillis for how long no task may start, as an earlier dispatcher may still run
   *     some
   */
  record SubmitWork(
      long token, long ticket, WorkRequest request, long ageMillis, long quietPeriodMillis)
      implements PeerMessage {}

  /**
   * Tells the dispatcher that the caller no longer waits.
   *
   * @param token the token under which the sender takes the receiver for the dispatcher
   */
  record CancelWork(long token, String workId) implements PeerMessage {}

  /** Tells an entry host the outcome of its work. */
  record ReportWork(String workId, WorkOutcome outcome) implements PeerMessage {}

  /** Passes on what upstreams have said of themselves. */
  record UpstreamNews(List<Announced> announced, List<UpstreamAnnouncement> departed)
      implements PeerMessage {

    /** Copies the lists. */
    public UpstreamNews {
      announced = List.copyOf(announced);
      departed = List.copyOf(departed);
    }

    /** An announcement with its age in milliseconds. */
    public record Announced(UpstreamAnnouncement notice, long ageMillis) {}
  }

  /** The hosts that the sender knows of, itself first. */
  record KnownHosts(List<HostDescriptor> hosts) implements PeerMessage {

    /** Copies the list. */
    public KnownHosts {
      hosts = List.copyOf(hosts);
    }
  }
}
