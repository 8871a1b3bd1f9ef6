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
 * Liveness of the hosts by heartbeat, and the dispatcher roles of this host's group.
 *
 * <p>Silence isn't death: a host that is silent here may be alive and still dispatching on the
 * other side of a network partition. So the role carries an epoch that rises with each claim, and
 * the runners enforce it. The role is sticky, since each change costs a rebuild: a claim is made
 * only when no live host of the group holds one.
 *
 * <p>A fleet that isn't divided has one role. A divided one has a role for each shard, which the
 * hosts of the shard's failure domain take; a host has one role at a time.
 */
public final class Membership {

  /** Silence after which a host counts as lost, in milliseconds. */
  public static final long SILENCE_TIMEOUT_MILLIS = 2_000;

  /**
   * For how long a shard without a dispatcher keeps its upstreams, in milliseconds: an ordinary
   * takeover is over by then, and moving them to other shards and back would cost two rebuilds.
   */
  static final long VACANCY_GRACE_MILLIS = 2_000;

  /**
   * The same for shards of a failure domain of which no host is heard, in milliseconds: longer than
   * most partitions. The domain's own dispatchers go on behind one, and would be outbid by others
   * that reach none of its upstreams.
   */
  static final long LOST_DOMAIN_GRACE_MILLIS = 20_000;

  /** By how many rounds an unknown higher claim is outbid: clocks may differ by some seconds. */
  private static final long SUPERSEDE_ROUNDS = 10;

  /**
   * How many times more rounds each further claim is worth that was never obeyed. Such a claim is
   * below one that nobody remembers, however far, and each refusal costs seconds without service.
   */
  private static final long SUPERSEDE_GROWTH_FACTOR = 8;

  /** The most rounds at once: hosts that are refused for weeks must not run out of epochs. */
  private static final long MAX_SUPERSEDE_ROUNDS = 640;

  /**
   * A host that finds the others by itself, and hasn't heard all that it was told of, claims
   * nothing before it has heard some for so many times the silence that counts as a loss. Counted
   * from the start of the process it would claim before its first connection is up: a restart takes
   * longer than that, and a claim of a host that knows no upstream replaces a dispatcher that
   * serves.
   */
  private static final long SETTLE_TIMEOUT_MULTIPLE = 2;

  /**
   * The same in a divided fleet, where a shard that looks vacant may belong to any one of many
   * hosts, and a host that has just started takes longer to hear all of them.
   */
  private static final long DIVIDED_SETTLE_TIMEOUT_MULTIPLE = 6;

  /**
   * Time without news of further hosts, in milliseconds, after which a host that has heard every
   * host that it was told of may claim sooner: a host that is up connects again within 200 ms, and
   * what it knows is passed on at once.
   */
  private static final long DISCOVERY_IDLE_MILLIS = 250;

  /** A host that hears nobody at all waits longer, for its connections to come up. */
  private static final long NO_CONTACT_TIMEOUT_MULTIPLE = 6;

  private final String self;
  private final String domain;
  private final String failureDomain;
  private final Map<String, String> domainByHost;
  private final MembershipOptions options;
  private final boolean hasFixedHosts;
  private long startedAt;
  private OptionalLong firstContactAt = OptionalLong.empty();

  /** The hosts that were heard since the start. */
  private final Set<String> contactedHosts = new HashSet<>();

  private long lastDiscoveryAt;
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
  private RouteView routes;

  /**
   * Creates the membership of a host that has heard of nobody yet.
   *
   * @param self the id of this host
   * @param domainByHost the failure domain of every host, this one included
   * @param now the time of the start, in milliseconds
   */
  public Membership(String self, Map<String, String> domainByHost, long now) {
    this(self, domainByHost, "", listedHostOptions(self, domainByHost), true, now);
  }

  private Membership(
      String self,
      Map<String, String> domainByHost,
      String failureDomain,
      MembershipOptions terms,
      boolean fixedHosts,
      long now) {
    if (!domainByHost.containsKey(self)) {
      throw new IllegalArgumentException("host " + self + " is not among " + domainByHost.keySet());
    }
    this.self = self;
    this.domainByHost = new HashMap<>(domainByHost);
    this.domain = domainByHost.get(self);
    this.failureDomain = failureDomain;
    this.options = terms;
    this.hasFixedHosts = fixedHosts;
    this.startedAt = now;
    this.lastDiscoveryAt = now;
    this.routes = RouteView.empty(domain);
  }

  /**
   * Creates the membership of a host that knows only itself; {@link #addHost} adds the others.
   *
   * @param self the id of this host
   * @param domain the hosts with the same value elect one dispatcher among them
   * @param now the time of the start, in milliseconds
   */
  public static Membership withDiscovery(
      String self, String domain, MembershipOptions terms, long now) {
    return withDiscovery(new HostDescriptor(self, domain, "", ""), terms, now);
  }

  /**
   * Creates the membership of a host that knows only itself; {@link #addHost} adds the others.
   *
   * @param now the time of the start, in milliseconds
   */
  public static Membership withDiscovery(HostDescriptor self, MembershipOptions terms, long now) {
    return new Membership(
        self.id(), Map.of(self.id(), self.group()), self.domain(), terms, false, now);
  }

  private static MembershipOptions listedHostOptions(
      String self, Map<String, String> domainByHost) {
    int index = new TreeSet<>(domainByHost.keySet()).headSet(self).size();
    return MembershipOptions.ofListedHost(index);
  }

  /** Takes an epoch into account that an earlier life of this host has seen. */
  public void restore(long epoch) {
    observeEpoch(epoch);
  }

  /** Takes a layout into account that an earlier life of this host has known. */
  public void restore(ShardLayout known) {
    layout = layout.larger(known);
  }

  /** Divides the fleet at least as far as suits the upstreams that this host knows of. */
  public List<MembershipEffect> growLayout(ShardLayout suited, long now) {
    List<MembershipEffect> effects = mergeLayout(suited);
    if (!effects.isEmpty()) {
      effects.addAll(elect(now));
    }
    return effects;
  }

  /** Takes a host into account from now on. */
  public void addHost(String host, String hostDomain, long now) {
    if (domainByHost.put(host, hostDomain) == null) {
      lastDiscoveryAt = now;
    }
  }

  /** Takes a heartbeat of another host. */
  public List<MembershipEffect> heartbeat(HostStatus status, long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    if (!status.domain().equals(domainByHost.get(status.host())) || status.host().equals(self)) {
      return effects;
    }
    Contact before = lastContacts.get(status.host());
    if (before != null && before.status.incarnation() > status.incarnation()) {
      // A heartbeat that an earlier run of the process left in flight.
      return effects;
    }
    lastContacts.put(status.host(), new Contact(status, now));
    if (contactedHosts.add(status.host())) {
      lastDiscoveryAt = now;
    }
    if (before != null && before.status.equalsIgnoringLoad(status) && isStable()) {
      // Most heartbeats tell nothing new; deciding anew took a third of an idle host's time.
      return effects;
    }
    if (firstContactAt.isEmpty()) {
      firstContactAt = OptionalLong.of(now);
    }
    if (before == null) {
      effects.add(new MembershipEffect.HostFound(status.host()));
    }
    if (status.domain().equals(domain) || !hasFixedHosts) {
      // Hosts that find each other have one dispatcher, and also those that never dispatch tell
      // of its epoch: they have disks, and remember it when all others were killed.
      observeEpoch(Math.max(status.highestEpoch(), status.dispatcherEpoch()));
    }
    if (!hasFixedHosts) {
      effects.addAll(mergeLayout(status.layout()));
    }
    effects.addAll(elect(now));
    return effects;
  }

  /** Drops hosts that went silent, and claims a dispatcher role that nobody holds. */
  public List<MembershipEffect> tick(long now) {
    List<MembershipEffect> effects = new ArrayList<>();
    List<String> lost = new ArrayList<>();
    lastContacts.forEach(
        (host, last) -> {
          if (now - last.receivedAt > options.silenceTimeoutMillis()) {
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

  /** Returns whether nothing changes in this host's view as long as nobody else changes. */
  private boolean isStable() {
    boolean nothingToClaim =
        claimedEpoch != 0
            || !options.mayDispatch()
            || routes.shards().keySet().containsAll(layout.shards(failureDomain));
    return settled && !draining && !vacancies.hasPending() && nothingToClaim;
  }

  /** Notes that this host is stopping: it hands the role over as soon as there is a successor. */
  public List<MembershipEffect> drain(long now) {
    draining = true;
    return elect(now);
  }

  /** Gives the role up because a runner or the ledger has seen a higher epoch. */
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
   * Gives a claim up because it is below one that nobody tells of, and claims again well above it.
   *
   * <p>In a divided fleet an upstream that comes from another shard may have seen a higher epoch
   * than this shard's. Its dispatcher then keeps the shard, which another host would have to
   * rebuild.
   *
   * @param epoch the claim that proved too low; another one is left as it is
   * @param obeyedBefore whether the claim was obeyed at first, so that a rival has outbid it since
   */
  public List<MembershipEffect> handleSupersededClaim(long epoch, boolean obeyedBefore, long now) {
    if (epoch != claimedEpoch) {
      return List.of();
    }
    long rounds = obeyedBefore ? SUPERSEDE_ROUNDS : supersedeRounds;
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
   * Starts over after the process stood still: what it believes of the others is out of date.
   *
   * <p>A claim is given up, and none is made until others would have been heard of again.
   */
  public List<MembershipEffect> reset(long now) {
    startedAt = now;
    firstContactAt = OptionalLong.empty();
    contactedHosts.clear();
    List<MembershipEffect> effects = new ArrayList<>();
    if (claimedEpoch != 0) {
      claimedEpoch = 0;
      effects.add(new MembershipEffect.Yield());
    }
    effects.addAll(elect(now));
    return effects;
  }

  /** Returns the last status of every live host but this one. */
  public Collection<HostStatus> liveHosts() {
    return lastContacts.values().stream().map(last -> last.status).toList();
  }

  /** Returns the last status of a live host. */
  public Optional<HostStatus> status(String host) {
    return Optional.ofNullable(lastContacts.get(host)).map(last -> last.status);
  }

  /** Returns the load that a live host told last. */
  public Optional<DomainLoad> load(String host) {
    return status(host).map(HostStatus::load);
  }

  /** Returns into how many shards the fleet is divided. */
  public ShardLayout layout() {
    return layout;
  }

  /** Returns the shard that this host dispatches, if it has a claim. */
  public Optional<ShardId> claimedShard() {
    return claimedEpoch == 0 ? Optional.empty() : Optional.of(claimedShard);
  }

  /** Returns who dispatches where. */
  public RouteView routes() {
    return routes;
  }

  /** Returns the epoch of this host's claim, or 0. */
  public long claimedEpoch() {
    return claimedEpoch;
  }

  /** Returns the highest epoch of the domain that this host has seen. */
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

  private List<MembershipEffect> mergeLayout(ShardLayout heardOf) {
    List<MembershipEffect> effects = new ArrayList<>();
    ShardLayout larger = layout.larger(heardOf);
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
    if (mayClaim() && hasSettleTimeElapsed(now)) {
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
   * Returns whether this host is stopping and there is a successor.
   *
   * <p>Without one a stopping host finishes what it dispatches: nobody else knows which tasks run
   * here. In a divided fleet the dispatchers of other shards take the upstreams of one that has no
   * successor.
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
        .map(last -> last.status)
        .filter(status -> status.domain().equals(domain));
  }

  /** Returns whether a host has a role of the present layout; one of a smaller layout is over. */
  private boolean hasClaim(HostStatus status) {
    return status.dispatcherEpoch() != 0 && layout.contains(status.shard());
  }

  private boolean isAvailable(HostStatus status, String hostsDomain) {
    return status.failureDomain().equals(hostsDomain) && !status.draining() && !hasClaim(status);
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

  /** Returns who is first in line for the vacant shards of a failure domain. */
  private Map<ShardId, String> matchVacantShards(String hostsDomain) {
    Set<ShardId> vacant = new HashSet<>(layout.shards(hostsDomain));
    vacant.removeAll(dispatchersByShard().keySet());
    Set<String> free =
        groupHosts()
            .filter(status -> isAvailable(status, hostsDomain))
            .map(HostStatus::host)
            .collect(Collectors.toCollection(HashSet::new));
    if (mayClaim() && failureDomain.equals(hostsDomain)) {
      free.add(self);
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

  /** Returns whether a dispatcher of this domain would have been heard of by now. */
  private boolean hasSettleTimeElapsed(long now) {
    long domainHosts = domainByHost.values().stream().filter(domain::equals).count();
    long live =
        lastContacts.values().stream().filter(h -> h.status.domain().equals(domain)).count() + 1;
    if (hasFixedHosts) {
      return now - startedAt > options.silenceTimeoutMillis() || live == domainHosts;
    }
    if (firstContactAt.isEmpty()) {
      return now - startedAt > NO_CONTACT_TIMEOUT_MULTIPLE * options.silenceTimeoutMillis();
    }
    boolean complete = hasContactedAllHosts() && now - lastDiscoveryAt > DISCOVERY_IDLE_MILLIS;
    long losses = layout.undivided() ? SETTLE_TIMEOUT_MULTIPLE : DIVIDED_SETTLE_TIMEOUT_MULTIPLE;
    return complete || now - firstContactAt.getAsLong() > losses * options.silenceTimeoutMillis();
  }

  private boolean hasContactedAllHosts() {
    return contactedHosts.size() == domainByHost.size() - 1;
  }

  /** Returns an epoch above all that were seen; the host's number makes it unlike any other's. */
  private long nextEpoch(long now) {
    long round = Math.max(highestEpoch >> options.hostNumberBits(), options.roundAt(now)) + 1;
    return (round << options.hostNumberBits()) | options.hostNumber();
  }

  private RouteView buildRoutes(long now) {
    Map<String, RouteView.ActiveDispatcher> dispatchers = new HashMap<>();
    for (Contact last : lastContacts.values()) {
      if (hasClaim(last.status)) {
        dispatchers.merge(
            last.status.domain(), toActiveDispatcher(last.status), Membership::withHigherEpoch);
      }
    }
    if (claimedEpoch != 0) {
      dispatchers.put(domain, new RouteView.ActiveDispatcher(self, claimedEpoch, draining));
    }
    Set<String> openDomains = new HashSet<>();
    lastContacts.values().stream()
        .filter(last -> !last.status.draining())
        .forEach(last -> openDomains.add(last.status.domain()));
    if (!draining) {
      openDomains.add(domain);
    }
    boolean allHeard = openDomains.containsAll(domainByHost.values());
    settled |= allHeard || now - startedAt > options.silenceTimeoutMillis();
    Map<ShardId, RouteView.ActiveDispatcher> shards = dispatchersByShard();
    return new RouteView(
        domain, dispatchers, openDomains, settled, shards, liveShards(shards.keySet(), now));
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
    return vacancies.liveShards(
        claimed, options.mayDispatch() ? awaited : Set.of(), hostDomains::contains, now);
  }

  private record Contact(HostStatus status, long receivedAt) {}
}
