package org.burdockbay.server.node;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterPlanner;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.control.ControlState;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.limits.MemoryBudget;
import org.burdockbay.core.limits.WorkFootprint;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.membership.MembershipOptions;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.registration.ShardDispatcher;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.host.AgreementDriver;
import org.burdockbay.server.host.AgreementMember;
import org.burdockbay.server.host.AgreementStorage;
import org.burdockbay.server.host.EvacuationKeeper;
import org.burdockbay.server.host.FaultMarginMonitor;
import org.burdockbay.server.host.ProposalClient;
import org.burdockbay.server.host.StorageHosts;
import org.burdockbay.server.host.VoterKeeper;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.storage.EpochFile;
import org.burdockbay.server.storage.StorageException;
import org.burdockbay.server.transport.PeerListener;

/**
 * Connects the components of the core, which run on the control thread, with each other, with the
 * other hosts and with the upstreams.
 *
 * <p>Public methods may be called on any thread; they pass their work to the control thread.
 */
public final class NodeController implements PeerListener, AutoCloseable {

  /** Silence after which a host is considered lost, in milliseconds; three heartbeat intervals. */
  private static final long HOST_SILENCE_TIMEOUT_MILLIS =
      LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS;

  /**
   * Time without contact reported by another host after which the connection to it is replaced, in
   * milliseconds; two heartbeat intervals and a margin.
   */
  private static final long CONNECTION_SILENCE_TIMEOUT_MILLIS = 350;

  /**
   * Silence of a host after which the connection to it is probed, in milliseconds. An answer is due
   * within a heartbeat interval, by the time at which the host counts as lost.
   */
  private static final long PROBE_SILENCE_MILLIS =
      HOST_SILENCE_TIMEOUT_MILLIS - HeartbeatSchedule.INTERVAL_MILLIS;

  private static final long MEMBERSHIP_INTERVAL_MILLIS = 25;
  private static final long DIRECTORY_CLEANUP_INTERVAL_MILLIS = 2_000;

  /** Advance of the wall clock over the monotonic clock that indicates a pause, in milliseconds. */
  private static final long PAUSE_THRESHOLD_MILLIS = 250;

  /** Load reported by a host that doesn't dispatch. */
  private static final DomainLoad NO_LOAD = new DomainLoad(0, 0);

  /** Maximum number of cancellations a second that this host passes on to all others. */
  private static final int MAX_WITHDRAWALS_PER_SECOND = 100;

  private static final long LAYOUT_INTERVAL_MILLIS = 500;
  private static final long VOTER_INTERVAL_MILLIS = 100;

  /**
   * Silence of a host, or failure of its storage, after which another host with a disk may replace
   * its voter, in milliseconds.
   */
  private static final long VOTER_OUTAGE_TIMEOUT_MILLIS = 3_000;

  private final NodeParts parts;
  private final NodeSettings settings;
  private final Clock clock;
  private final EventLog log;
  private final CatalogKeeper catalog;
  private final CatalogFreshnessKeeper freshness;
  private final EvacuationKeeper evacuations;
  private final Membership membership;
  private final HostDirectory directory;
  private final HeartbeatSchedule heartbeatSchedule;
  private final ConnectionScheduler connections;
  private final HostGossip hostGossip;
  private final PeerSyncTracker peerSync;
  private final UpstreamGossip upstreamGossip;
  private final WorkHandler workHandler;
  private final SpeedGossip speedGossip;
  private final ProposalClient proposals;
  private final StorageHosts storageHosts = new StorageHosts();
  private final FaultMarginMonitor faultMargin;
  private final VoterKeeper voters;
  private final EpochKeeper epochs;
  private final AgreementMember member;
  private final Map<String, Long> incarnations = new HashMap<>();

  /** Latest status received from each host; accessed by the transport's threads. */
  private final Map<String, HostStatus> lastStatuses = new ConcurrentHashMap<>();

  /** When the first heartbeat of a restarted host's current incarnation arrived. */
  private final Map<String, Long> restartDetectedAt = new HashMap<>();

  private final AtomicLong lastTicket;

  /** Limits the messages that cancellations by callers cause. */
  private final Withdrawals withdrawals = new Withdrawals(MAX_WITHDRAWALS_PER_SECOND);

  /** Memory of the requests whose callers wait at this host. */
  private final MemoryBudget waitingWork;

  /** Memory of submissions by other hosts that aren't handled yet. */
  private final MemoryBudget receivedWork;

  private Map<ShardId, RouteView.ActiveDispatcher> dispatchers = Map.of();
  private volatile boolean hasDispatcher;
  private volatile boolean draining;
  private List<HostAddress> seeds = List.of();
  private Optional<CompressedCatalog> agreedCatalog = Optional.empty();
  private Evacuations agreedEvacuations = Evacuations.NONE;

  /**
   * Difference between the wall clock and the monotonic clock at the last tick, in milliseconds.
   */
  private long lastWallClockLead;

  private long nextMembershipTickAt;
  private long nextDirectoryCleanupAt;
  private long nextLayoutCheckAt;
  private long nextVoterCheckAt;

  /**
   * Creates the components of the host.
   *
   * @throws ServerException if the data folder can't be used
   */
  public NodeController(NodeParts parts) throws ServerException {
    this.parts = parts;
    this.settings = parts.settings();
    this.clock = parts.clock();
    this.log = parts.log();
    final long now = clock.millis();
    this.lastWallClockLead = System.currentTimeMillis() - now;
    this.lastTicket = new AtomicLong(parts.incarnation() << 20);
    this.waitingWork = new MemoryBudget(parts.limits().waitingWorkBytes());
    this.receivedWork = new MemoryBudget(parts.limits().receivedWorkBytes());
    registerGauges();
    this.catalog =
        new CatalogKeeper(
            parts.catalogReader(),
            parts.background(),
            this::executeControl,
            this::catalogPutInForce,
            log,
            clock);
    this.freshness =
        new CatalogFreshnessKeeper(
            settings.configurationApplyMillis(),
            () -> member().driver(),
            new ArrivalBarrier(parts.transport().eventLoops(), this::executeControl)::run,
            log,
            clock);
    this.evacuations =
        new EvacuationKeeper(
            (command, callback) -> proposals().propose(command, callback),
            this::applyEvacuations,
            log,
            clock);
    this.membership =
        Membership.withDiscovery(
            settings.descriptor(),
            MembershipOptions.ofAddress(
                    settings.host(), HOST_SILENCE_TIMEOUT_MILLIS, settings.mayDispatch())
                .withWeight(settings.weight())
                .withClaimsByDomain(settings.scheduling().stagedRecovery()),
            now);
    this.directory = new HostDirectory(settings.descriptor(), now);
    this.connections =
        new ConnectionScheduler(settings, directory, parts.transport()::connect, log);
    this.heartbeatSchedule = new HeartbeatSchedule(settings.host());
    this.hostGossip = new HostGossip(directory, this::send);
    this.peerSync = new PeerSyncTracker(settings.host(), settings.dataFolder().isPresent());
    this.workHandler =
        new WorkHandler(
            parts,
            this::send,
            this::executeControl,
            this::executeWork,
            this::claimSuperseded,
            this::resetMembership);
    this.upstreamGossip =
        new UpstreamGossip(workHandler::handleLeaseEvent, this::broadcast, parts.limits());
    this.speedGossip =
        new SpeedGossip(
            directory, this::send, workHandler::upstreamSpeeds, workHandler::handleLeaseEvent);
    this.epochs =
        new EpochKeeper(settings.dataFolder().map(EpochFile::new), this::executeControl, log);
    this.member =
        new AgreementMember(
            settings.dataFolder().map(folder -> listener -> openStorage(folder, listener)),
            this::createDriver,
            this::storageOpenedLater,
            this::executeControl,
            log);
    member.open();
    restoreEpochs();
    this.proposals = new ProposalClient(clock, member::driver, this::leader, this::send);
    this.faultMargin =
        new FaultMarginMonitor(settings.faultTolerance(), storageHosts, parts.metrics(), log);
    this.voters =
        new VoterKeeper(
            VoterPlanner.forTolerance(settings.faultTolerance()),
            storageHosts,
            this::isReplaceable,
            log,
            now);
    if (settings.dataFolder().isPresent()) {
      parts.metrics().registerFaultMargin();
    }
  }

  /**
   * Starts the transport and the control thread.
   *
   * @throws ServerException if the peer address is in use
   */
  public void start() throws ServerException {
    logShortRetryDelay();
    parts.transport().start(this);
    member.start();
    parts.thread().start(this::tick, this::flush);
    seedsChanged(settings.seeds());
  }

  /**
   * Submits work, unless this host has no memory for it or its control thread is overloaded.
   *
   * @param callback receives the outcome once, on the control thread
   * @return the submission; empty if the work is refused
   */
  public Optional<Submission> submit(WorkRequest request, Consumer<WorkOutcome> callback) {
    long bytes = WorkFootprint.ofRequest(request);
    if (isOverloaded() || !waitingWork.tryReserve(bytes)) {
      return Optional.empty();
    }
    Submission submission = new Submission(lastTicket.incrementAndGet(), bytes);
    executeWork(
        () ->
            workHandler.submit(
                submission.ticket,
                request,
                outcome -> {
                  submission.release();
                  callback.accept(outcome);
                }));
    return Optional.of(submission);
  }

  /**
   * Cancels work, at whichever host its callers wait. The callers are answered, no further task of
   * the work starts, and its runs are stopped.
   *
   * @param callback receives the result once, on the control thread
   * @return whether the cancellation is accepted; false if the control thread is overloaded
   */
  public boolean cancelWork(String workId, Consumer<CancelResult> callback) {
    if (isOverloaded()) {
      return false;
    }
    // Behind the submissions that have arrived before it.
    executeWork(
        () -> {
          if (workHandler.cancel(workId)) {
            callback.accept(CancelResult.CANCELLED);
          } else if (withdrawals.tryAdd(workId, clock.millis())) {
            broadcast(new PeerMessage.WithdrawWork(workId));
            callback.accept(CancelResult.FORWARDED);
          } else {
            callback.accept(CancelResult.REFUSED);
          }
        });
    return true;
  }

  /** Returns why a request can never be accepted by a host of this size; empty if it can. */
  public Optional<String> violation(WorkRequest request) {
    return parts.limits().work().violation(request);
  }

  /** Returns whether the control thread is stuck, or too many tasks wait for it. */
  public boolean isOverloaded() {
    return parts.thread().backlog() >= parts.limits().queuedTasks()
        || !parts.thread().acceptsTasks();
  }

  /**
   * Handles an announcement that an upstream sent to this host.
   *
   * @return whether this host has the memory for it
   */
  public boolean upstreamAnnounced(UpstreamAnnouncement announcement) {
    if (isOverloaded() || !upstreamGossip.hasRoomFor(announcement)) {
      return false;
    }
    executeControl(() -> upstreamGossip.upstreamAnnounced(announcement, clock.millis()));
    return true;
  }

  /**
   * Returns whether an announcement may come from an upstream. One that gives the id of a known
   * upstream to a service without configuration would end the runs of that upstream.
   */
  public boolean isPlausible(UpstreamAnnouncement announcement) {
    Catalog inForce = catalog.current();
    return inForce.version() == 0
        || inForce.hasService(announcement.service())
        || !upstreamGossip.changesService(announcement);
  }

  /** Handles a departure that an upstream reported to this host. */
  public void upstreamDeparted(String upstream) {
    executeControl(() -> upstreamGossip.upstreamDeparted(upstream, clock.millis()));
  }

  /** Publishes a catalog; the future completes with the reply of the voters. */
  public CompletableFuture<ControlReply> publishCatalog(CompressedCatalog published) {
    return propose(new ControlCommand.PublishCatalog(published));
  }

  /** Reads the newest accepted catalog; the future completes with the reply of the voters. */
  public CompletableFuture<ControlReply> readCatalog() {
    return propose(new ControlCommand.ReadCatalog());
  }

  /**
   * Starts or ends the evacuation of a failure domain, on whose upstreams no task starts meanwhile.
   * The future completes with the reply of the voters.
   */
  public CompletableFuture<ControlReply> changeEvacuation(String domain, boolean evacuated) {
    CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    executeControl(() -> evacuations.change(domain, evacuated, reply::complete));
    return reply;
  }

  /** Returns whether the fleet has a failure domain; true if its domains aren't known. */
  public boolean isKnownDomain(String domain) {
    return settings.domains().isEmpty() || settings.domains().contains(domain);
  }

  /** Returns the catalog in force on this host. */
  public Catalog catalog() {
    return catalog.current();
  }

  /**
   * Returns whether this host may act on a catalog that was in force; false while a newer one may
   * have been accepted for longer than the settings allow.
   */
  public boolean mayActOn(Catalog inForce) {
    return freshness.mayActOn(inForce, clock.millis());
  }

  /** Returns whether this host can serve callers. */
  public boolean isReady() {
    return catalog.current().version() > 0
        && mayActOn(catalog.current())
        && hasDispatcher
        && !draining
        && parts.thread().isResponsive();
  }

  /** Returns whether a planned stop has begun. */
  public boolean isDraining() {
    return draining;
  }

  /** Connects to the seeds of changed settings; hosts already known stay connected. */
  public void seedsChanged(List<HostAddress> newSeeds) {
    executeControl(
        () -> {
          seeds = List.copyOf(newSeeds);
          connectSeeds();
        });
  }

  /** Begins a planned stop; the host continues to serve the requests in flight. */
  public void drain() {
    executeControl(
        () -> {
          draining = true;
          log.info("drain-begun", "waiting=" + workHandler.waitingCallers());
          execute(membership.drain(clock.millis()));
          member.driver().ifPresent(AgreementDriver::transferLeadership);
          sendHeartbeats();
        });
  }

  /** Returns the number of waiting callers plus the number of unanswered pieces of work. */
  public CompletableFuture<Integer> inFlightCount() {
    return query(workHandler::inFlightCount);
  }

  @Override
  public void messageReceived(String host, PeerMessage message) {
    long arrivedAt = clock.millis();
    switch (message) {
      case PeerMessage.SubmitWork submit -> enqueueSubmission(host, submit, arrivedAt);
      case PeerMessage.CancelWork cancel -> workCancelled(host, cancel, arrivedAt);
      case PeerMessage.WithdrawWork withdraw ->
          executeWork(() -> workHandler.cancel(withdraw.workId()));
      case PeerMessage.Heartbeat heartbeat -> enqueueHeartbeat(host, heartbeat, arrivedAt);
      default -> executeControl(() -> handle(host, message, arrivedAt));
    }
  }

  @Override
  public void connectionOpened(String host) {
    executeControl(
        () -> {
          freshness.connectionOpened(host);
          send(host, heartbeatFor(host, status()));
          workHandler.handleIntakeEvent(new IntakeEvent.PeerReconnected(host));
        });
  }

  @Override
  public void outboundConnected(String host, long incarnation) {
    executeControl(() -> sendMissedNews(host, incarnation, clock.millis()));
    executeWork(() -> sendWithdrawals(host));
  }

  @Override
  public void close() {
    member.close();
    parts.thread().close();
    parts.upstreams().close();
    parts.transport().close();
  }

  /**
   * Queues a submission of another host. It is dropped if too many wait; that host sends it again.
   */
  private void enqueueSubmission(String host, PeerMessage.SubmitWork submit, long arrivedAt) {
    long bytes = WorkFootprint.ofRequest(submit.request());
    if (!receivedWork.tryReserve(bytes)) {
      log.warn("submission-dropped", "work=" + submit.request().id() + " from=" + host);
      return;
    }
    executeWork(
        () -> {
          receivedWork.release(bytes);
          workSubmitted(host, submit, arrivedAt);
        });
  }

  private void registerGauges() {
    registerBudget("entry.waiting", waitingWork);
    registerBudget("dispatcher.received", receivedWork);
    parts.metrics().registerGauge("upstream.registry.bytes", () -> upstreamGossip.upstreamBytes());
    parts
        .metrics()
        .registerGauge("upstream.registry.bytes-limit", () -> parts.limits().upstreamBytes());
    parts.metrics().registerGauge("control.queued", () -> parts.thread().backlog());
  }

  private void registerBudget(String name, MemoryBudget budget) {
    parts.metrics().registerGauge(name + ".bytes", budget::usedBytes);
    parts.metrics().registerGauge(name + ".bytes-limit", budget::limitBytes);
    parts.metrics().registerGauge(name + ".refused", budget::refusals);
  }

  /**
   * Queues a heartbeat, deferred if it changes at most the load and doesn't come from the timing
   * reference; this applies to most heartbeats.
   */
  private void enqueueHeartbeat(String host, PeerMessage.Heartbeat heartbeat, long arrivedAt) {
    Runnable task = () -> handle(host, heartbeat, arrivedAt);
    HostStatus before = lastStatuses.put(host, heartbeat.status());
    boolean repeats = before != null && before.equalsIgnoringLoad(heartbeat.status());
    if (repeats && !heartbeatSchedule.isReferenceHost(host)) {
      parts.thread().executeDeferred(task);
    } else {
      executeControl(task);
    }
  }

  private void connectSeeds() {
    seeds.forEach(seed -> connections.connectSeed(seed, clock.millis()));
  }

  private void logShortRetryDelay() {
    if (settings.unregisteredWaitMillis() > 0) {
      log.warn(
          "caller-retry-delay-short",
          "delay="
              + settings.callerRetryDelayMillis()
              + " longest-run="
              + settings.leaseTiming().maxOrphanedRunMillis()
              + " effect="
              + EventLog.quote(
                  "work whose registrar is unreachable waits up to "
                      + settings.unregisteredWaitMillis()
                      + " ms"));
    }
  }

  private void sendMissedNews(String host, long incarnation, long now) {
    OptionalLong since = peerSync.connected(host, incarnation, now);
    boolean fullSync = since.isEmpty() && peerSync.sendsFullSync(host, liveHosts());
    hostGossip.connected(host, fullSync);
    Optional<PeerMessage> missed =
        fullSync
            ? upstreamGossip.fullNews(now)
            : upstreamGossip.newsSince(
                since.orElse(now - UpstreamGossip.NEWS_RETENTION_MILLIS), now);
    missed.ifPresent(message -> send(host, message));
  }

  private List<String> liveHosts() {
    return membership.liveHosts().stream().map(HostStatus::host).toList();
  }

  private AgreementStorage openStorage(Path folder, Consumer<AgreementStorage.Event> listener)
      throws StorageException {
    ClusterBootstrap.createDataFolderIfNeeded(settings);
    return AgreementStorage.open(folder, settings.cluster(), settings.host(), log, listener);
  }

  private AgreementDriver createDriver(AgreementStorage storage) {
    AgreementDriver driver =
        storage.createDriver(
            settings.host(),
            parts.incarnation(),
            (host, message) -> send(host, new PeerMessage.Agreement(GroupId.CONTROL, message)),
            this::recordAgreedState,
            log,
            clock);
    driver.deferChangesWhile(() -> voters.awaitsVoters(driver.node(), clock.millis()));
    return driver;
  }

  private void storageOpenedLater() {
    restoreEpochs();
    sendHeartbeats();
  }

  /** Restores the epoch and the layout that earlier incarnations of this host have saved. */
  private void restoreEpochs() {
    if (member.driver().isPresent()) {
      EpochFile.Content saved = epochs.load();
      membership.restore(saved.epoch());
      membership.restore(saved.layout());
    }
  }

  private void recordAgreedState(ControlState state) {
    agreedCatalog = Optional.of(state.catalog());
    agreedEvacuations = state.evacuations();
  }

  /**
   * Puts the newest agreed evacuations in force, and offers the newest agreed catalog to the
   * catalog keeper.
   *
   * <p>This is done once per batch: a restarted host applies its whole log at once, and announcing
   * every intermediate version would delay the newest. Other hosts receive the evacuations no later
   * than the catalog, without which they accept no work.
   */
  private void offerAgreedState() {
    evacuations.offer(agreedEvacuations, "log");
    agreedCatalog.ifPresent(agreed -> catalog.offer(agreed, "log"));
    agreedCatalog = Optional.empty();
  }

  private CompletableFuture<ControlReply> propose(ControlCommand command) {
    CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    executeControl(() -> proposals.propose(command, reply::complete));
    return reply;
  }

  private void catalogPutInForce() {
    freshness.putInForce(catalog.current().version());
    sendHeartbeats();
  }

  private AgreementMember member() {
    return member;
  }

  private <T> CompletableFuture<T> query(Supplier<T> supplier) {
    CompletableFuture<T> result = new CompletableFuture<>();
    // In the work lane, so that requests which are still queued are counted.
    executeWork(() -> result.complete(supplier.get()));
    return result;
  }

  private void executeControl(Runnable task) {
    parts.thread().execute(task);
  }

  private void executeWork(Runnable task) {
    parts.thread().executeWork(task);
  }

  /** Passes work to the dispatcher, unless its entry host has restarted since it was sent. */
  private void workSubmitted(String host, PeerMessage.SubmitWork submit, long arrivedAt) {
    directory.recordContact(host, arrivedAt);
    workHandler.handleIntakeEvent(new IntakeEvent.DispatcherMessageReceived(host));
    if (arrivedAt <= restartDetectedAt.getOrDefault(host, Long.MIN_VALUE)) {
      log.info("submission-outdated", "work=" + submit.request().id() + " from=" + host);
      return;
    }
    workHandler.handleLeaseEvent(
        new LeaseEvent.Submitted(
            host,
            submit.token(),
            submit.ticket(),
            submit.request(),
            submit.ageMillis(),
            submit.quietPeriodMillis(),
            submit.origin()),
        arrivedAt);
  }

  /**
   * Passes a cancellation to the dispatcher in the control lane, and once more in the work lane,
   * behind the submission that it may have overtaken.
   */
  private void workCancelled(String host, PeerMessage.CancelWork cancel, long arrivedAt) {
    LeaseEvent event = new LeaseEvent.Cancelled(host, cancel.token(), cancel.workId());
    executeControl(() -> workHandler.handleLeaseEvent(event, arrivedAt));
    executeWork(() -> workHandler.handleLeaseEvent(event, arrivedAt));
  }

  /**
   * Handles a control message.
   *
   * <p>Reports of outcomes are control messages too. In the work lane, a change of dispatcher that
   * arrived later could overtake a report, which would then answer a caller whose work the next
   * dispatcher continues.
   *
   * <p>So are registrations of work: in the work lane, those of an overloaded registrar would hold
   * up the tasks of other dispatchers. The registrations and deregistrations of a host stay in
   * order, as all of them use this lane.
   */
  private void handle(String host, PeerMessage message, long arrivedAt) {
    long now = clock.millis();
    directory.recordContact(host, arrivedAt);
    if (!(message instanceof PeerMessage.Heartbeat)) {
      workHandler.handleIntakeEvent(new IntakeEvent.DispatcherMessageReceived(host));
    }
    switch (message) {
      case PeerMessage.Heartbeat heartbeat -> handleHeartbeat(heartbeat, arrivedAt, now);
      case PeerMessage.KnownHosts known ->
          known.hosts().forEach(descriptor -> addDiscoveredHost(host, descriptor, now));
      case PeerMessage.UpstreamNews news -> upstreamGossip.handleNews(news, now);
      case PeerMessage.UpstreamSpeeds speeds -> speedGossip.handleReport(speeds);
      case PeerMessage.ReportWork report ->
          workHandler.handleIntakeEvent(
              new IntakeEvent.OutcomeReported(host, report.workId(), report.outcome()));
      case PeerMessage.RegisterWork register ->
          workHandler.handleLeaseEvent(RegistrationMessages.toEvent(host, register), arrivedAt);
      case PeerMessage.ConfirmRegistration confirm ->
          workHandler.handleLeaseEvent(RegistrationMessages.toEvent(host, confirm), arrivedAt);
      case PeerMessage.DeferRegistration defer ->
          workHandler.handleLeaseEvent(RegistrationMessages.toEvent(host, defer), arrivedAt);
      case PeerMessage.DeregisterWork deregister ->
          workHandler.handleLeaseEvent(RegistrationMessages.toEvent(host, deregister), arrivedAt);
      case PeerMessage.Agreement received ->
          member
              .driver()
              .filter(driver -> received.group().equals(GroupId.CONTROL))
              .ifPresent(driver -> driver.receive(received.message()));
      case PeerMessage.Propose propose -> handleProposal(host, propose);
      case PeerMessage.Proposed proposed ->
          proposals.handleReply(proposed.requestId(), proposed.reply());
      case PeerMessage.FetchCatalogPart fetch ->
          catalog
              .servePart(host, fetch.request(), now)
              .ifPresent(part -> send(host, new PeerMessage.SendCatalogPart(part)));
      case PeerMessage.SendCatalogPart sent ->
          catalog
              .handlePart(sent.part(), host, now)
              .ifPresent(request -> fetchCatalogPart(host, request));
      default ->
          log.warn(
              "message-ignored", "from=" + host + " kind=" + message.getClass().getSimpleName());
    }
  }

  private void handleHeartbeat(PeerMessage.Heartbeat heartbeat, long arrivedAt, long now) {
    HostStatus status = heartbeat.status();
    renewSilentConnection(status.host(), heartbeat.lastContactAgeMillis());
    peerSync.contactReported(
        status.host(), status.incarnation(), heartbeat.lastContactAgeMillis(), arrivedAt);
    Long before = incarnations.put(status.host(), status.incarnation());
    if (before != null && before < status.incarnation()) {
      // The process restarted before its silence timeout expired. Work submitted by its earlier
      // incarnation has no caller any more.
      restartDetectedAt.put(status.host(), arrivedAt);
      workHandler.handleLeaseEvent(new LeaseEvent.EntryHostLost(status.host()));
    }
    evacuations.offer(status.evacuations(), status.host());
    freshness.handleHeartbeat(heartbeat, arrivedAt);
    execute(membership.heartbeat(status, now));
    if (heartbeatSchedule.triggersHeartbeat(status.host(), now)) {
      sendHeartbeats();
    }
    if (status.dispatcherEpoch() != 0) {
      workHandler.handleIntakeEvent(new IntakeEvent.LoadReported(status.host(), status.load()));
    }
    workHandler.handleLeaseEvent(
        new LeaseEvent.EntryHostMessageReceived(status.host(), heartbeat.lastContactAgeMillis()),
        arrivedAt);
    workHandler.handleIntakeEvent(
        new IntakeEvent.DispatcherMessageReceived(status.host(), heartbeat.lastContactAgeMillis()));
    catalog
        .handleAnnouncement(status.configurationVersion(), now)
        .ifPresent(request -> fetchCatalogPart(status.host(), request));
  }

  /**
   * Replaces the connection to a host that reports receiving nothing over it.
   *
   * <p>A device between two hosts may lose the state of an open connection. TCP detects that only
   * after many minutes, and until then the other host receives no heartbeats and considers this one
   * lost. The other host's heartbeats arrive over its own connection and report its last contact.
   */
  private void renewSilentConnection(String host, OptionalLong lastContactAgeMillis) {
    boolean silent =
        lastContactAgeMillis.isPresent()
            && lastContactAgeMillis.getAsLong() > CONNECTION_SILENCE_TIMEOUT_MILLIS;
    if (silent && parts.transport().reconnectIfOlderThan(host, CONNECTION_SILENCE_TIMEOUT_MILLIS)) {
      log.warn("connection-silent", "to=" + host + " unheard=" + lastContactAgeMillis.getAsLong());
    }
  }

  /**
   * Probes the connections to silent hosts.
   *
   * <p>Where a device has lost the state of the connections in both directions, neither host
   * receives the heartbeats that would report the silence. A host that is only slow answers the
   * probe, and one without a connection isn't probed.
   */
  private void probeSilentHosts(long now) {
    directory
        .silentHosts(PROBE_SILENCE_MILLIS, now)
        .forEach(host -> parts.transport().probe(host, HeartbeatSchedule.INTERVAL_MILLIS));
  }

  /** Sends recent cancellations to a host that may have lost them with its last connection. */
  private void sendWithdrawals(String host) {
    withdrawals
        .recent(clock.millis())
        .forEach(workId -> send(host, new PeerMessage.WithdrawWork(workId)));
  }

  private void fetchCatalogPart(String host, CatalogPart.Request request) {
    send(host, new PeerMessage.FetchCatalogPart(request));
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

  /**
   * Applies evacuations to the work of this host.
   *
   * <p>The heartbeats go out first: an entry host that knows of the evacuation offers refused work
   * to other shards without counting the refusal.
   */
  private void applyEvacuations(Evacuations changed) {
    sendHeartbeats();
    workHandler.applyEvacuations(changed, changed.containsAll(settings.domains()));
  }

  private ProposalClient proposals() {
    return proposals;
  }

  private void addDiscoveredHost(String from, HostDescriptor descriptor, long now) {
    if (descriptor.group().isEmpty() || descriptor.id().equals(settings.host())) {
      return;
    }
    boolean connected = directory.otherHosts().contains(descriptor.id());
    if (directory.add(descriptor, now)) {
      membership.addHost(descriptor.id(), descriptor.group(), descriptor.domain(), now);
      log.info("host-learnt", "host=" + descriptor.id() + " group=" + descriptor.group());
      connections.hostDiscovered(descriptor, !connected, now);
      hostGossip.hostDiscovered(descriptor, from);
    }
  }

  private void execute(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          Set<ShardId> live = membership.routes().liveShards();
          workHandler.handleLeaseEvent(new LeaseEvent.ShardsChanged(claim.shard(), live));
          workHandler.handleLeaseEvent(new LeaseEvent.RoleGained(claim.epoch()));
          sendHeartbeats();
        }
        case MembershipEffect.Yield yield -> {
          workHandler.handleLeaseEvent(new LeaseEvent.RoleLost());
          sendHeartbeats();
        }
        case MembershipEffect.RoutesChanged routes -> routesChanged(routes.view());
        case MembershipEffect.LayoutChanged changed -> layoutChanged(changed);
        case MembershipEffect.HostLost lost ->
            log.warn(
                "host-lost", "lost=" + lost.host() + " silence=" + HOST_SILENCE_TIMEOUT_MILLIS);
        case MembershipEffect.HostFound found -> log.info("host-found", "found=" + found.host());
      }
    }
  }

  private void layoutChanged(MembershipEffect.LayoutChanged changed) {
    log.info(
        "layout",
        "before="
            + changed.previous().shardsPerDomain()
            + " now="
            + changed.current().shardsPerDomain()
            + " upstreams="
            + upstreamGossip.upstreamCount());
    sendHeartbeats();
  }

  private void routesChanged(RouteView view) {
    logDispatchers(view.shards());
    final Collection<RouteView.ActiveDispatcher> earlier = dispatchers.values();
    dispatchers = view.shards();
    hasDispatcher = !dispatchers.isEmpty();
    membership
        .claimedShard()
        .ifPresent(
            own ->
                workHandler.handleLeaseEvent(new LeaseEvent.ShardsChanged(own, view.liveShards())));
    Map<ShardId, IntakeEvent.Dispatcher> known = new HashMap<>();
    dispatchers.forEach(
        (shard, found) ->
            known.put(shard, new IntakeEvent.Dispatcher(found.host(), found.epoch())));
    reportContact(earlier);
    // The work that the intake submits now is registered with the new registrars.
    workHandler.handleLeaseEvent(new LeaseEvent.DispatchersChanged(registrars(dispatchers)));
    workHandler.handleIntakeEvent(
        new IntakeEvent.OwnShardsChanged(
            Set.copyOf(membership.layout().shards(settings.descriptor().domain()))));
    workHandler.handleIntakeEvent(new IntakeEvent.DispatchersChanged(known));
  }

  private static Map<ShardId, ShardDispatcher> registrars(
      Map<ShardId, RouteView.ActiveDispatcher> dispatchers) {
    Map<ShardId, ShardDispatcher> registrars = new HashMap<>();
    dispatchers.forEach(
        (shard, found) -> registrars.put(shard, new ShardDispatcher(found.host(), found.epoch())));
    return registrars;
  }

  /**
   * Sends heartbeats to the dispatchers that have appeared, ahead of the submissions to them: a
   * dispatcher starts nothing for a host whose last report says that it had lost contact.
   */
  private void reportContact(Collection<RouteView.ActiveDispatcher> earlier) {
    HostStatus status = status();
    dispatchers.values().stream()
        .filter(found -> !earlier.contains(found) && !found.host().equals(settings.host()))
        .forEach(found -> send(found.host(), heartbeatFor(found.host(), status)));
  }

  private void logDispatchers(Map<ShardId, RouteView.ActiveDispatcher> now) {
    Set<ShardId> shards = new TreeSet<>(now.keySet());
    shards.addAll(dispatchers.keySet());
    for (ShardId shard : shards) {
      RouteView.ActiveDispatcher found = now.get(shard);
      if (found == null) {
        log.info("dispatcher", "shard=" + shard + " none");
      } else if (!found.equals(dispatchers.get(shard))) {
        log.info(
            "dispatcher",
            "shard=" + shard + " dispatcher=" + found.host() + " token=" + found.epoch());
      }
    }
  }

  /** Claims the role again with a higher token, or yields to a host that already has one. */
  private void claimSuperseded(LeaseEffect.Superseded superseded) {
    execute(
        membership.handleSupersededClaim(
            superseded.token(), superseded.acceptedBefore(), clock.millis()));
  }

  private void resetMembership() {
    execute(membership.reset(clock.millis()));
  }

  /**
   * Detects that the machine was suspended.
   *
   * <p>The monotonic clock may not advance during a suspension, while the wall clock does. A step
   * of the wall clock is indistinguishable from a pause; it causes a change of dispatcher at most.
   */
  private void detectPause(long now) {
    long lead = System.currentTimeMillis() - now;
    if (lead - lastWallClockLead > PAUSE_THRESHOLD_MILLIS) {
      log.warn("clock-ahead", "millis=" + (lead - lastWallClockLead));
      workHandler.handleLeaseEvent(new LeaseEvent.ProcessPaused(lead - lastWallClockLead));
    }
    lastWallClockLead = lead;
  }

  private void tick() {
    long now = clock.millis();
    detectPause(now);
    member.driver().ifPresent(AgreementDriver::tick);
    if (now >= nextMembershipTickAt) {
      nextMembershipTickAt = now + MEMBERSHIP_INTERVAL_MILLIS;
      execute(membership.tick(now));
      probeSilentHosts(now);
      epochs.save(membership.highestEpoch(), membership.layout(), now);
    }
    freshness.tick(catalog.current(), now);
    workHandler.tick();
    upstreamGossip.tick(now);
    speedGossip.tick(now);
    proposals.tick();
    if (heartbeatSchedule.isDue(now)) {
      sendHeartbeats();
    }
    connections.tick(membership, now);
    hostGossip.tick(now);
    if (now >= nextDirectoryCleanupAt) {
      nextDirectoryCleanupAt = now + DIRECTORY_CLEANUP_INTERVAL_MILLIS;
      directory
          .removeSilentHosts(now)
          .forEach(descriptor -> parts.transport().disconnect(descriptor.id()));
      // A host whose peers were all removed finds the fleet again through a seed.
      connectSeeds();
    }
    if (now >= nextLayoutCheckAt) {
      nextLayoutCheckAt = now + LAYOUT_INTERVAL_MILLIS;
      execute(membership.growLayout(upstreamGossip.suitableLayout(), now));
    }
    if (now >= nextVoterCheckAt) {
      nextVoterCheckAt = now + VOTER_INTERVAL_MILLIS;
      member.driver().ifPresent(driver -> reconcileVoters(driver, now));
    }
  }

  private void flush() {
    offerAgreedState();
    workHandler.placeTasks();
    member.driver().ifPresent(AgreementDriver::flush);
  }

  private void reconcileVoters(AgreementDriver driver, long now) {
    List<HostStatus> statuses = new ArrayList<>(membership.liveHosts());
    statuses.add(status());
    storageHosts.update(statuses, now);
    faultMargin.update(driver.node());
    if (driver.isLeader() && voters.reconcile(driver.node(), now)) {
      // The next change is due as soon as this one is committed.
      nextVoterCheckAt = now;
    }
  }

  private boolean isReplaceable(String host) {
    if (host.equals(settings.host())) {
      return false;
    }
    long now = clock.millis();
    return storageHosts.failureMillis(host, now) > VOTER_OUTAGE_TIMEOUT_MILLIS
        || directory.silenceMillis(host, now) > VOTER_OUTAGE_TIMEOUT_MILLIS;
  }

  private void sendHeartbeats() {
    heartbeatSchedule.recordSent(liveHosts(), clock.millis());
    HostStatus status = status();
    if (status.dispatcherEpoch() != 0) {
      workHandler.handleIntakeEvent(new IntakeEvent.LoadReported(status.host(), status.load()));
    }
    directory
        .otherHosts()
        .forEach(host -> parts.transport().send(host, heartbeatFor(host, status)));
  }

  private PeerMessage.Heartbeat heartbeatFor(String host, HostStatus status) {
    long now = clock.millis();
    Optional<Long> lastContactAge = directory.lastContactAgeMillis(host, now);
    return new PeerMessage.Heartbeat(
        status,
        lastContactAge.map(OptionalLong::of).orElse(OptionalLong.empty()),
        freshness.sentAtFor(host, now),
        freshness.confirmationFor(host, now));
  }

  private HostStatus status() {
    return new HostStatus(
        settings.host(),
        settings.descriptor().group(),
        parts.incarnation(),
        member.storageIncarnation(),
        catalog.current().version(),
        membership.claimedEpoch(),
        membership.highestEpoch(),
        membership.isDraining(),
        leader().orElse(""),
        membership.claimedEpoch() == 0 ? NO_LOAD : workHandler.load(),
        settings.descriptor().domain(),
        membership.layout(),
        membership.claimedShard().orElse(ShardId.WHOLE_FLEET),
        evacuations.current(),
        settings.weight());
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
    // A host that leads knows it; what others report may be outdated.
    Collection<HostStatus> live = membership.liveHosts();
    return live.stream()
        .filter(status -> status.leader().equals(status.host()))
        .findFirst()
        .or(() -> live.stream().filter(status -> !status.leader().isEmpty()).findFirst())
        .map(HostStatus::leader);
  }

  /** Result of a cancellation. */
  public enum CancelResult {
    /** Callers waited at this host, and were answered. */
    CANCELLED,
    /** No caller waits at this host; the other hosts were told. */
    FORWARDED,
    /** Nothing was done, as there are too many cancellations. */
    REFUSED
  }

  /** The submission of a caller that waits for its outcome. */
  public final class Submission {

    private final long ticket;
    private final long bytes;
    private final AtomicBoolean released = new AtomicBoolean();

    private Submission(long ticket, long bytes) {
      this.ticket = ticket;
      this.bytes = bytes;
    }

    /** Handles the disconnection of the caller. */
    public void callerDisconnected() {
      release();
      executeWork(() -> workHandler.callerDisconnected(ticket));
    }

    private void release() {
      if (released.compareAndSet(false, true)) {
        waitingWork.release(bytes);
      }
    }
  }

  private void broadcast(PeerMessage message) {
    directory.otherHosts().forEach(host -> parts.transport().send(host, message));
  }

  /** Sends a message to a host; a message to this host is delivered locally. */
  private void send(String host, PeerMessage message) {
    if (host.equals(settings.host())) {
      messageReceived(host, message);
    } else {
      parts.transport().send(host, message);
    }
  }
}
