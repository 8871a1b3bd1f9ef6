package org.burdockbay.server.host;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.RaftMessage;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterPlanner;
import org.burdockbay.core.configuration.DispatchConfiguration;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlImage;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.control.ControlState;
import org.burdockbay.core.dispatch.DispatchEvent;
import org.burdockbay.core.dispatch.Dispatcher;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.entry.EntryEvent;
import org.burdockbay.core.entry.EntryGateway;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.membership.RouteView;
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
import org.burdockbay.server.storage.StorageException;
import org.burdockbay.server.transport.PeerListener;

/**
 * Connects the components of the core, which run on the control thread, with each other, with the
 * other hosts and with the runners.
 *
 * <p>Public methods may be called on any thread; they pass their work to the control thread.
 */
public final class HostController implements PeerListener, RunnerListener, AutoCloseable {

  private static final long HEARTBEAT_INTERVAL_MILLIS = 250;
  private static final long RECONCILE_INTERVAL_MILLIS = 500;
  private static final long MEMBERSHIP_INTERVAL_MILLIS = 100;

  private final HostParts parts;
  private final String self;
  private final ConfigurationKeeper configuration;
  private final EvacuationKeeper evacuations;
  private final Membership membership;
  private final EntryDriver entryDriver;
  private final DispatchDriver dispatchDriver;
  private final ProposalClient proposals;
  private final StorageHosts storageHosts = new StorageHosts();
  private final FaultMarginMonitor faultMargin;
  private final VoterKeeper voters;
  private final AgreementMember member;
  private volatile DispatcherView dispatcherView = new DispatcherView(0, false);
  private long nextMembershipTickAt;
  private long nextHeartbeatAt;
  private long nextReconciliationAt;
  private long nextFetchAt;
  private Evacuations agreedEvacuations = Evacuations.NONE;

  /**
   * Creates the components of the host.
   *
   * @throws StateChartException if the statechart of jobs can't be read
   * @throws ServerException if the data folder can't be used
   */
  public HostController(HostParts parts, ConfigurationKeeper configuration)
      throws StateChartException, ServerException {
    this.parts = parts;
    this.self = parts.settings().id();
    this.configuration = configuration;
    this.evacuations =
        new EvacuationKeeper(
            (command, callback) -> proposals().propose(command, callback),
            this::applyEvacuations,
            parts.log(),
            parts.clock());
    long now = parts.clock().millis();
    this.membership = new Membership(self, parts.settings().domainByHost(), now);
    this.member =
        new AgreementMember(
            parts.settings().dataFolder().map(folder -> listener -> openStorage(folder, listener)),
            this::createDriver,
            this::sendHeartbeats,
            this::executeControl,
            parts.log());
    member.open();
    this.proposals = new ProposalClient(parts.clock(), member::driver, this::leader, this::send);
    this.entryDriver =
        new EntryDriver(parts, new EntryGateway(parts.settings().domain()), this::send);
    this.dispatchDriver =
        new DispatchDriver(
            parts,
            new Dispatcher(parts.settings().domain()),
            proposals,
            this::send,
            this,
            this::stepDown);
    this.faultMargin =
        new FaultMarginMonitor(
            parts.settings().faultTolerance(), storageHosts, parts.metrics(), parts.log());
    this.voters =
        new VoterKeeper(
            VoterPlanner.forConfiguredVoters(
                parts.settings().faultTolerance(), parts.settings().voterIds().size()),
            storageHosts,
            host -> false,
            parts.log(),
            now);
    if (parts.settings().dataFolder().isPresent()) {
      parts.metrics().registerFaultMargin();
    }
  }

  /**
   * Starts the transport and the control thread.
   *
   * @throws ServerException if the peer address is in use
   */
  public void start() throws ServerException {
    parts.transport().start(this);
    parts.settings().peers().forEach(parts.transport()::connect);
    member.start();
    parts.thread().start(this::tick, this::flush);
  }

  /**
   * Submits a job.
   *
   * @param atMostOnce whether the job must run at most once
   * @return a future that completes with the final outcome
   */
  public CompletableFuture<JobOutcome> submit(JobRequest request, boolean atMostOnce) {
    return request(ticket -> new EntryEvent.Submitted(ticket, request, atMostOnce));
  }

  /** Waits for the outcome of a submission, for at most the given time in milliseconds. */
  public CompletableFuture<JobOutcome> follow(SubmissionKey key, long waitMillis) {
    return request(ticket -> new EntryEvent.Followed(ticket, key, waitMillis));
  }

  /** Cancels a submission, and waits for its outcome for at most the given time. */
  public CompletableFuture<JobOutcome> cancel(SubmissionKey key, long waitMillis) {
    return request(ticket -> new EntryEvent.Cancelled(ticket, key, waitMillis));
  }

  /** Handles an announcement of a runner. */
  public void runnerAnnounced(RunnerAnnouncement announcement) {
    executeControl(() -> dispatchDriver.handle(new DispatchEvent.RunnerAnnounced(announcement)));
  }

  /** Proposes a configuration; the future completes with the reply of the voters. */
  public CompletableFuture<ControlReply> applyConfiguration(
      ControlCommand.ApplyConfiguration command) {
    CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    executeControl(() -> proposals.propose(command, answer -> reply.completeAsync(() -> answer)));
    return reply;
  }

  /**
   * Starts or ends the evacuation of a failure domain, on whose runners no task starts meanwhile.
   * The future completes with the reply of the voters.
   */
  public CompletableFuture<ControlReply> changeEvacuation(String domain, boolean evacuated) {
    CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    executeControl(
        () -> evacuations.change(domain, evacuated, answer -> reply.completeAsync(() -> answer)));
    return reply;
  }

  /** Returns whether the control thread runs and isn't stuck. */
  public boolean isResponsive() {
    return parts.thread().isResponsive();
  }

  /** Returns a report on the state of this host. */
  public CompletableFuture<HostReport> report() {
    return query(this::buildReport);
  }

  /** Returns the configuration versions retained on this host; empty without a data folder. */
  public CompletableFuture<List<ControlImage.ConfigurationVersion>> configurationHistory() {
    return query(() -> member.driver().map(driver -> driver.state().history()).orElse(List.of()));
  }

  /** Begins a planned stop; the host continues to serve the requests in flight. */
  public void drain() {
    executeControl(
        () -> {
          parts.log().info("drain-begun", "");
          execute(membership.drain(parts.clock().millis()));
          member.driver().ifPresent(AgreementDriver::transferLeadership);
          sendHeartbeats();
        });
  }

  /**
   * Returns the number of requests and jobs in flight on this host.
   *
   * <p>Called repeatedly during a planned stop; each call also requests the transfer of leadership,
   * if this host leads.
   */
  public CompletableFuture<Integer> inFlightCount() {
    return query(
        () -> {
          member.driver().ifPresent(AgreementDriver::transferLeadership);
          return entryDriver.waitingRequests()
              + dispatchDriver.dispatcher().snapshot().unfinishedJobs();
        });
  }

  /** Returns the state of the dispatcher role on this host. */
  public DispatcherView dispatcherView() {
    return dispatcherView;
  }

  /** Returns the configuration in force on this host. */
  public DispatchConfiguration configuration() {
    return configuration.current();
  }

  @Override
  public void messageReceived(String host, PeerMessage message) {
    executeControl(() -> handle(host, message));
  }

  @Override
  public void connectionOpened(String host) {
    executeControl(() -> entryDriver.handle(new EntryEvent.PeerReset(host)));
  }

  @Override
  public void attemptEnded(AttemptId attempt, RunnerId runner, AttemptOutcome outcome) {
    executeControl(
        () -> dispatchDriver.handle(new DispatchEvent.AttemptEnded(attempt, runner, outcome)));
  }

  @Override
  public void attemptQueried(AttemptId attempt, RunnerId runner, AttemptStatus status) {
    executeControl(
        () -> dispatchDriver.handle(new DispatchEvent.AttemptQueried(attempt, runner, status)));
  }

  @Override
  public void runnerFenced(RunnerId runner, long epoch, List<AttemptReport> attempts) {
    executeControl(
        () -> dispatchDriver.handle(new DispatchEvent.RunnerFenced(runner, epoch, attempts)));
  }

  @Override
  public void epochSuperseded(long epoch) {
    executeControl(() -> stepDown(epoch));
  }

  @Override
  public void close() {
    member.close();
    parts.thread().close();
    parts.runners().close();
    parts.transport().close();
  }

  private CompletableFuture<JobOutcome> request(java.util.function.LongFunction<EntryEvent> event) {
    CompletableFuture<JobOutcome> answer = new CompletableFuture<>();
    executeControl(() -> entryDriver.handleRequest(event, answer));
    return answer;
  }

  private <T> CompletableFuture<T> query(Supplier<T> supplier) {
    CompletableFuture<T> result = new CompletableFuture<>();
    executeControl(
        () -> {
          T value = supplier.get();
          result.completeAsync(() -> value);
        });
    return result;
  }

  private void executeControl(Runnable task) {
    parts.thread().execute(task);
  }

  private AgreementStorage openStorage(Path folder, Consumer<AgreementStorage.Event> listener)
      throws StorageException {
    return AgreementStorage.open(folder, parts.settings().cluster(), self, parts.log(), listener);
  }

  private AgreementDriver createDriver(AgreementStorage storage) {
    return storage.createDriver(
        self, parts.incarnation(), this::sendRaft, this::stateAgreed, parts.log(), parts.clock());
  }

  private void handle(String host, PeerMessage message) {
    switch (message) {
      case PeerMessage.Heartbeat heartbeat -> handleHeartbeat(heartbeat.status());
      case PeerMessage.Agreement received ->
          member
              .driver()
              .filter(driver -> received.group().equals(GroupId.CONTROL))
              .ifPresent(driver -> driver.receive(received.message()));
      case PeerMessage.Propose propose -> handleProposal(host, propose);
      case PeerMessage.Proposed proposed ->
          proposals.handleReply(proposed.requestId(), proposed.reply());
      case PeerMessage.FetchConfiguration fetch -> {
        DispatchConfiguration current = configuration.current();
        if (current.version() > fetch.knownVersion()) {
          send(host, new PeerMessage.ConfigurationText(current.version(), current.text()));
        }
      }
      case PeerMessage.ConfigurationText text ->
          configuration.offer(text.version(), text.text(), this::configurationInForce);
      case PeerMessage.SubmitJob submit ->
          dispatchDriver.handle(
              new DispatchEvent.JobSubmitted(submit.request(), host, submit.arrival()));
      case PeerMessage.FollowJob follow ->
          dispatchDriver.handle(new DispatchEvent.JobFollowed(follow.key(), host));
      case PeerMessage.CancelJob cancel ->
          dispatchDriver.handle(new DispatchEvent.JobCancelled(cancel.key(), host));
      case PeerMessage.ReportJob report ->
          entryDriver.handle(
              new EntryEvent.Reported(report.key(), report.digest(), report.outcome()));
      case PeerMessage.RedirectJob redirect ->
          entryDriver.handle(new EntryEvent.Redirected(redirect.key(), redirect.domain()));
      case PeerMessage.ReturnJob returned ->
          entryDriver.handle(new EntryEvent.Returned(returned.key(), host));
      case PeerMessage.SubmitWork work -> logIgnored(host, message);
      case PeerMessage.CancelWork cancel -> logIgnored(host, message);
      case PeerMessage.WithdrawWork withdraw -> logIgnored(host, message);
      case PeerMessage.ReportWork report -> logIgnored(host, message);
      case PeerMessage.RegisterWork register -> logIgnored(host, message);
      case PeerMessage.ConfirmRegistration confirm -> logIgnored(host, message);
      case PeerMessage.DeferRegistration defer -> logIgnored(host, message);
      case PeerMessage.DeregisterWork deregister -> logIgnored(host, message);
      case PeerMessage.UpstreamNews news -> logIgnored(host, message);
      case PeerMessage.UpstreamSpeeds speeds -> logIgnored(host, message);
      case PeerMessage.KnownHosts known -> logIgnored(host, message);
      case PeerMessage.FetchCatalogPart fetch -> logIgnored(host, message);
      case PeerMessage.SendCatalogPart send -> logIgnored(host, message);
    }
  }

  /** Logs a message that only concerns hosts that serve leased upstreams. */
  private void logIgnored(String host, PeerMessage message) {
    parts
        .log()
        .warn("message-ignored", "from=" + host + " kind=" + message.getClass().getSimpleName());
  }

  private void handleHeartbeat(HostStatus status) {
    evacuations.offer(status.evacuations(), status.host());
    execute(membership.heartbeat(status, parts.clock().millis()));
    long now = parts.clock().millis();
    if (status.configurationVersion() > configuration.current().version() && now >= nextFetchAt) {
      nextFetchAt = now + HEARTBEAT_INTERVAL_MILLIS;
      send(status.host(), new PeerMessage.FetchConfiguration(configuration.current().version()));
    }
  }

  private void handleProposal(String host, PeerMessage.Propose propose) {
    Optional<AgreementDriver> leading = member.driver().filter(AgreementDriver::isLeader);
    if (leading.isPresent()) {
      leading
          .get()
          .propose(
              propose.command(),
              reply -> send(host, new PeerMessage.Proposed(propose.requestId(), reply)));
    } else {
      send(host, new PeerMessage.Proposed(propose.requestId(), new ControlReply.Unavailable()));
    }
  }

  private void execute(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          dispatchDriver.handle(new DispatchEvent.EpochGranted(claim.epoch()));
          sendHeartbeats();
        }
        case MembershipEffect.Yield yield -> {
          dispatchDriver.handle(new DispatchEvent.EpochLost());
          sendHeartbeats();
        }
        case MembershipEffect.RoutesChanged routes ->
            routesChanged(routes.view(), evacuations.current());
        case MembershipEffect.LayoutChanged changed -> {
          // Hosts with a fixed list of peers don't divide the fleet into shards.
        }
        case MembershipEffect.HostLost lost -> parts.log().warn("host-lost", "lost=" + lost.host());
        case MembershipEffect.HostFound found ->
            parts.log().info("host-found", "found=" + found.host());
      }
    }
    dispatcherView = new DispatcherView(membership.claimedEpoch(), membership.isDraining());
  }

  private void stepDown(long higherEpoch) {
    execute(membership.handleHigherEpoch(higherEpoch, parts.clock().millis()));
  }

  private void routesChanged(RouteView view, Evacuations current) {
    entryDriver.handle(new EntryEvent.RoutesChanged(view.withoutDomains(current.domains())));
  }

  /** Applies evacuations, of which all other hosts are notified first. */
  private void applyEvacuations(Evacuations changed) {
    sendHeartbeats();
    parts.metrics().recordEvacuatedDomains(changed.domains().size());
    routesChanged(membership.routes(), changed);
    dispatchDriver.handle(new DispatchEvent.EvacuationsChanged(changed.domains()));
  }

  private ProposalClient proposals() {
    return proposals;
  }

  private void stateAgreed(ControlState state) {
    agreedEvacuations = state.evacuations();
    state.configuration().ifPresent(this::configurationAgreed);
  }

  private void configurationAgreed(ControlImage.ConfigurationVersion version) {
    if (version.version() <= configuration.current().version()) {
      return;
    }
    configuration.offer(version.version(), version.text(), this::configurationInForce);
  }

  private void configurationInForce(DispatchConfiguration changed) {
    dispatchDriver.handle(new DispatchEvent.ConfigurationChanged(changed));
    sendHeartbeats();
  }

  private void tick() {
    long now = parts.clock().millis();
    member.driver().ifPresent(AgreementDriver::tick);
    if (now >= nextMembershipTickAt) {
      nextMembershipTickAt = now + MEMBERSHIP_INTERVAL_MILLIS;
      execute(membership.tick(now));
    }
    dispatchDriver.handle(new DispatchEvent.Tick());
    entryDriver.handle(new EntryEvent.Tick());
    proposals.tick();
    if (now >= nextHeartbeatAt) {
      sendHeartbeats();
    }
    if (now >= nextReconciliationAt) {
      nextReconciliationAt = now + RECONCILE_INTERVAL_MILLIS;
      member.driver().ifPresent(driver -> reconcileVoters(driver, now));
    }
  }

  private void reconcileVoters(AgreementDriver driver, long now) {
    storageHosts.update(voterStatuses(), now);
    faultMargin.update(driver.node());
    if (driver.isLeader()) {
      voters.reconcile(driver.node(), now);
    }
  }

  private List<HostStatus> voterStatuses() {
    List<HostStatus> statuses = new ArrayList<>(List.of(status()));
    parts.settings().voterIds().stream()
        .flatMap(host -> membership.status(host).stream())
        .forEach(statuses::add);
    return statuses;
  }

  private void flush() {
    evacuations.offer(agreedEvacuations, "log");
    member.driver().ifPresent(AgreementDriver::flush);
  }

  private void sendHeartbeats() {
    nextHeartbeatAt = parts.clock().millis() + HEARTBEAT_INTERVAL_MILLIS;
    HostStatus status = status();
    for (PeerSettings peer : parts.settings().peers()) {
      parts.transport().send(peer.id(), new PeerMessage.Heartbeat(status));
    }
    dispatchDriver.handle(new DispatchEvent.DomainLoadsReported(otherDomainLoads()));
  }

  private Map<String, DomainLoad> otherDomainLoads() {
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
            member.storageIncarnation(),
            configuration.current().version(),
            membership.claimedEpoch(),
            membership.highestEpoch(),
            membership.isDraining(),
            leader().orElse(""),
            dispatchDriver.dispatcher().load())
        .withEvacuations(evacuations.current());
  }

  private Optional<String> leader() {
    Optional<String> own =
        member
            .driver()
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
      executeControl(() -> handle(self, message));
    } else {
      parts.transport().send(host, message);
    }
  }

  private void sendRaft(String host, RaftMessage message) {
    send(host, new PeerMessage.Agreement(GroupId.CONTROL, message));
  }

  private HostReport buildReport() {
    return new HostReport(
        status(),
        List.copyOf(membership.liveHosts()),
        dispatchDriver.dispatcher().snapshot(),
        member.driver().map(driver -> HostReport.AgreementReport.of(driver, faultMargin)),
        entryDriver.waitingRequests(),
        parts.thread().backlog());
  }

  /**
   * The state of the dispatcher role, for use on other threads.
   *
   * @param epoch epoch under which this host dispatches, or 0 if it doesn't
   * @param draining whether a planned stop has begun
   */
  public record DispatcherView(long epoch, boolean draining) {}
}
