package org.burdockbay.server.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.burdockbay.core.agreement.GroupId;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.catalog.Catalog;
import org.burdockbay.core.catalog.CatalogPart;
import org.burdockbay.core.catalog.CompressedCatalog;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.control.ControlCommand;
import org.burdockbay.core.control.ControlReply;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.lease.LeaseEffect;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.core.membership.Membership;
import org.burdockbay.core.membership.MembershipEffect;
import org.burdockbay.core.membership.MembershipOptions;
import org.burdockbay.core.membership.RouteView;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.server.ServerException;
import org.burdockbay.server.host.AgreementDriver;
import org.burdockbay.server.host.AgreementStorage;
import org.burdockbay.server.host.ProposalClient;
import org.burdockbay.server.host.VoterKeeper;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.settings.HostAddress;
import org.burdockbay.server.settings.PeerSettings;
import org.burdockbay.server.storage.EpochFile;
import org.burdockbay.server.transport.PeerListener;

/**
 * Connects the parts of the core on the control thread with each other, with the other hosts and
 * with the upstreams.
 *
 * <p>Public methods are for any thread; they hand over to the control thread.
 */
public final class NodeController implements PeerListener, AutoCloseable {

  /** Silence after which a host counts as lost, in milliseconds; three heartbeats fit into it. */
  private static final long LOST_MILLIS = LeaseTiming.ENTRY_HOST_SILENCE_TIMEOUT_MILLIS;

  /**
   * A host that says that it hasn't heard this one for so long is not reached by the connection to
   * it, in milliseconds; two heartbeats and a margin.
   */
  private static final long UNHEARD_MILLIS = 350;

  private static final long MEMBERSHIP_MILLIS = 25;
  private static final long FORGET_MILLIS = 2_000;

  /** How far the time of day must leap ahead to show a suspension, in milliseconds. */
  private static final long SUSPENDED_MILLIS = 250;

  /** What a host tells of its load that doesn't dispatch. */
  private static final DomainLoad NO_LOAD = new DomainLoad(0, 0);

  private static final long RECONCILE_MILLIS = 500;

  /** Silence after which another host with a disk may take a voter's place, in milliseconds. */
  private static final long REPLACE_VOTER_MILLIS = 3_000;

  /** Voters that are wanted: one may be lost, and three serve even when one is being replaced. */
  private static final int VOTERS = 3;

  private final NodeParts parts;
  private final NodeSettings settings;
  private final Clock clock;
  private final EventLog log;
  private final CatalogKeeper catalog;
  private final Membership membership;
  private final HostDirectory directory;
  private final HeartbeatSchedule schedule;
  private final HostGossip gossip;
  private final PeerSyncTracker peerSync;
  private final Fleet fleet;
  private final WorkDesk desk;
  private final ProposalClient proposals;
  private final VoterKeeper voters;
  private final EpochKeeper epochs;
  private final Optional<AgreementDriver> agreement;
  private final long storageIncarnation;
  private final Map<String, Long> incarnations = new HashMap<>();

  /** Latest status received from each host; accessed by the transport's threads. */
  private final Map<String, HostStatus> lastStatuses = new ConcurrentHashMap<>();

  /** When the first heartbeat of a host's present life arrived, if an earlier life was heard. */
  private final Map<String, Long> restartSeenAt = new HashMap<>();

  private final AtomicLong lastTicket;
  private Map<ShardId, RouteView.ActiveDispatcher> dispatchers = Map.of();
  private volatile boolean dispatcherKnown;
  private volatile boolean draining;
  private Optional<CompressedCatalog> agreedCatalog = Optional.empty();
  private long aheadBefore;
  private long membershipAt;
  private long forgetAt;
  private long reconcileAt;

  /**
   * Creates the parts of the host.
   *
   * @throws ServerException if the data folder can't be used
   */
  public NodeController(NodeParts parts) throws ServerException {
    this.parts = parts;
    this.settings = parts.settings();
    this.clock = parts.clock();
    this.log = parts.log();
    final long now = clock.millis();
    this.aheadBefore = System.currentTimeMillis() - now;
    this.lastTicket = new AtomicLong(parts.incarnation() << 20);
    this.catalog =
        new CatalogKeeper(
            parts.catalogReader(),
            parts.background(),
            this::onControl,
            this::heartbeat,
            log,
            clock);
    this.membership =
        Membership.withDiscovery(
            settings.card(),
            MembershipOptions.ofAddress(settings.host(), LOST_MILLIS, settings.mayDispatch()),
            now);
    this.directory = new HostDirectory(settings.card());
    this.schedule = new HeartbeatSchedule(settings.host());
    this.gossip = new HostGossip(directory, this::send);
    this.peerSync = new PeerSyncTracker(settings.host(), settings.dataFolder().isPresent());
    this.desk =
        new WorkDesk(
            parts, this::send, this::onControl, this::onWork, this::outranked, this::startOver);
    this.fleet = new Fleet(desk::dispatch, this::broadcast);
    Optional<AgreementStorage> storage = openStorage();
    this.storageIncarnation = storage.map(AgreementStorage::incarnation).orElse(0L);
    this.agreement = storage.map(this::driver);
    this.epochs = new EpochKeeper(settings.dataFolder().map(EpochFile::new), log);
    EpochFile.Content recalled = epochs.recall();
    membership.restore(recalled.epoch());
    membership.restore(recalled.layout());
    this.proposals = new ProposalClient(clock, agreement, this::leader, this::send);
    this.voters = new VoterKeeper(VOTERS, this::replaceable, log);
  }

  /**
   * Starts transport and control.
   *
   * @throws ServerException if the peer address is in use
   */
  public void start() throws ServerException {
    parts.transport().start(this);
    agreement.ifPresent(AgreementDriver::start);
    parts.thread().start(this::tick, this::flush);
    onControl(() -> settings.seeds().forEach(this::connectSeed));
  }

  /**
   * Submits work.
   *
   * @param answer gets the outcome once, on the control thread
   * @return the ticket to {@link #leave} with
   */
  public long submit(WorkRequest request, Consumer<WorkOutcome> answer) {
    long ticket = lastTicket.incrementAndGet();
    onWork(() -> desk.open(ticket, request, answer));
    return ticket;
  }

  /** Notes that the caller of a ticket no longer waits. */
  public void leave(long ticket) {
    onWork(() -> desk.leave(ticket));
  }

  /** Takes the announcement of an upstream that reached this host itself. */
  public void announced(UpstreamAnnouncement notice) {
    onControl(() -> fleet.announcedHere(notice, clock.millis()));
  }

  /** Takes the departure of an upstream that reached this host itself. */
  public void departed(String upstream) {
    onControl(() -> fleet.departedHere(upstream, clock.millis()));
  }

  /** Publishes a catalog; the future gets the reply of the voters. */
  public CompletableFuture<ControlReply> publish(CompressedCatalog published) {
    return propose(new ControlCommand.PublishCatalog(published));
  }

  /** Reads the newest catalog that was accepted; the future gets the reply of the voters. */
  public CompletableFuture<ControlReply> readCatalog() {
    return propose(new ControlCommand.ReadCatalog());
  }

  /** Returns the catalog in force here; safe on any thread. */
  public Catalog catalog() {
    return catalog.current();
  }

  /** Returns whether this host can serve callers; safe on any thread. */
  public boolean ready() {
    return catalog.current().version() > 0 && dispatcherKnown && !draining;
  }

  /** Returns whether a planned stop has begun; safe on any thread. */
  public boolean draining() {
    return draining;
  }

  /** Replaces the seeds, as the settings have changed. */
  public void seedsChanged(List<HostAddress> seeds) {
    onControl(() -> seeds.forEach(this::connectSeed));
  }

  /** Begins a planned stop; the host goes on until nothing is in flight. */
  public void drain() {
    onControl(
        () -> {
          draining = true;
          log.info("drain-begun", "waiting=" + desk.waiting());
          run(membership.drain(clock.millis()));
          agreement.ifPresent(AgreementDriver::transferLeadership);
          heartbeat();
        });
  }

  /** Returns the number of callers that wait here and pieces of work that are dispatched here. */
  public CompletableFuture<Integer> inFlight() {
    return call(desk::inFlight);
  }

  @Override
  public void received(String host, PeerMessage message) {
    long arrivedAt = clock.millis();
    switch (message) {
      case PeerMessage.SubmitWork submit -> onWork(() -> submitted(host, submit, arrivedAt));
      case PeerMessage.CancelWork cancel -> cancelled(host, cancel, arrivedAt);
      case PeerMessage.Heartbeat heartbeat -> receivedHeartbeat(host, heartbeat, arrivedAt);
      default -> onControl(() -> handle(host, message, arrivedAt));
    }
  }

  @Override
  public void reset(String host) {
    onControl(
        () -> {
          send(host, heartbeatTo(host, status()));
          desk.intake(new IntakeEvent.PeerReconnected(host));
        });
  }

  @Override
  public void connected(String host, long incarnation) {
    onControl(() -> sendMissedNews(host, incarnation, clock.millis()));
  }

  @Override
  public void close() {
    parts.thread().close();
    parts.upstreams().close();
    parts.transport().close();
  }

  /**
   * Defers heartbeats that change at most the load, which most do, unless they come from the timing
   * reference.
   */
  private void receivedHeartbeat(String host, PeerMessage.Heartbeat heartbeat, long arrivedAt) {
    Runnable task = () -> handle(host, heartbeat, arrivedAt);
    HostStatus before = lastStatuses.put(host, heartbeat.status());
    boolean repeats = before != null && before.equalsIgnoringLoad(heartbeat.status());
    if (repeats && !schedule.isReference(host)) {
      parts.thread().executeDeferred(task);
    } else {
      onControl(task);
    }
  }

  private void sendMissedNews(String host, long incarnation, long now) {
    OptionalLong since = peerSync.connected(host, incarnation, now);
    boolean everything = since.isEmpty() && peerSync.sendsEverything(host, liveHosts());
    gossip.connected(host, everything);
    Optional<PeerMessage> missed =
        everything
            ? fleet.tellAll(now)
            : fleet.tellSince(since.orElse(now - Fleet.NEWS_RETENTION_MILLIS), now);
    missed.ifPresent(message -> send(host, message));
  }

  private List<String> liveHosts() {
    return membership.liveHosts().stream().map(HostStatus::host).toList();
  }

  private Optional<AgreementStorage> openStorage() throws ServerException {
    if (settings.dataFolder().isEmpty()) {
      return Optional.empty();
    }
    FirstVoters.create(settings);
    return Optional.of(
        AgreementStorage.open(
            settings.dataFolder().get(),
            settings.cluster(),
            settings.host(),
            log,
            this::onStorage));
  }

  private AgreementDriver driver(AgreementStorage storage) {
    return storage.driver(
        settings.host(),
        parts.incarnation(),
        (host, message) -> send(host, new PeerMessage.Agreement(GroupId.CONTROL, message)),
        state -> agreedCatalog = Optional.of(state.catalog()),
        log,
        clock);
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

  /**
   * Takes the newest agreed catalog in use.
   *
   * <p>Once for each batch: a restarted host applies all that its log holds at one go, and telling
   * everybody of each version on the way would hold up the newest.
   */
  private void useAgreedCatalog() {
    agreedCatalog.ifPresent(agreed -> catalog.offer(agreed, "log"));
    agreedCatalog = Optional.empty();
  }

  private CompletableFuture<ControlReply> propose(ControlCommand command) {
    CompletableFuture<ControlReply> reply = new CompletableFuture<>();
    onControl(() -> proposals.propose(command, reply::complete));
    return reply;
  }

  private <T> CompletableFuture<T> call(Supplier<T> question) {
    CompletableFuture<T> answer = new CompletableFuture<>();
    // Behind the callers whose requests still wait, so that they are counted.
    onWork(() -> answer.complete(question.get()));
    return answer;
  }

  private void onControl(Runnable task) {
    parts.thread().execute(task);
  }

  private void onWork(Runnable task) {
    parts.thread().executeWork(task);
  }

  /** Hands work to the dispatcher, unless its entry host was restarted since it sent it. */
  private void submitted(String host, PeerMessage.SubmitWork submit, long arrivedAt) {
    directory.heard(host, arrivedAt);
    if (arrivedAt <= restartSeenAt.getOrDefault(host, Long.MIN_VALUE)) {
      log.info("submission-outdated", "work=" + submit.request().id() + " from=" + host);
      return;
    }
    desk.dispatch(
        new LeaseEvent.Submitted(
            host,
            submit.token(),
            submit.ticket(),
            submit.request(),
            submit.ageMillis(),
            submit.quietPeriodMillis()),
        arrivedAt);
  }

  /**
   * Hands a cancellation to the dispatcher at once, and again behind the submission that it may
   * have overtaken.
   */
  private void cancelled(String host, PeerMessage.CancelWork cancel, long arrivedAt) {
    LeaseEvent event = new LeaseEvent.Cancelled(host, cancel.token(), cancel.workId());
    onControl(() -> desk.dispatch(event, arrivedAt));
    onWork(() -> desk.dispatch(event, arrivedAt));
  }

  /**
   * Handles a control message.
   *
   * <p>A report is one too: taken after a change of the dispatcher that it came before, it would
   * answer a caller whose work the next dispatcher goes on with.
   */
  private void handle(String host, PeerMessage message, long arrivedAt) {
    long now = clock.millis();
    directory.heard(host, arrivedAt);
    switch (message) {
      case PeerMessage.Heartbeat heartbeat -> heard(heartbeat, arrivedAt, now);
      case PeerMessage.KnownHosts known -> known.hosts().forEach(card -> learn(host, card, now));
      case PeerMessage.UpstreamNews news -> fleet.told(news, now);
      case PeerMessage.ReportWork report ->
          desk.intake(new IntakeEvent.OutcomeReported(host, report.workId(), report.outcome()));
      case PeerMessage.Agreement received ->
          agreement
              .filter(driver -> received.group().equals(GroupId.CONTROL))
              .ifPresent(driver -> driver.receive(received.message()));
      case PeerMessage.Propose propose -> proposed(host, propose);
      case PeerMessage.Proposed proposed ->
          proposals.answered(proposed.requestId(), proposed.reply());
      case PeerMessage.FetchCatalogPart fetch ->
          catalog
              .part(host, fetch.request(), now)
              .ifPresent(part -> send(host, new PeerMessage.SendCatalogPart(part)));
      case PeerMessage.SendCatalogPart sent ->
          catalog.received(sent.part(), host, now).ifPresent(request -> fetch(host, request));
      default ->
          log.warn(
              "message-ignored", "from=" + host + " kind=" + message.getClass().getSimpleName());
    }
  }

  private void heard(PeerMessage.Heartbeat heartbeat, long arrivedAt, long now) {
    HostStatus status = heartbeat.status();
    renewIfUnheard(status.host(), heartbeat.lastContactAgeMillis());
    peerSync.heardBy(
        status.host(), status.incarnation(), heartbeat.lastContactAgeMillis(), arrivedAt);
    Long before = incarnations.put(status.host(), status.incarnation());
    if (before != null && before < status.incarnation()) {
      // The process was restarted within the time that its loss would have shown by silence. Work
      // of its earlier life that still waits here is nobody's any more.
      restartSeenAt.put(status.host(), arrivedAt);
      desk.dispatch(new LeaseEvent.EntryHostLost(status.host()));
    }
    run(membership.heartbeat(status, now));
    if (schedule.triggersHeartbeat(status.host(), now)) {
      heartbeat();
    }
    if (status.dispatcherEpoch() != 0) {
      desk.intake(new IntakeEvent.LoadReported(status.host(), status.load()));
    }
    desk.dispatch(new LeaseEvent.EntryHostMessageReceived(status.host()), arrivedAt);
    desk.intake(new IntakeEvent.DispatcherMessageReceived(status.host()));
    catalog
        .heard(status.configurationVersion(), now)
        .ifPresent(request -> fetch(status.host(), request));
  }

  /**
   * Replaces a connection that has gone silent while others work.
   *
   * <p>Something between two hosts may lose track of an open connection. TCP alone notices after
   * many minutes, and until then the other host misses every heartbeat and takes this one for lost.
   * The other host's heartbeats, which come over a connection of its own, tell.
   */
  private void renewIfUnheard(String host, OptionalLong heardAgoMillis) {
    boolean unheard = heardAgoMillis.isPresent() && heardAgoMillis.getAsLong() > UNHEARD_MILLIS;
    if (unheard && parts.transport().renew(host, UNHEARD_MILLIS)) {
      log.warn("connection-silent", "to=" + host + " unheard=" + heardAgoMillis.getAsLong());
    }
  }

  private void fetch(String host, CatalogPart.Request request) {
    send(host, new PeerMessage.FetchCatalogPart(request));
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

  private void connectSeed(HostAddress seed) {
    HostDescriptor card = new HostDescriptor(seed.ip(), "", "", seed.toString());
    boolean known = directory.others().contains(seed.ip());
    if (!known && !seed.ip().equals(settings.host())) {
      directory.add(card, clock.millis());
      connect(card);
    }
  }

  private void learn(String from, HostDescriptor card, long now) {
    if (card.group().isEmpty() || card.id().equals(settings.host())) {
      return;
    }
    boolean connected = directory.others().contains(card.id());
    if (directory.add(card, now)) {
      membership.addHost(card.id(), card.group(), now);
      log.info("host-learnt", "host=" + card.id() + " group=" + card.group());
      if (!connected) {
        connect(card);
      }
      gossip.learnt(card, from);
    }
  }

  private void connect(HostDescriptor card) {
    HostAddress address = HostAddress.parse(card.address());
    parts.transport().connect(new PeerSettings(card.id(), card.domain(), address, false));
  }

  private void run(List<MembershipEffect> effects) {
    for (MembershipEffect effect : effects) {
      switch (effect) {
        case MembershipEffect.Claim claim -> {
          Set<ShardId> live = membership.routes().liveShards();
          desk.dispatch(new LeaseEvent.ShardsChanged(claim.shard(), live));
          desk.dispatch(new LeaseEvent.RoleGained(claim.epoch()));
          heartbeat();
        }
        case MembershipEffect.Yield yield -> {
          desk.dispatch(new LeaseEvent.RoleLost());
          heartbeat();
        }
        case MembershipEffect.RoutesChanged routes -> routed(routes.view());
        case MembershipEffect.LayoutChanged changed -> layoutChanged(changed);
        case MembershipEffect.HostLost lost ->
            log.warn("host-lost", "lost=" + lost.host() + " silence=" + LOST_MILLIS);
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
            + fleet.size());
    heartbeat();
  }

  private void routed(RouteView view) {
    logDispatchers(view.shards());
    dispatchers = view.shards();
    dispatcherKnown = !dispatchers.isEmpty();
    membership
        .claimedShard()
        .ifPresent(own -> desk.dispatch(new LeaseEvent.ShardsChanged(own, view.liveShards())));
    Map<ShardId, IntakeEvent.Dispatcher> known = new HashMap<>();
    dispatchers.forEach(
        (shard, found) ->
            known.put(shard, new IntakeEvent.Dispatcher(found.host(), found.epoch())));
    desk.intake(new IntakeEvent.DispatchersChanged(known));
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

  /** Claims the role anew with a higher token, or leaves it to a host that is heard with one. */
  private void outranked(LeaseEffect.Superseded lost) {
    run(membership.handleSupersededClaim(lost.token(), lost.acceptedBefore(), clock.millis()));
  }

  private void startOver() {
    run(membership.reset(clock.millis()));
  }

  /**
   * Finds out that the machine was suspended.
   *
   * <p>The steady clock may not count that time, and the time of day does. A step of the time of
   * day looks the same; it then costs a change of dispatcher and nothing else.
   */
  private void noticeSuspension(long now) {
    long ahead = System.currentTimeMillis() - now;
    if (ahead - aheadBefore > SUSPENDED_MILLIS) {
      log.warn("clock-ahead", "millis=" + (ahead - aheadBefore));
      desk.dispatch(new LeaseEvent.ProcessPaused(ahead - aheadBefore));
    }
    aheadBefore = ahead;
  }

  private void tick() {
    long now = clock.millis();
    noticeSuspension(now);
    agreement.ifPresent(AgreementDriver::tick);
    if (now >= membershipAt) {
      membershipAt = now + MEMBERSHIP_MILLIS;
      run(membership.tick(now));
      epochs.remember(membership.highestEpoch(), membership.layout());
    }
    desk.tick();
    fleet.tick(now);
    proposals.tick();
    if (schedule.due(now)) {
      heartbeat();
    }
    gossip.tick(now);
    if (now >= forgetAt) {
      forgetAt = now + FORGET_MILLIS;
      directory.forget(now).forEach(card -> parts.transport().disconnect(card.id()));
    }
    if (now >= reconcileAt) {
      reconcileAt = now + RECONCILE_MILLIS;
      run(membership.growLayout(fleet.suitedLayout(), now));
      agreement
          .filter(AgreementDriver::leads)
          .ifPresent(driver -> voters.reconcile(driver.node(), voterStatuses(), now));
    }
  }

  private void flush() {
    useAgreedCatalog();
    desk.place();
    agreement.ifPresent(AgreementDriver::flush);
  }

  private List<HostStatus> voterStatuses() {
    List<HostStatus> statuses = new ArrayList<>(membership.liveHosts());
    statuses.removeIf(status -> status.storageIncarnation() == 0);
    return statuses;
  }

  private boolean replaceable(String host) {
    if (host.equals(settings.host())) {
      return false;
    }
    return directory
        .silence(host, clock.millis())
        .map(silence -> silence > REPLACE_VOTER_MILLIS)
        .orElse(true);
  }

  private void heartbeat() {
    schedule.sent(liveHosts(), clock.millis());
    HostStatus status = status();
    if (status.dispatcherEpoch() != 0) {
      desk.intake(new IntakeEvent.LoadReported(status.host(), status.load()));
    }
    directory.others().forEach(host -> parts.transport().send(host, heartbeatTo(host, status)));
  }

  private PeerMessage.Heartbeat heartbeatTo(String host, HostStatus status) {
    Optional<Long> silence = directory.heardSince(host, clock.millis());
    return new PeerMessage.Heartbeat(
        status, silence.map(OptionalLong::of).orElse(OptionalLong.empty()));
  }

  private HostStatus status() {
    return new HostStatus(
        settings.host(),
        settings.card().group(),
        parts.incarnation(),
        agreement.filter(AgreementDriver::hasFailed).isPresent() ? 0 : storageIncarnation,
        catalog.current().version(),
        membership.claimedEpoch(),
        membership.highestEpoch(),
        membership.isDraining(),
        leader().orElse(""),
        membership.claimedEpoch() == 0 ? NO_LOAD : desk.load(),
        settings.card().domain(),
        membership.layout(),
        membership.claimedShard().orElse(ShardId.WHOLE_FLEET));
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
        .map(HostStatus::leader)
        .filter(leader -> !leader.isEmpty())
        .findFirst();
  }

  private void broadcast(PeerMessage message) {
    directory.others().forEach(host -> parts.transport().send(host, message));
  }

  /** Sends a message to a host; to this one without the network. */
  private void send(String host, PeerMessage message) {
    if (host.equals(settings.host())) {
      received(host, message);
    } else {
      parts.transport().send(host, message);
    }
  }
}
