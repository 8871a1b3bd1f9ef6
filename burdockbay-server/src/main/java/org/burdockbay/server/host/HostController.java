package org.burdockbay.server.host;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlImage;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.dispatch.DispatchEvent;
import org.burdockbay.core.dispatch.Dispatcher;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.entry.EntryEvent;
import org.burdockbay.core.entry.EntryGateway;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.statechart.StateChartException;
import org.burdockbay.core.submission.AttemptId;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.burdockbay.core.submission.SubmissionKey;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.runner.RunnerListener;
import org.burdockbay.server.settings.PeerSettings;
import org.burdockbay.server.transport.PeerListener;

/**
 * Connects the parts of the core on the control thread with each other, with the other hosts and
 * with the runners.
 *
 * <p>Public methods are for any thread; they hand over to the control thread.
 */
public final class HostController implements PeerListener, RunnerListener, AutoCloseable {

  private static final long HEARTBEAT_MILLIS = 250;
  private static final long RECONCILE_MILLIS = 500;
  private static final long MEMBERSHIP_MILLIS = 100;

  private final HostParts parts;
  private final String self;
  private final ConfigurationKeeper configuration;
  private final Membership membership;
  private final EntryDriver entry;
  private final DispatchDriver dispatch;
  private final ProposalClient proposals;
  private final VoterKeeper voters;
  private final Optional<AgreementDriver> agreement;
  private final long storageIncarnation;
  private volatile DispatcherView dispatcherView = new DispatcherView(0, false);
  private long membershipAt;
  private long heartbeatAt;
  private long reconcileAt;
  private long fetchAt;

  /**
   * Creates the parts of the host.
   *
   * @throws StateChartException if the job chart can't be read
   * @throws ServerException if the data folder can't be used
   */
  public HostController(HostParts parts, ConfigurationKeeper configuration)
      throws StateChartException, ServerException {
    this.parts = parts;
    this.self = parts.settings().id();
    this.configuration = configuration;
    long now = parts.clock().millis();
    this.membership = new Membership(self, parts.settings().domainByHost(), now);
    Optional<AgreementStorage> storage = AgreementStorage.open(parts, this::onStorage);
    this.storageIncarnation = storage.map(AgreementStorage::incarnation).orElse(0L);
    this.agreement = storage.map(opened -> opened.driver(parts, this::sendRaft, this::configured));
    this.proposals = new ProposalClient(parts.clock(), agreement, this::leader, this::send);
    this.entry = new EntryDriver(parts, new EntryGateway(parts.settings().domain()), this::send);
    this.dispatch =
        new DispatchDriver(
            parts,
            new Dispatcher(parts.settings().domain()),
            proposals,
            this::send,
            this,
            this::stepDown);
    this.voters = new VoterKeeper(parts.settings().voterHosts().size(), host -> false, parts.log());
  }

  /**
   * Starts transport and control.
   *
   * @throws ServerException if the peer address is in use
   */
  public void start() throws ServerException {
    parts.transport().start(this);
    parts.settings().peers().forEach(parts.transport()::connect);
    agreement.ifPresent(AgreementDriver::start);
    parts.thread().start(this::tick, this::flush);
  }

  /** Submits a job; the future gets its final answer. */
  public CompletableFuture<JobOutcome> submit(JobRequest request, boolean guarded) {
    return ask(ticket -> new EntryEvent.Submitted(ticket, request, guarded));
  }

  /** Asks for the outcome of a submission, for at most the given time in milliseconds. */
  public CompletableFuture<JobOutcome> follow(SubmissionKey key, long waitMillis) {
    return ask(ticket -> new EntryEvent.Followed(ticket, key, waitMillis));
  }

  /** Cancels a submission and asks for its outcome. */
  public CompletableFuture<JobOutcome> cancel(SubmissionKey key, long waitMillis) {
    return ask(ticket -> new EntryEvent.Cancelled(ticket, key, waitMillis));
  }

  /** Takes a runner's announcement. */
  public void announce(RunnerAnnouncement announcement) {
    onControl(() -> dispatch.handle(new DispatchEvent.RunnerAnnounced(announcement)));
  }

  /** Proposes a configuration. */
  public CompletableFuture<ControlReply> apply(ControlCommand.ApplyConfiguration command) {
    CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    onControl(() -> proposals.propose(command, answer -> reply.completeAsync(() -> answer)));
    return reply;
  }

  /** Returns a report on this host. */
  public CompletableFuture<HostReport> report() {
    return call(this::makeReport);
  }

  /** Returns the versions of the configuration that are kept here; empty without a data folder. */
  public CompletableFuture<List<ControlImage.ConfigurationVersion>> history() {
    return call(() -> agreement.map(driver -> driver.state().history()).orElse(List.of()));
  }

  /** Begins a planned stop; the host goes on until nothing is in flight. */
  public void drain() {
    onControl(
        () -> {
          parts.log().info("drain-begun", "");
          run(membership.drain(parts.clock().millis()));
          agreement.ifPresent(AgreementDriver::transferLeadership);
          heartbeat();
        });
  }

  /** Returns the number of requests and jobs that are in flight here. */
  public CompletableFuture<Integer> inFlight() {
    return call(
        () -> {
          agreement.ifPresent(AgreementDriver::transferLeadership);
          return entry.waiting() + dispatch.dispatcher().snapshot().unfinishedJobs();
        });
  }

  /** Returns the epoch under which this host dispatches, or 0; safe on any thread. */
  public DispatcherView dispatcherView() {
    return dispatcherView;
  }

  /** Returns the configuration in force; safe on any thread. */
  public DispatchConfiguration configuration() {
    return configuration.current();
  }

  @Override
  public void received(String host, PeerMessage message) {
    onControl(() -> handle(host, message));
  }

  @Override
  public void reset(String host) {
    onControl(() -> entry.handle(new EntryEvent.PeerReset(host)));
  }

  @Override
  public void ended(AttemptId attempt, RunnerId runner, AttemptOutcome outcome) {
    onControl(() -> dispatch.handle(new DispatchEvent.AttemptEnded(attempt, runner, outcome)));
  }

  @Override
  public void asked(AttemptId attempt, RunnerId runner, AttemptStatus status) {
    onControl(() -> dispatch.handle(new DispatchEvent.AttemptQueried(attempt, runner, status)));
  }

  @Override
  public void inventoried(RunnerId runner, long epoch, List<AttemptReport> attempts) {
    onControl(() -> dispatch.handle(new DispatchEvent.RunnerFenced(runner, epoch, attempts)));
  }

  @Override
  public void outranked(long epoch) {
    onControl(() -> stepDown(epoch));
  }

  @Override
  public void close() {
    parts.thread().close();
    parts.runners().close();
    parts.transport().close();
  }

  private CompletableFuture<JobOutcome> ask(java.util.function.LongFunction<EntryEvent> event) {
    CompletableFuture<JobOutcome> answer = new CompletableFuture<>();
    onControl(() -> entry.open(event, answer));
    return answer;
  }

  private <T> CompletableFuture<T> call(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    onControl(
        () -> {
          T value = question.get();
          answer.completeAsync(() -> value);
        });
    return answer;
  }

  private void onControl(Runnable task) {
    parts.thread().execute(task);
  }

  private void onStorage(AgreementStorage.Event event) {
    onControl(
        () ->
            agreement.ifPresent(
                driver -> {
                  switch (event) {
                    case AgreementStorage.Event.Synced synced -> driver.persisted(synced.ticket());
                    case AgreementStorage.Event.Failed failed ->
                        driver.storageFailed(failed.cause());
                  }
                }));
  }

  private void handle(String host, PeerMessage message) {
    switch (message) {
      case PeerMessage.Heartbeat heartbeat -> heard(heartbeat.status());
      case PeerMessage.Agreement received ->
          agreement
              .filter(driver -> received.group().equals(GroupId.CONTROL))
              .ifPresent(driver -> driver.receive(received.message()));
      case PeerMessage.Propose propose -> proposed(host, propose);
      case PeerMessage.Proposed proposed ->
          proposals.answered(proposed.requestId(), proposed.reply());
      case PeerMessage.FetchConfiguration fetch -> {
        DispatchConfiguration current = configuration.current();
        if (current.version() > fetch.knownVersion()) {
          send(host, new PeerMessage.ConfigurationText(current.version(), current.text()));
        }
      }
      case PeerMessage.ConfigurationText text ->
          configuration.offer(text.version(), text.text(), this::inForce);
      case PeerMessage.SubmitJob submit ->
          dispatch.handle(new DispatchEvent.JobSubmitted(submit.request(), host, submit.arrival()));
      case PeerMessage.FollowJob follow ->
          dispatch.handle(new DispatchEvent.JobFollowed(follow.key(), host));
      case PeerMessage.CancelJob cancel ->
          dispatch.handle(new DispatchEvent.JobCancelled(cancel.key(), host));
      case PeerMessage.ReportJob report ->
          entry.handle(new EntryEvent.Reported(report.key(), report.digest(), report.outcome()));
      case PeerMessage.RedirectJob redirect ->
          entry.handle(new EntryEvent.Redirected(redirect.key(), redirect.domain()));
      case PeerMessage.ReturnJob returned ->
          entry.handle(new EntryEvent.Returned(returned.key(), host));
      case PeerMessage.SubmitWork work -> ignored(host, message);
      case PeerMessage.CancelWork cancel -> ignored(host, message);
      case PeerMessage.ReportWork report -> ignored(host, message);
      case PeerMessage.UpstreamNews news -> ignored(host, message);
      case PeerMessage.KnownHosts known -> ignored(host, message);
      case PeerMessage.FetchCatalogPart fetch -> ignored(host, message);
      case PeerMessage.SendCatalogPart send -> ignored(host, message);
    }
  }

  /** Notes a message of hosts that serve leased upstreams; this kind of host has no use for it. */
  private void ignored(String host, PeerMessage message) {
    parts
        .log()
        .warn("message-ignored", "from=" + host + " kind=" + message.getClass().getSimpleName());
  }

  private void heard(HostStatus status) {
    run(membership.heartbeat(status, parts.clock().millis()));
    long now = parts.clock().millis();
    if (status.configurationVersion() > configuration.current().version() && now >= fetchAt) {
      fetchAt = now + HEARTBEAT_MILLIS;
      send(status.host(), new PeerMessage.FetchConfiguration(configuration.current().version()));
    }
  }

  private void proposed(String host, PeerMessage.Propose propose) {
    if (agreement.isPresent() && agreement.get().leads()) {
      agreement
          .get()
          .propose(
              propose.command(),
              reply -> send(host, new PeerMessage.Proposed(propose.requestId(), reply)));
    } else {
      send(host, new PeerMessage.Proposed(propose.requestId(), new ControlReply.Unavailable()));
    }
  }

  private void run(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          dispatch.handle(new DispatchEvent.EpochGranted(claim.epoch()));
          heartbeat();
        }
        case MembershipEffect.Yield yield -> {
          dispatch.handle(new DispatchEvent.EpochLost());
          heartbeat();
        }
        case MembershipEffect.RoutesChanged routes ->
            entry.handle(new EntryEvent.RoutesChanged(routes.view()));
        case MembershipEffect.LayoutChanged changed -> {
          // Hosts of a fixed list never divide the fleet.
        }
        case MembershipEffect.HostLost lost -> parts.log().warn("host-lost", "lost=" + lost.host());
        case MembershipEffect.HostFound found ->
            parts.log().info("host-found", "found=" + found.host());
      }
    }
    dispatcherView = new DispatcherView(membership.claimedEpoch(), membership.isDraining());
  }

  private void stepDown(long higherEpoch) {
    run(membership.handleHigherEpoch(higherEpoch, parts.clock().millis()));
  }

  private void configured(ControlImage.ConfigurationVersion version) {
    if (version.version() <= configuration.current().version()) {
      return;
    }
    configuration.offer(version.version(), version.text(), this::inForce);
  }

  private void inForce(DispatchConfiguration changed) {
    dispatch.handle(new DispatchEvent.ConfigurationChanged(changed));
    heartbeat();
  }

  private void tick() {
    long now = parts.clock().millis();
    agreement.ifPresent(AgreementDriver::tick);
    if (now >= membershipAt) {
      membershipAt = now + MEMBERSHIP_MILLIS;
      run(membership.tick(now));
    }
    dispatch.handle(new DispatchEvent.Tick());
    entry.handle(new EntryEvent.Tick());
    proposals.tick();
    if (now >= heartbeatAt) {
      heartbeat();
    }
    if (now >= reconcileAt) {
      reconcileAt = now + RECONCILE_MILLIS;
      agreement
          .filter(AgreementDriver::leads)
          .ifPresent(driver -> voters.reconcile(driver.node(), voterStatuses(), now));
    }
  }

  private List<HostStatus> voterStatuses() {
    return parts.settings().voterHosts().stream()
        .flatMap(host -> membership.status(host).stream())
        .toList();
  }

  private void flush() {
    agreement.ifPresent(AgreementDriver::flush);
  }

  private void heartbeat() {
    heartbeatAt = parts.clock().millis() + HEARTBEAT_MILLIS;
    HostStatus status = status();
    for (PeerSettings peer : parts.settings().peers()) {
      parts.transport().send(peer.id(), new PeerMessage.Heartbeat(status));
    }
    dispatch.handle(new DispatchEvent.DomainLoadsReported(otherLoads()));
  }

  private Map<String, DomainLoad> otherLoads() {
    Map<String, DomainLoad> loads = new HashMap<>();
    for (HostStatus status : membership.liveHosts()) {
      boolean other = !status.domain().equals(parts.settings().domain());
      if (other && status.dispatcherEpoch() != 0 && !status.draining()) {
        loads.put(status.domain(), status.load());
      }
    }
    return loads;
  }

  private HostStatus status() {
    return new HostStatus(
        self,
        parts.settings().domain(),
        parts.incarnation(),
        agreement.filter(AgreementDriver::hasFailed).isPresent() ? 0 : storageIncarnation,
        configuration.current().version(),
        membership.claimedEpoch(),
        membership.highestEpoch(),
        membership.isDraining(),
        leader().orElse(""),
        dispatch.dispatcher().load());
  }

  private Optional<String> leader() {
    Optional<String> own =
        agreement
            .filter(driver -> !driver.hasFailed())
            .flatMap(driver -> driver.node().leader())
            .map(VoterId::host);
    if (own.isPresent()) {
      return own;
    }
    return membership.liveHosts().stream()
        .filter(status -> status.leader().equals(status.host()))
        .map(HostStatus::host)
        .findFirst();
  }

  private void send(String host, PeerMessage message) {
    if (host.equals(self)) {
      onControl(() -> handle(self, message));
    } else {
      parts.transport().send(host, message);
    }
  }

  private void sendRaft(String host, RaftMessage message) {
    send(host, new PeerMessage.Agreement(GroupId.CONTROL, message));
  }

  private HostReport makeReport() {
    return new HostReport(
        status(),
        List.copyOf(membership.liveHosts()),
        dispatch.dispatcher().snapshot(),
        agreement.map(HostReport.AgreementReport::of),
        entry.waiting(),
        parts.thread().backlog());
  }

  /** What other threads see of the dispatcher role. */
  public record DispatcherView(long epoch, boolean draining) {}
}
