package org.burdockbay.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;

/**
 * Tracks the liveness of hosts by heartbeats and elects the dispatchers of this host's group.
 *
 * <p>A silent host isn't necessarily stopped: it may still dispatch on the other side of a network
 * partition. Each claim of the role therefore carries a higher epoch, which the upstreams use as a
 * fencing token. The role is sticky because each change requires a rebuild of the dispatcher's
 * state: a host claims it only if no live host of the group holds it.
 *
 * <p>An undivided fleet has one dispatcher. A divided fleet has one dispatcher for each shard,
 * elected among the hosts of the shard's failure domain. A host dispatches at most one shard.
 */
public final class Membership {

  /** Silence after which a host is considered lost, in milliseconds. */
  public static final long SILENCE_TIMEOUT_MILLIS = 2_000;

  /**
   * Time for which a shard without a dispatcher keeps its upstreams, in milliseconds. A regular
   * takeover completes within this time; moving the upstreams to other shards and back would cost
   * two rebuilds.
   */
  static final long VACANCY_GRACE_MILLIS = 2_000;

  /**
   * Time for which the shards of a failure domain without a live host keep their upstreams, in
   * milliseconds. It exceeds the duration of most network partitions: the dispatchers of a
   * partitioned domain continue to work, and must not be superseded by dispatchers that can't reach
   * the upstreams of that domain.
   */
  static final long LOST_DOMAIN_GRACE_MILLIS = 20_000;

  /**
   * Rounds added to an epoch to supersede an unknown higher claim; clocks may differ by some
   * seconds.
   */
  private static final long SUPERSEDE_ROUNDS = 10;

  /**
   * Factor by which the added rounds grow with each further claim that upstreams never accepted.
   * The claim that they have seen is unknown to all hosts and may be far higher, and each refusal
   * costs seconds without service.
   */
  private static final long SUPERSEDE_GROWTH_FACTOR = 8;

  /**
   * Upper limit of the added rounds, so that hosts whose claims are refused for weeks don't run out
   * of epochs.
   */
  private static final long MAX_SUPERSEDE_ROUNDS = 640;

  /**
   * Settle time of a host that discovers its peers, as a multiple of the silence timeout. Until it
   * has contacted all known hosts, it makes no claim within this time from the first contact.
   * Counting from the start of the process would permit a claim before the first connection is
   * established, as a restart takes longer than that; the claim of a host that knows no upstreams
   * would then replace a working dispatcher.
   */
  private static final long SETTLE_TIMEOUT_MULTIPLE = 2;

  /**
   * Settle time in a divided fleet, as a multiple of the silence timeout. A shard that appears
   * vacant may belong to any one of many hosts, and a host that has just started needs longer to
   * contact all of them.
   */
  private static final long DIVIDED_SETTLE_TIMEOUT_MULTIPLE = 6;

  /**
   * Time without discovery of further hosts, in milliseconds, after which a host that has contacted
   * all known hosts may claim before the settle time ends. A running host reconnects within 200 ms,
   * and its list of hosts is forwarded immediately.
   */
  private static final long DISCOVERY_IDLE_MILLIS = 250;

  /**
   * Time from the start before a host without any contact may claim, as a multiple of the silence
   * timeout; its connections may not be established yet.
   */
  private static final long NO_CONTACT_TIMEOUT_MULTIPLE = 6;

  private final String self;
  private final String group;
  private final String failureDomain;
  private final Map<String, String> groupByHost;
  private final MembershipOptions options;
  private final boolean hasFixedHosts;
  private long startedAt;
  private OptionalLong firstContactAt = OptionalLong.empty();

  /** Hosts contacted since the start or the last reset. */
  private final Set<String> contactedHosts = new HashSet<>();

  private long lastDiscoveryAt;
  private final DomainContacts domainContacts;
  private final TreeMap<String, Contact> lastContacts = new TreeMap<>();
  private final ShardVacancies vacancies =
      new ShardVacancies(VACANCY_GRACE_MILLIS, LOST_DOMAIN_GRACE_MILLIS);
  private ShardLayout layout = ShardLayout.UNDIVIDED;
  private long claimedEpoch;
  private ShardId claimedShard = ShardId.WHOLE_FLEET;
  private long highestEpoch;
  private long supersedeRounds = SUPERSEDE_ROUNDS;
  private boolean draining;
  private boolean settled;

  /** Whether shards of domains that may not have been contacted yet count as live. */
  private boolean presumesShards;

  private RouteView routes;

  /**
   * Creates the membership of a host in a fixed list of hosts.
   *
   * @param self id of this host
   * @param groupByHost groups of all hosts, including this one; each failure domain is a group
   * @param now time of the start, in milliseconds
   */
  public Membership(String self, Map<String, String> groupByHost, long now) {
    this(self, groupByHost, "", listedHostOptions(self, groupByHost), true, now);
  }

  private Membership(
      String self,
      Map<String, String> groupByHost,
      String failureDomain,
      MembershipOptions options,
      boolean hasFixedHosts,
      long now) {
    if (!groupByHost.containsKey(self)) {
      throw new IllegalArgumentException("host " + self + " is not among " + groupByHost.keySet());
    }
    this.self = self;
    this.groupByHost = new HashMap<>(groupByHost);
    this.group = groupByHost.get(self);
    this.failureDomain = failureDomain;
    this.options = options;
    this.hasFixedHosts = hasFixedHosts;
    this.startedAt = now;
    this.lastDiscoveryAt = now;
    this.domainContacts = new DomainContacts(failureDomain, now);
    this.routes = RouteView.empty(group);
  }

  /**
   * Creates the membership of a host that initially knows only itself; {@link #addHost} adds the
   * others.
   *
   * @param self id of this host
   * @param group group of this host; the hosts of a group elect dispatchers among themselves
   * @param now time of the start, in milliseconds
   */
  public static Membership withDiscovery(
      String self, String group, MembershipOptions options, long now) {
    return withDiscovery(new HostDescriptor(self, group, "", ""), options, now);
  }

  /**
   * Creates the membership of a host that initially knows only itself; {@link #addHost} adds the
   * others.
   *
   * @param now time of the start, in milliseconds
   */
  public static Membership withDiscovery(HostDescriptor self, MembershipOptions options, long now) {
    return new Membership(
        self.id(), Map.of(self.id(), self.group()), self.domain(), options, false, now);
  }

  private static MembershipOptions listedHostOptions(String self, Map<String, String> groupByHost) {
    int index = new TreeSet<>(groupByHost.keySet()).headSet(self).size();
    return MembershipOptions.ofListedHost(index);
  }

  /** Restores the highest epoch that an earlier incarnation of this host has seen. */
  public void restore(long epoch) {
    observeEpoch(epoch);
  }

  /** Restores the layout that an earlier incarnation of this host has known. */
  public void restore(ShardLayout restored) {
    layout = layout.larger(restored);
  }

  /** Grows the layout to at least the given one, which suits the upstreams known to this host. */
  public List<MembershipEffect> growLayout(ShardLayout required, long now) {
    List<MembershipEffect> effects = mergeLayout(required);
    if (!effects.isEmpty()) {
      effects.addAll(elect(now));
    }
    return effects;
  }

  /** Adds a host, whose failure domain isn't known, to the known hosts. */
  public void addHost(String host, String hostGroup, long now) {
    addHost(host, hostGroup, "", now);
  }

  /** Adds a host to the known hosts. */
  public void addHost(String host, String hostGroup, String hostDomain, long now) {
    if (!host.equals(self)) {
      domainContacts.hostAdded(host, hostDomain, now);
    }
    if (groupByHost.put(host, hostGroup) == null) {
      lastDiscoveryAt = now;
    }
  }

  /** Handles a heartbeat of another host. */
  public List<MembershipEffect> heartbeat(HostStatus status, long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (!status.domain().equals(groupByHost.get(status.host())) || status.host().equals(self)) {
      return effects;
    }
    Contact before = lastContacts.get(status.host());
    if (before != null && before.status.incarnation() > status.incarnation()) {
      // Heartbeat of an earlier incarnation that was still in flight.
      return effects;
    }
    lastContacts.put(status.host(), new Contact(status, now));
    domainContacts.heartbeatReceived(status, now);
    if (contactedHosts.add(status.host())) {
      lastDiscoveryAt = now;
    }
    if (before != null && before.status.equalsIgnoringLoad(status) && isStable()) {
      // Most heartbeats report no change; re-evaluating each took a third of an idle host's CPU
      // time.
      return effects;
    }
    if (firstContactAt.isEmpty()) {
      firstContactAt = OptionalLong.of(now);
    }
    if (before == null) {
      effects.add(new MembershipEffect.HostFound(status.host()));
    }
    if (status.domain().equals(group) || !hasFixedHosts) {
      // Hosts that discover each other share one sequence of epochs. Hosts that never dispatch
      // report it as well: they have disks and retain it when all other hosts are killed.
      observeEpoch(Math.max(status.highestEpoch(), status.dispatcherEpoch()));
    }
    if (!hasFixedHosts) {
      effects.addAll(mergeLayout(status.layout()));
    }
    effects.addAll(elect(now));
    return effects;
  }

  /** Removes hosts that have become silent, and claims a vacant dispatcher role. */
  public List<MembershipEffect> tick(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    List<String> lost = new ArrayList<>();
    lastContacts.forEach(
        (host, contact) -> {
          if (now - contact.receivedAt > options.silenceTimeoutMillis()) {
            lost.add(host);
          }
        });
    for (String host : lost) {
      lastContacts.remove(host);
      effects.add(new MembershipEffect.HostLost(host));
    }
    if (!lost.isEmpty() || !isStable()) {
      effects.addAll(elect(now));
    }
    return effects;
  }

  /** Returns whether this host's view changes only when the status of another host changes. */
  private boolean isStable() {
    boolean nothingToClaim =
        claimedEpoch != 0
            || !options.mayDispatch()
            || routes.shards().keySet().containsAll(layout.shards(failureDomain));
    return settled && !draining && !vacancies.hasPending() && !presumesShards && nothingToClaim;
  }

  /** Marks this host as stopping; it hands over its role as soon as there is a successor. */
  public List<MembershipEffect> drain(long now) {
    draining = true;
    return elect(now);
  }

  /** Records a higher epoch seen by an upstream or the ledger, and gives up a lower claim. */
  public List<MembershipEffect> handleHigherEpoch(long epoch, long now) {
    observeEpoch(epoch);
    List<MembershipEffect> effects = new ArrayList<>();
    if (claimedEpoch != 0 && epoch > claimedEpoch) {
      claimedEpoch = 0;
      effects.add(new MembershipEffect.Yield());
    }
    effects.addAll(elect(now));
    return effects;
  }

  /**
   * Gives up a claim that is below an epoch unknown to the hosts, and claims a considerably higher
   * one.
   *
   * <p>In a divided fleet, an upstream that comes from another shard may have seen a higher epoch
   * than that of this shard. The dispatcher then keeps the shard with a new epoch, because another
   * host would have to rebuild its state.
   *
   * @param epoch epoch of the claim that was refused; ignored if it isn't the current claim
   * @param acceptedBefore whether upstreams accepted the claim at first, so that another claim has
   *     superseded it since
   */
  public List<MembershipEffect> handleSupersededClaim(
      long epoch, boolean acceptedBefore, long now) {
    if (epoch != claimedEpoch) {
      return List.of();
    }
    long rounds = acceptedBefore ? SUPERSEDE_ROUNDS : supersedeRounds;
    supersedeRounds = Math.min(rounds * SUPERSEDE_GROWTH_FACTOR, MAX_SUPERSEDE_ROUNDS);
    long higher = epoch + (rounds << options.hostNumberBits());
    if (layout.undivided() || draining) {
      return handleHigherEpoch(higher, now);
    }
    observeEpoch(higher);
    List<MembershipEffect> effects = new ArrayList<>();
    effects.add(new MembershipEffect.Yield());
    effects.add(claim(claimedShard, now));
    effects.addAll(elect(now));
    return effects;
  }

  /**
   * Resets the settle time after a process pause, as the recorded state of other hosts is outdated.
   *
   * <p>Gives up a claim; another one is made only after the settle time.
   */
  public List<MembershipEffect> reset(long now) {
    startedAt = now;
    firstContactAt = OptionalLong.empty();
    contactedHosts.clear();
    domainContacts.reset();
    List<MembershipEffect> effects = new ArrayList<>();
    if (claimedEpoch != 0) {
      claimedEpoch = 0;
      effects.add(new MembershipEffect.Yield());
    }
    effects.addAll(elect(now));
    return effects;
  }

  /** Returns the last status of every live host except this one. */
  public Collection<HostStatus> liveHosts() {
    return lastContacts.values().stream().map(contact -> contact.status).toList();
  }

  /** Returns the last status of a live host. */
  public Optional<HostStatus> status(String host) {
    return Optional.ofNullable(lastContacts.get(host)).map(contact -> contact.status);
  }

  /** Returns the last load reported by a live host. */
  public Optional<DomainLoad> load(String host) {
    return status(host).map(HostStatus::load);
  }

  /** Returns the layout of the fleet's shards. */
  public ShardLayout layout() {
    return layout;
  }

  /** Returns the shard claimed by this host, if any. */
  public Optional<ShardId> claimedShard() {
    return claimedEpoch == 0 ? Optional.empty() : Optional.of(claimedShard);
  }

  /** Returns the current dispatchers and live shards. */
  public RouteView routes() {
    return routes;
  }

  /** Returns whether all shards of this host's failure domain have a dispatcher. */
  public boolean isOwnDomainServed() {
    return !layout.undivided()
        && routes.shards().keySet().containsAll(layout.shards(failureDomain));
  }

  /** Returns the epoch of this host's claim, or 0 without a claim. */
  public long claimedEpoch() {
    return claimedEpoch;
  }

  /** Returns the highest epoch of the group that this host has seen. */
  public long highestEpoch() {
    return highestEpoch;
  }

  /** Returns whether this host is stopping. */
  public boolean isDraining() {
    return draining;
  }

  private void observeEpoch(long epoch) {
    highestEpoch = Math.max(highestEpoch, epoch);
  }

  private List<MembershipEffect> mergeLayout(ShardLayout reported) {
    List<MembershipEffect> effects = new ArrayList<>();
    ShardLayout larger = layout.larger(reported);
    if (!larger.equals(layout)) {
      effects.add(new MembershipEffect.LayoutChanged(layout, larger));
      layout = larger;
      vacancies.clear();
    }
    return effects;
  }

  private List<MembershipEffect> elect(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (claimedEpoch != 0
        && (!layout.contains(claimedShard) || isSuperseded() || shouldHandOver())) {
      claimedEpoch = 0;
      effects.add(new MembershipEffect.Yield());
    }
    if (mayClaim() && (hasSettleTimeElapsed(now) || hasContactedOwnDomain(now))) {
      shardToClaim().ifPresent(shard -> effects.add(claim(shard, now)));
    }
    RouteView next = buildRoutes(now);
    if (!next.equals(routes)) {
      routes = next;
      effects.add(new MembershipEffect.RoutesChanged(next));
    }
    return effects;
  }

  private MembershipEffect claim(ShardId shard, long now) {
    claimedShard = shard;
    claimedEpoch = nextEpoch(now);
    observeEpoch(claimedEpoch);
    return new MembershipEffect.Claim(claimedEpoch, shard);
  }

  private boolean mayClaim() {
    return claimedEpoch == 0 && !draining && options.mayDispatch();
  }

  private boolean isSuperseded() {
    return groupHosts()
        .filter(status -> hasClaim(status) && status.shard().equals(claimedShard))
        .anyMatch(status -> status.dispatcherEpoch() > claimedEpoch);
  }

  /**
   * Returns whether this host is stopping and a successor is available.
   *
   * <p>Without a successor, a stopping host completes its own jobs, because no other host knows
   * which tasks it runs. In a divided fleet, the dispatchers of other shards take over the
   * upstreams of a shard without a successor.
   */
  private boolean shouldHandOver() {
    if (!draining) {
      return false;
    }
    if (layout.undivided()) {
      return groupHosts().anyMatch(status -> !status.draining());
    }
    return groupHosts().anyMatch(status -> hasClaim(status) || isAvailable(status, failureDomain));
  }

  private Stream<HostStatus> groupHosts() {
    return lastContacts.values().stream()
        .map(contact -> contact.status)
        .filter(status -> status.domain().equals(group));
  }

  /**
   * Returns whether a host dispatches a shard of the current layout; claims under a smaller layout
   * have ended.
   */
  private boolean hasClaim(HostStatus status) {
    return status.dispatcherEpoch() != 0 && layout.contains(status.shard());
  }

  private boolean isAvailable(HostStatus status, String hostDomain) {
    return status.failureDomain().equals(hostDomain) && !status.draining() && !hasClaim(status);
  }

  private Optional<ShardId> shardToClaim() {
    if (layout.undivided()) {
      boolean first =
          groupHosts()
              .noneMatch(
                  status ->
                      hasClaim(status)
                          || (!status.draining() && status.host().compareTo(self) < 0));
      return first ? Optional.of(ShardId.WHOLE_FLEET) : Optional.empty();
    }
    return matchVacantShards(failureDomain).entrySet().stream()
        .filter(entry -> entry.getValue().equals(self))
        .map(Map.Entry::getKey)
        .findFirst();
  }

  /** Returns the hosts that are to claim the vacant shards of a failure domain. */
  private Map<ShardId, String> matchVacantShards(String hostDomain) {
    Set<ShardId> vacant = new HashSet<>(layout.shards(hostDomain));
    vacant.removeAll(dispatchersByShard().keySet());
    Map<String, Integer> free = new HashMap<>();
    groupHosts()
        .filter(status -> isAvailable(status, hostDomain))
        .forEach(status -> free.put(status.host(), status.weight()));
    if (mayClaim() && failureDomain.equals(hostDomain)) {
      free.put(self, options.weight());
    }
    return ShardAssignment.of(vacant, free);
  }

  private Map<ShardId, RouteView.ActiveDispatcher> dispatchersByShard() {
    Map<ShardId, RouteView.ActiveDispatcher> dispatchers = new HashMap<>();
    groupHosts()
        .filter(this::hasClaim)
        .forEach(
            status ->
                dispatchers.merge(
                    status.shard(), toActiveDispatcher(status), Membership::withHigherEpoch));
    if (claimedEpoch != 0) {
      dispatchers.put(claimedShard, new RouteView.ActiveDispatcher(self, claimedEpoch, draining));
    }
    return dispatchers;
  }

  private static RouteView.ActiveDispatcher toActiveDispatcher(HostStatus status) {
    return new RouteView.ActiveDispatcher(
        status.host(), status.dispatcherEpoch(), status.draining());
  }

  private static RouteView.ActiveDispatcher withHigherEpoch(
      RouteView.ActiveDispatcher a, RouteView.ActiveDispatcher b) {
    return a.epoch() > b.epoch() ? a : b;
  }

  /** Returns whether a dispatcher of this host's group would have been contacted by now. */
  private boolean hasSettleTimeElapsed(long now) {
    long groupSize = groupByHost.values().stream().filter(group::equals).count();
    long live =
        lastContacts.values().stream()
                .filter(contact -> contact.status.domain().equals(group))
                .count()
            + 1;
    if (hasFixedHosts) {
      return now - startedAt > options.silenceTimeoutMillis() || live == groupSize;
    }
    if (firstContactAt.isEmpty()) {
      return now - startedAt > NO_CONTACT_TIMEOUT_MULTIPLE * options.silenceTimeoutMillis();
    }
    boolean complete = hasContactedAllHosts() && now - lastDiscoveryAt > DISCOVERY_IDLE_MILLIS;
    long multiple = layout.undivided() ? SETTLE_TIMEOUT_MULTIPLE : DIVIDED_SETTLE_TIMEOUT_MULTIPLE;
    return complete || now - firstContactAt.getAsLong() > multiple * options.silenceTimeoutMillis();
  }

  /**
   * Returns whether a dispatcher of this host's failure domain would have been contacted by now. No
   * other host dispatches a shard of the domain.
   */
  private boolean hasContactedOwnDomain(long now) {
    return options.claimsByDomain()
        && !layout.undivided()
        && domainContacts.isComplete(DISCOVERY_IDLE_MILLIS, now);
  }

  private boolean hasContactedAllHosts() {
    return contactedHosts.size() == groupByHost.size() - 1;
  }

  /** Returns an epoch above all epochs seen; the host number makes it unique. */
  private long nextEpoch(long now) {
    long round = Math.max(highestEpoch >> options.hostNumberBits(), options.roundAt(now)) + 1;
    return (round << options.hostNumberBits()) | options.hostNumber();
  }

  private RouteView buildRoutes(long now) {
    Map<String, RouteView.ActiveDispatcher> dispatchers = new HashMap<>();
    for (Contact contact : lastContacts.values()) {
      if (hasClaim(contact.status)) {
        dispatchers.merge(
            contact.status.domain(),
            toActiveDispatcher(contact.status),
            Membership::withHigherEpoch);
      }
    }
    if (claimedEpoch != 0) {
      dispatchers.put(group, new RouteView.ActiveDispatcher(self, claimedEpoch, draining));
    }
    Set<String> openDomains = new HashSet<>();
    lastContacts.values().stream()
        .filter(contact -> !contact.status.draining())
        .forEach(contact -> openDomains.add(contact.status.domain()));
    if (!draining) {
      openDomains.add(group);
    }
    boolean allGroupsContacted = openDomains.containsAll(groupByHost.values());
    settled |= allGroupsContacted || now - startedAt > options.silenceTimeoutMillis();
    Map<ShardId, RouteView.ActiveDispatcher> shards = dispatchersByShard();
    return new RouteView(
        group, dispatchers, openDomains, settled, shards, liveShards(shards.keySet(), now));
  }

  private Set<ShardId> liveShards(Set<ShardId> claimed, long now) {
    if (layout.undivided()) {
      return Set.of(ShardId.WHOLE_FLEET);
    }
    Set<String> hostDomains =
        groupHosts().map(HostStatus::failureDomain).collect(Collectors.toCollection(HashSet::new));
    hostDomains.add(failureDomain);
    Set<ShardId> awaited =
        hostDomains.stream()
            .flatMap(hostDomain -> matchVacantShards(hostDomain).keySet().stream())
            .collect(Collectors.toSet());
    Set<ShardId> live =
        vacancies.liveShards(
            claimed, options.mayDispatch() ? awaited : Set.of(), hostDomains::contains, now);
    // A host that claims early may know no dispatcher of other domains yet, and must not take over
    // their upstreams.
    presumesShards =
        options.claimsByDomain() && options.mayDispatch() && !hasSettleTimeElapsed(now);
    if (presumesShards) {
      domainContacts.otherDomains().forEach(known -> live.addAll(layout.shards(known)));
    }
    return live;
  }

  private record Contact(HostStatus status, long receivedAt) {}
}
