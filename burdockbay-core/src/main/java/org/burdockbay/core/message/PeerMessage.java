package org.burdockbay.core.message;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.catalog.CatalogConfirmation;
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

/** Message from one host to another. */
public sealed interface PeerMessage {

  /**
   * Reports the sender's status.
   *
   * @param lastContactAgeMillis time since the sender last received a message from the receiver, in
   *     milliseconds; empty if it hasn't received any or doesn't report it
   * @param sentAtMillis time of the sender's clock, in milliseconds; empty if the receiver doesn't
   *     need it
   * @param catalogConfirmation what the sender, the leader of the agreement group, knows about the
   *     newest catalog; empty if it doesn't lead
   */
  record Heartbeat(
      HostStatus status,
      OptionalLong lastContactAgeMillis,
      OptionalLong sentAtMillis,
      Optional<CatalogConfirmation> catalogConfirmation)
      implements PeerMessage {

    /** Creates a heartbeat without anything about catalogs but the version in force. */
    public Heartbeat(HostStatus status, OptionalLong lastContactAgeMillis) {
      this(status, lastContactAgeMillis, OptionalLong.empty(), Optional.empty());
    }

    /** Creates a heartbeat without the time since the last contact. */
    public Heartbeat(HostStatus status) {
      this(status, OptionalLong.empty());
    }
  }

  /** Carries a message of an agreement group. */
  record Agreement(GroupId group, RaftMessage message) implements PeerMessage {}

  /**
   * Asks the leader to propose a command.
   *
   * @param requestId id of the request, chosen by the sender
   */
  record Propose(long requestId, ControlCommand command) implements PeerMessage {}

  /** Answers a {@link Propose}. */
  record Proposed(long requestId, ControlReply reply) implements PeerMessage {}

  /**
   * Requests the configuration if the receiver has a newer version.
   *
   * @param knownVersion version that the sender has
   */
  record FetchConfiguration(long knownVersion) implements PeerMessage {}

  /** Carries the configuration in force at the sender. */
  record ConfigurationText(long version, String text) implements PeerMessage {}

  /** Requests a part of a catalog. */
  record FetchCatalogPart(CatalogPart.Request request) implements PeerMessage {}

  /** Answers a {@link FetchCatalogPart}. */
  record SendCatalogPart(CatalogPart part) implements PeerMessage {}

  /** Forwards a job to a dispatcher. */
  record SubmitJob(JobRequest request, Arrival arrival) implements PeerMessage {}

  /** Requests the outcome of a submission from a dispatcher. */
  record FollowJob(SubmissionKey key) implements PeerMessage {}

  /** Asks a dispatcher to cancel a submission. */
  record CancelJob(SubmissionKey key) implements PeerMessage {}

  /**
   * Reports the outcome of a job to a waiting host.
   *
   * @param digest digest of the content that the outcome applies to; empty if only the key was
   *     requested
   */
  record ReportJob(SubmissionKey key, String digest, JobOutcome outcome) implements PeerMessage {}

  /** Redirects a waiting host to the failure domain that holds the submission. */
  record RedirectJob(SubmissionKey key, String domain) implements PeerMessage {}

  /** Returns a job to a waiting host, which routes it again. */
  record ReturnJob(SubmissionKey key) implements PeerMessage {}

  /**
   * Submits work to the dispatcher; resent until the outcome arrives.
   *
   * @param token fencing token under which the sender considers the receiver the dispatcher
   * @param ticket number of the caller's request at the sender; unchanged when the message is
   *     resent
   * @param ageMillis time since the caller's request arrived, in milliseconds
   * @param quietPeriodMillis time for which no task may start, in milliseconds, because an earlier
   *     dispatcher may still run some
   * @param origin failure domain of the entry host; empty if not known
   */
  record SubmitWork(
      long token,
      long ticket,
      WorkRequest request,
      long ageMillis,
      long quietPeriodMillis,
      String origin)
      implements PeerMessage {

    /** Creates the message of a host that doesn't state its failure domain. */
    public SubmitWork(
        long token, long ticket, WorkRequest request, long ageMillis, long quietPeriodMillis) {
      this(token, ticket, request, ageMillis, quietPeriodMillis, "");
    }
  }

  /**
   * Notifies the dispatcher that the caller no longer waits.
   *
   * @param token fencing token under which the sender considers the receiver the dispatcher
   */
  record CancelWork(long token, String workId) implements PeerMessage {}

  /** Tells an entry host that a caller has cancelled work at another host. */
  record WithdrawWork(String workId) implements PeerMessage {}

  /** Reports the outcome of work to its entry host. */
  record ReportWork(String workId, WorkOutcome outcome) implements PeerMessage {}

  /**
   * Registers work with the registrar of its id; resent until it is confirmed.
   *
   * @param registrarToken fencing token under which the sender considers the receiver the registrar
   * @param token fencing token under which the sender dispatches the work
   * @param underWay whether tasks of the work may have started
   */
  record RegisterWork(long registrarToken, long token, String workId, boolean underWay)
      implements PeerMessage {}

  /**
   * Confirms a {@link RegisterWork}: no other dispatcher has the work.
   *
   * @param token fencing token under which the receiver registered the work
   * @param quietPeriodMillis time for which no task may start, in milliseconds, because an earlier
   *     dispatcher may still run some
   */
  record ConfirmRegistration(long token, String workId, long quietPeriodMillis)
      implements PeerMessage {}

  /**
   * Answers, as the registrar, that another dispatcher has the work; a confirmation follows once it
   * no longer has.
   *
   * @param token fencing token under which the receiver registered the work
   * @param holder host of the dispatcher that has the work; empty if not known yet
   */
  record DeferRegistration(long token, String workId, String holder) implements PeerMessage {}

  /**
   * Removes the registration of work of which no run is left.
   *
   * @param token fencing token under which the sender registered the work
   */
  record DeregisterWork(long token, String workId) implements PeerMessage {}

  /**
   * Forwards announcements of upstreams.
   *
   * @param announced announcements of running upstreams, with their ages
   * @param departed announcements of departed upstreams
   */
  record UpstreamNews(List<Announced> announced, List<UpstreamAnnouncement> departed)
      implements PeerMessage {

    /** Copies the lists to make the message immutable. */
    public UpstreamNews {
      announced = List.copyOf(announced);
      departed = List.copyOf(departed);
    }

    /** Announcement with its age in milliseconds. */
    public record Announced(UpstreamAnnouncement announcement, long ageMillis) {}
  }

  /**
   * Reports the speeds of upstreams that a dispatcher has learned, to the hosts that may take over
   * its shard.
   *
   * @param speeds speeds by id of the upstream; 1 is usual
   */
  record UpstreamSpeeds(Map<String, Double> speeds) implements PeerMessage {

    /** Copies the map to make the message immutable. */
    public UpstreamSpeeds {
      speeds = Map.copyOf(speeds);
    }
  }

  /** Lists the hosts known to the sender, which itself comes first. */
  record KnownHosts(List<HostDescriptor> hosts) implements PeerMessage {

    /** Copies the list to make the message immutable. */
    public KnownHosts {
      hosts = List.copyOf(hosts);
    }
  }
}
