package org.burdockbay.core.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToIntFunction;
import java.util.stream.IntStream;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.intake.IntakeEffect;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.intake.WorkIntake;
import org.burdockbay.core.registration.ShardDispatcher;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.core.shard.ShardMap;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.jspecify.annotations.Nullable;

/**
 * Simulates the load on a dispatcher in simulated time: healthy upstreams of unequal size, and
 * callers with three kinds of jobs. Collects statistics of the answers to callers.
 *
 * <p>In a divided fleet, there is one dispatcher for each shard, and entry hosts choose among them
 * by loads that are up to one heartbeat old.
 */
final class LoadSimulation {

  private static final int ENTRY_HOSTS = 28;
  private static final long HEARTBEAT_INTERVAL_MILLIS = 150;
  private static final long FIRST_TOKEN = 1;
  private static final long TARGET_MILLIS = 60;
  private static final double STRETCH = 1.6;

  /** Value of a late answer to a caller, relative to a prompt one. */
  private static final double LATE_VALUE = 0.2;

  /** Maximum relative error of a caller's estimate, in either direction. */
  private static final double MAX_ESTIMATE_ERROR = 0.4;

  private final LoadScenario scenario;
  private final SplittableRandom random;
  private final Map<String, LeaseDispatcher> dispatchers = new LinkedHashMap<>();
  private final Map<String, WorkIntake> intakes = new LinkedHashMap<>();
  private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<Kind, JobStatistics> statistics = new EnumMap<>(Kind.class);
  private final Map<String, JobStatistics> statisticsByDomain = new LinkedHashMap<>();
  private final Map<Kind, Double> trafficFactors = new EnumMap<>(Kind.class);
  private final Map<String, Map<Kind, JobStatistics>> statisticsByDomainAndKind = new HashMap<>();
  private boolean omitsOrigins;
  private final Map<String, Double> sharesByDomain = new HashMap<>();
  private final Map<String, Double> trafficFactorsByDomain = new HashMap<>();
  private final Map<ShardId, IntakeEvent.Dispatcher> dispatcherByShard = new LinkedHashMap<>();

  /** The last dispatchers of the shards that no host has claimed since all were restarted. */
  private final Map<ShardId, IntakeEvent.Dispatcher> vacantShards = new LinkedHashMap<>();

  private final Map<String, Long> coldUntilByHost = new HashMap<>();
  private long coldDispatcherMillis;
  private long now = 100_000;
  private long sequence;
  private int spills;

  /** The submissions to other failure domains, by work and dispatcher. */
  private final Set<String> crossings = new HashSet<>();

  private final Set<String> silentDomains = new HashSet<>();
  private boolean hidesHalfOfTotals;
  private double currentTraffic = 1;
  private final Deque<QueuedEvent> inbox = new ArrayDeque<>();

  /** Processor time of the dispatcher for one event or effect, in microseconds; 0 for no limit. */
  private long eventMicros;

  private long busyUntilMicros;
  private int roleChanges;

  LoadSimulation(long seed) {
    this(seed, LoadScenario.smallFleet());
  }

  /**
   * Creates a simulation with traffic in proportion to the number of upstreams.
   *
   * @param count the number of upstreams
   */
  LoadSimulation(long seed, int count, ShardLayout layout) {
    this(seed, LoadScenario.usualTraffic(count, layout));
  }

  LoadSimulation(long seed, LoadScenario scenario) {
    this.scenario = scenario;
    random = new SplittableRandom(seed);
    for (Kind kind : Kind.values()) {
      statistics.put(kind, new JobStatistics());
      trafficFactors.put(kind, 1.0);
    }
    List<String> domains = scenario.domains();
    domains.forEach(domain -> statisticsByDomain.put(domain, new JobStatistics()));
    Set<ShardId> shards = new LinkedHashSet<>();
    domains.forEach(domain -> shards.addAll(scenario.layout().shards(domain)));
    for (ShardId shard : shards) {
      addDispatcher(shard, shard.toString(), FIRST_TOKEN, shards);
    }
    for (int i = 0; i < scenario.upstreams(); i++) {
      Upstream upstream =
          new Upstream(
              "u" + i,
              domains.get(i / scenario.capacities().size() % domains.size()),
              scenario.capacities().get(i % scenario.capacities().size()));
      int round = i / (scenario.capacities().size() * domains.size());
      upstream.speed = scenario.speeds().get(round % scenario.speeds().size());
      upstreams.put(upstream.announcement.id(), upstream);
      dispatchers
          .keySet()
          .forEach(host -> notifyDispatcher(host, new LeaseEvent.Announced(upstream.announcement)));
    }
    dispatchers
        .keySet()
        .forEach(host -> notifyDispatcher(host, new LeaseEvent.RoleGained(FIRST_TOKEN)));
    notifyRegistrarsChanged();
    if (!scenario.layout().undivided()) {
      startEntryHosts();
    }
    schedule(25, this::tick);
    advance(1_000);
    for (Kind kind : Kind.values()) {
      schedule(1, () -> arrive(kind));
    }
  }

  private void addDispatcher(ShardId shard, String host, long token, Set<ShardId> shards) {
    LeaseDispatcher dispatcher = new LeaseDispatcher(host, LeaseTiming.DEFAULT, scenario.options());
    dispatchers.put(host, dispatcher);
    dispatcherByShard.put(shard, new IntakeEvent.Dispatcher(host, token));
    dispatcher.handle(new LeaseEvent.ShardsChanged(shard, shards), now);
  }

  private void startEntryHosts() {
    for (int i = 0; i < ENTRY_HOSTS; i++) {
      String entry = "entry" + i;
      intakes.put(entry, createIntake(entry));
      notifyDispatchersChanged(entry);
    }
    for (String host : dispatchers.keySet()) {
      schedule(random.nextLong(HEARTBEAT_INTERVAL_MILLIS), () -> reportLoad(host));
    }
  }

  private String domainOfEntryHost(int index) {
    return scenario.domains().get(index % scenario.domains().size());
  }

  /**
   * Replaces the dispatcher of a shard by one that knows the upstreams, but none of the work and
   * none of the runs. It has received the speeds that its predecessor reported, unless that one was
   * killed before.
   */
  void replaceDispatcher(ShardId shard) {
    IntakeEvent.Dispatcher before = dispatcherByShard.get(shard);
    Map<String, Double> speeds =
        Optional.ofNullable(dispatchers.remove(before.host()))
            .map(LeaseDispatcher::upstreamSpeeds)
            .orElse(Map.of());
    String host = shard + "-" + (before.token() + 1);
    addDispatcher(shard, host, before.token() + 1, Set.copyOf(dispatcherByShard.keySet()));
    upstreams.values().stream()
        .filter(upstream -> !upstream.gone)
        .forEach(
            upstream -> notifyDispatcher(host, new LeaseEvent.Announced(upstream.announcement)));
    notifyDispatcher(host, new LeaseEvent.SpeedsReported(speeds));
    notifyDispatcher(host, new LeaseEvent.RoleGained(before.token() + 1));
    notifyRegistrarsChanged();
    intakes
        .keySet()
        .forEach(
            entry ->
                notifyIntake(
                    entry, new IntakeEvent.DispatchersChanged(Map.copyOf(dispatcherByShard))));
    schedule(HEARTBEAT_INTERVAL_MILLIS, () -> reportLoad(host));
  }

  /**
   * Restarts all hosts and upstreams at once. Entry hosts serve immediately, without dispatchers.
   * The jobs in flight are removed from the statistics.
   *
   * @param coldMillis time for which a dispatcher is cold after it got its role, in milliseconds:
   *     its upstreams answer and its events are handled with a delay of up to this time
   */
  void restartAllHosts(long coldMillis) {
    coldDispatcherMillis = coldMillis;
    dispatchers.clear();
    jobs.clear();
    upstreams.values().forEach(Upstream::restart);
    vacantShards.putAll(dispatcherByShard);
    dispatcherByShard.clear();
    intakes.keySet().forEach(entry -> intakes.put(entry, createIntake(entry)));
  }

  /** Lets a host claim a shard after a restart of all hosts. */
  void claim(ShardId shard) {
    long token = vacantShards.remove(shard).token() + 1;
    Set<ShardId> shards = new LinkedHashSet<>(dispatcherByShard.keySet());
    shards.addAll(vacantShards.keySet());
    shards.add(shard);
    String host = shard + "-" + token;
    coldUntilByHost.put(host, now + coldDispatcherMillis);
    addDispatcher(shard, host, token, shards);
    ShardMap owners = ShardMap.of(shards);
    upstreams
        .values()
        .forEach(
            upstream -> {
              if (owners
                  .owner(upstream.announcement.id(), upstream.announcement.domain())
                  .equals(Optional.of(shard))) {
                upstream.coldUntil = now + random.nextLong(coldDispatcherMillis);
              }
              notifyDispatcher(host, new LeaseEvent.Announced(upstream.announcement));
            });
    notifyDispatcher(host, new LeaseEvent.RoleGained(token));
    notifyRegistrarsChanged();
    intakes.keySet().forEach(this::notifyDispatchersChanged);
    schedule(random.nextLong(HEARTBEAT_INTERVAL_MILLIS), () -> reportLoad(host));
  }

  private WorkIntake createIntake(String entry) {
    String domain = domainOfEntryHost(Integer.parseInt(entry.substring("entry".length())));
    WorkIntake intake = new WorkIntake(entry, domain, 1_225, scenario.options());
    intake.handle(
        new IntakeEvent.OwnShardsChanged(Set.copyOf(scenario.layout().shards(domain))), now);
    return intake;
  }

  private void notifyDispatchersChanged(String entry) {
    notifyIntake(entry, new IntakeEvent.DispatchersChanged(Map.copyOf(dispatcherByShard)));
  }

  /** Notifies all dispatchers of the current ones, which are the registrars of work. */
  private void notifyRegistrarsChanged() {
    Map<ShardId, ShardDispatcher> registrars = new HashMap<>();
    dispatcherByShard.forEach(
        (shard, dispatcher) ->
            registrars.put(shard, new ShardDispatcher(dispatcher.host(), dispatcher.token())));
    LeaseEvent changed = new LeaseEvent.DispatchersChanged(registrars);
    List.copyOf(dispatchers.keySet()).forEach(host -> notifyDispatcher(host, changed));
  }

  /** Delivers a submission, which a cold dispatcher handles some time after its arrival. */
  private void deliverSubmission(String host, LeaseEvent.Submitted submitted) {
    long arrivedAt = now;
    long coldLeftMillis = coldUntilByHost.getOrDefault(host, now) - now;
    if (coldLeftMillis <= 0) {
      enqueue(host, submitted);
      return;
    }
    schedule(
        coldLeftMillis / 2,
        () -> {
          LeaseDispatcher dispatcher = dispatchers.get(host);
          if (dispatcher != null) {
            applyEffects(host, dispatcher.handle(submitted, arrivedAt, now));
          }
        });
  }

  /** Returns the number of jobs that were refused or given up. */
  int refusedJobs() {
    return statistics.values().stream().mapToInt(each -> each.refused).sum();
  }

  /** Returns the number of jobs that were completed, in time or late. */
  int servedJobs() {
    return statistics.values().stream().mapToInt(each -> each.inTime + each.late).sum();
  }

  /** Returns the shards, in their natural order. */
  List<ShardId> shards() {
    return dispatcherByShard.keySet().stream().sorted().toList();
  }

  /** Lets entry hosts submit work without their failure domain, as older versions do. */
  void omitOrigins() {
    omitsOrigins = true;
  }

  /** Sets the share of the queues of one failure domain's callers; 1 unless set. */
  void setShare(String domain, double share) {
    sharesByDomain.put(domain, share);
  }

  /** Multiplies the traffic of one kind of job from now on; 1 is the traffic of the scenario. */
  void setTraffic(Kind kind, double factor) {
    trafficFactors.put(kind, factor);
  }

  /** Multiplies the traffic of one failure domain from now on. */
  void setTraffic(String domain, double factor) {
    trafficFactorsByDomain.put(domain, factor);
  }

  /** Lets every n-th upstream announce that it leaves; it is gone after the notice. */
  void removeEveryNthUpstream(int n, long noticeMillis) {
    List<Upstream> all = List.copyOf(upstreams.values());
    for (int i = 0; i < all.size(); i += n) {
      Upstream upstream = all.get(i);
      upstream.announceLeaving();
      schedule(noticeMillis, upstream::leave);
    }
  }

  /** Lets all upstreams of a shard but every n-th one leave at once. */
  void shrinkShard(ShardId shard, int n) {
    ShardMap map = ShardMap.of(dispatcherByShard.keySet());
    List<Upstream> owned =
        upstreams.values().stream().filter(upstream -> upstream.isOwnedBy(shard, map)).toList();
    for (int i = 0; i < owned.size(); i++) {
      if (i % n != 0) {
        owned.get(i).leave();
      }
    }
  }

  /** Removes the dispatcher of a shard, which entry hosts don't notice. */
  void killDispatcher(ShardId shard) {
    dispatchers.remove(dispatcherByShard.get(shard).host());
  }

  /** Stops the load reports of a domain's dispatchers. */
  void stopReports(String domain) {
    silentDomains.add(domain);
  }

  /** Lets every second dispatcher report no total, as earlier versions do. */
  void hideHalfOfTotals() {
    hidesHalfOfTotals = true;
  }

  private void reportLoad(String host) {
    if (!dispatchers.containsKey(host)) {
      return;
    }
    DomainLoad load = visibleLoad(host);
    if (silentDomains.stream().noneMatch(domain -> isInDomain(host, domain))) {
      schedule(2, () -> intakes.keySet().forEach(entry -> deliverLoad(entry, host, load)));
    }
    schedule(HEARTBEAT_INTERVAL_MILLIS, () -> reportLoad(host));
  }

  private void deliverLoad(String entry, String host, DomainLoad load) {
    notifyIntake(entry, new IntakeEvent.LoadReported(host, load));
    if (coldUntilByHost.containsKey(host)) {
      notifyIntake(entry, new IntakeEvent.DispatcherMessageReceived(host, OptionalLong.of(2)));
    }
  }

  private DomainLoad visibleLoad(String host) {
    DomainLoad load = dispatchers.get(host).load();
    boolean hidden = hidesHalfOfTotals && List.copyOf(dispatchers.keySet()).indexOf(host) % 2 == 0;
    return hidden ? new DomainLoad(load.freeSlots(), load.waitMillis()) : load;
  }

  /** Returns whether a dispatcher serves a shard of a domain. */
  private static boolean isInDomain(String dispatcher, String domain) {
    return dispatcher.startsWith(domain + '/');
  }

  private void recordCrossing(IntakeEffect.Submit submit) {
    Job job = jobs.get(submit.request().id());
    if (job != null && !isInDomain(submit.to().host(), job.domain)) {
      crossings.add(submit.request().id() + '>' + submit.to().host());
    }
  }

  private void notifyIntake(String entry, IntakeEvent event) {
    for (IntakeEffect effect : intakes.get(entry).handle(event, now)) {
      switch (effect) {
        case IntakeEffect.Submit submit -> {
          recordCrossing(submit);
          schedule(
              1,
              () ->
                  deliverSubmission(
                      submit.to().host(),
                      new LeaseEvent.Submitted(
                          entry,
                          submit.to().token(),
                          submit.ticket(),
                          submit.request(),
                          submit.ageMillis(),
                          submit.quietPeriodMillis(),
                          omitsOrigins ? "" : submit.origin())));
        }
        case IntakeEffect.Answer answer -> recordAnswer(answer.request().id(), answer.outcome());
        case IntakeEffect.LogEvent logged ->
            spills += logged.event().equals("work-spilled") ? 1 : 0;
        case IntakeEffect.Cancel cancel -> {
          // Concerns only work whose caller has timed out.
        }
      }
    }
  }

  private void notifyDispatcher(String host, LeaseEvent event) {
    LeaseDispatcher dispatcher = dispatchers.get(host);
    if (dispatcher != null) {
      applyEffects(host, dispatcher.handle(event, now));
    }
  }

  /**
   * Runs the simulation for some time.
   *
   * @param traffic the multiple of the usual traffic, which takes 0.72 of the capacity
   */
  void run(double traffic, long millis) {
    currentTraffic = traffic;
    advance(millis);
  }

  /** Limits the dispatcher's processor to one event or effect in the given time. */
  void limitProcessor(long micros) {
    eventMicros = micros;
  }

  /** Returns how many times a dispatcher gave up its role. */
  int roleChanges() {
    return roleChanges;
  }

  /** Returns the number of jobs completed in time. */
  int jobsInTime() {
    return statistics.values().stream().mapToInt(each -> each.inTime).sum();
  }

  JobStatistics statistics(Kind kind) {
    return statistics.get(kind);
  }

  /** Returns the statistics of the jobs that arrived in a failure domain. */
  JobStatistics statistics(String domain) {
    return statisticsByDomain.get(domain);
  }

  /** Returns the statistics of the jobs of one kind that arrived in a failure domain. */
  JobStatistics statistics(String domain, Kind kind) {
    return statisticsByDomainAndKind
        .computeIfAbsent(domain, created -> new EnumMap<>(Kind.class))
        .computeIfAbsent(kind, created -> new JobStatistics());
  }

  /** Slows some upstreams down, which announce themselves as before. */
  void slowDownUpstreams(int count, double factor) {
    upstreams.values().stream().limit(count).forEach(upstream -> upstream.slowFactor = factor);
  }

  /** Returns the number of submissions to other failure domains, relative to the jobs. */
  double crossingShare() {
    return (double) crossings.size() / totalOf(each -> each.jobs);
  }

  /** Returns the value of the answers to callers: a late answer counts a fifth of a prompt one. */
  double value() {
    return (totalOf(each -> each.inTime) + LATE_VALUE * totalOf(each -> each.late))
        / totalOf(each -> each.jobs);
  }

  private int totalOf(ToIntFunction<JobStatistics> count) {
    return statistics.values().stream().mapToInt(count).sum();
  }

  /** Returns the same value as the mean over the kinds of jobs, however many jobs each has. */
  double valueShare() {
    double sum = 0;
    for (JobStatistics each : statistics.values()) {
      sum += (each.inTime + 0.2 * each.late) / each.jobs;
    }
    return sum / statistics.size();
  }

  /** Returns the share of jobs completed in time, as the mean over the kinds of jobs. */
  double inTimeShare() {
    double sum = 0;
    for (JobStatistics each : statistics.values()) {
      sum += (double) each.inTime / each.jobs;
    }
    return sum / statistics.size();
  }

  /** Returns the share of jobs refused after a long wait, as the mean over the kinds of jobs. */
  double lateRefusalShare() {
    double sum = 0;
    for (JobStatistics each : statistics.values()) {
      sum += (double) each.lateRefusals / each.jobs;
    }
    return sum / statistics.size();
  }

  /** Returns a text with the statistics of each kind of job. */
  String report() {
    StringBuilder text = new StringBuilder();
    statistics.forEach((kind, each) -> text.append(kind).append(' ').append(each).append('\n'));
    if (!intakes.isEmpty()) {
      statisticsByDomain.forEach(
          (domain, each) -> text.append(domain).append(' ').append(each).append('\n'));
    }
    return text.append("in-time=")
        .append(inTimeShare())
        .append(" spills=")
        .append(spills)
        .append(" crossing=")
        .append(intakes.isEmpty() ? 0 : crossingShare())
        .toString();
  }

  private void advance(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      now = queue.peek().at;
      while (!queue.isEmpty() && queue.peek().at == now) {
        queue.remove().action.run();
      }
      dispatchers.forEach((host, dispatcher) -> applyEffects(host, dispatcher.place(now)));
    }
    now = until;
  }

  private void schedule(long millis, Runnable action) {
    sequence++;
    queue.add(new ScheduledAction(now + millis, sequence, action));
  }

  /** Passes an event to a dispatcher, after all earlier events if its processor is limited. */
  private void enqueue(String host, LeaseEvent event) {
    if (eventMicros == 0) {
      notifyDispatcher(host, event);
      return;
    }
    inbox.add(new QueuedEvent(host, event, now));
    if (inbox.size() == 1) {
      schedule(1, this::handleInbox);
    }
  }

  /** Handles events until the processor time of the current millisecond is used up. */
  private void handleInbox() {
    while (!inbox.isEmpty() && busyUntilMicros < (now + 1) * 1_000) {
      QueuedEvent next = inbox.remove();
      LeaseDispatcher dispatcher = dispatchers.get(next.host);
      List<LeaseEffect> effects = dispatcher.handle(next.event, next.arrivedAt, now);
      busyUntilMicros = Math.max(busyUntilMicros, now * 1_000) + eventMicros;
      applyEffects(next.host, effects);
    }
    if (!inbox.isEmpty()) {
      schedule(1, this::handleInbox);
    }
  }

  private void tick() {
    for (String host : List.copyOf(dispatchers.keySet())) {
      notifyDispatcher(host, new LeaseEvent.EntryHostMessageReceived("entry"));
      intakes
          .keySet()
          .forEach(entry -> notifyDispatcher(host, new LeaseEvent.EntryHostMessageReceived(entry)));
      notifyDispatcher(host, new LeaseEvent.Tick());
    }
    intakes.keySet().forEach(entry -> notifyIntake(entry, new IntakeEvent.Tick()));
    schedule(25, this::tick);
  }

  private void arrive(Kind kind) {
    LoadScenario.Traffic traffic = scenario.jobs().get(kind);
    final long runMillis = Math.max(5, Math.round(traffic.runMillis() * randomFactor(0.4)));
    String id = "w" + sequence;
    int tasks = Math.clamp(Math.round(kind.tasks * randomFactor(0.4)), 1, kind.tasks * 4);
    TaskSize size =
        new TaskSize(
            (int)
                Math.min(scenario.maxTaskCpu(), Math.round(scenario.taskCpu() * randomFactor(0.2))),
            64,
            0);
    double estimateFactor = 1 + MAX_ESTIMATE_ERROR * (random.nextDouble() * 2 - 1);
    WorkStep step = WorkStep.of(tasks, size, Math.round(runMillis * estimateFactor));
    submit(kind, id, step, runMillis);
    double intervalMillis =
        -Math.log(1 - random.nextDouble())
            * 1_000
            / (traffic.perSecond() * meanWave() * trafficFactors.get(kind) * currentTraffic);
    schedule(Math.max(1, Math.round(intervalMillis)), () -> arrive(kind));
  }

  /** Submits to the only dispatcher directly, or to a random entry host if there are any. */
  private void submit(Kind kind, String id, WorkStep step, long runMillis) {
    int entryHost = intakes.isEmpty() ? 0 : selectEntryHost();
    Job job = new Job(kind, domainOfEntryHost(entryHost), step.taskCount(), now, runMillis);
    WorkRequest request =
        new WorkRequest(
            id,
            kind.name(),
            "desk",
            "x",
            List.of(step),
            kind.priority,
            4,
            STRETCH,
            TARGET_MILLIS,
            scenario.callerTimeoutMillis(),
            sharesByDomain.getOrDefault(job.domain, 1.0));
    jobs.put(request.id(), job);
    statistics.get(kind).jobs++;
    statisticsByDomain.get(job.domain).jobs++;
    statistics(job.domain, kind).jobs++;
    if (intakes.isEmpty()) {
      enqueue(
          dispatchers.keySet().iterator().next(),
          new LeaseEvent.Submitted("entry", FIRST_TOKEN, sequence, request, 0, 0));
    } else {
      notifyIntake("entry" + entryHost, new IntakeEvent.RequestReceived(sequence, request));
    }
  }

  /** Returns a random entry host, of a domain that is drawn by its share of the traffic. */
  private int selectEntryHost() {
    if (scenario.swing() == 0 && trafficFactorsByDomain.isEmpty()) {
      return random.nextInt(ENTRY_HOSTS);
    }
    List<String> domains = scenario.domains();
    double point = random.nextDouble() * meanWave() * domains.size();
    int domain = 0;
    while (domain < domains.size() - 1 && point >= wave(domain)) {
      point -= wave(domain);
      domain++;
    }
    int hostsOfDomain = ENTRY_HOSTS / domains.size();
    return domain + domains.size() * random.nextInt(hostsOfDomain);
  }

  /** Returns the present traffic of a domain, relative to its mean. */
  private double wave(int domain) {
    double phase = (double) domain / scenario.domains().size();
    double turns = (double) now / scenario.wavePeriodMillis() + phase;
    double factor = trafficFactorsByDomain.getOrDefault(scenario.domains().get(domain), 1.0);
    return factor * (1 + scenario.swing() * Math.sin(2 * Math.PI * turns));
  }

  private double meanWave() {
    if (scenario.swing() == 0 && trafficFactorsByDomain.isEmpty()) {
      return 1;
    }
    return IntStream.range(0, scenario.domains().size())
        .mapToDouble(this::wave)
        .average()
        .orElse(1);
  }

  /** Returns an approximately log-normal random factor with mean 1 and the given spread. */
  private double randomFactor(double spread) {
    double normal = 0;
    for (int i = 0; i < 12; i++) {
      normal += random.nextDouble();
    }
    return Math.exp((normal - 6) * spread - spread * spread / 2);
  }

  private void applyEffects(String host, List<LeaseEffect> effects) {
    for (LeaseEffect effect : effects) {
      busyUntilMicros += effect instanceof LeaseEffect.LogEvent ? 0 : eventMicros;
      switch (effect) {
        case LeaseEffect.Start start -> {
          Upstream upstream = upstreams.get(start.upstream().id());
          schedule(1, () -> upstream.start(host, start));
        }
        case LeaseEffect.Renew renew -> {
          Upstream upstream = upstreams.get(renew.upstream().id());
          schedule(1, () -> upstream.renew(host, renew));
        }
        case LeaseEffect.Stop stop -> {
          Upstream upstream = upstreams.get(stop.upstream().id());
          schedule(1, () -> upstream.stop(host, stop));
        }
        case LeaseEffect.Report report -> forwardReport(host, report);
        case LeaseEffect.RegisterWork register ->
            sendLeaseEvent(
                register.registrar(),
                new LeaseEvent.WorkRegistered(
                    host,
                    register.registrarToken(),
                    register.token(),
                    register.workId(),
                    register.underWay()));
        case LeaseEffect.ConfirmRegistration confirm ->
            sendLeaseEvent(
                confirm.dispatcher(),
                new LeaseEvent.RegistrationConfirmed(
                    host, confirm.token(), confirm.workId(), confirm.quietPeriodMillis()));
        case LeaseEffect.DeferRegistration defer ->
            sendLeaseEvent(
                defer.dispatcher(),
                new LeaseEvent.RegistrationDeferred(
                    host, defer.token(), defer.workId(), defer.holder()));
        case LeaseEffect.DeregisterWork deregister ->
            sendLeaseEvent(
                deregister.registrar(),
                new LeaseEvent.WorkDeregistered(host, deregister.token(), deregister.workId()));
        case LeaseEffect.RoleReleased released -> roleChanges++;
        case LeaseEffect.Superseded superseded -> roleChanges++;
        case LeaseEffect.LogEvent logged -> {
          // The log isn't evaluated.
        }
      }
    }
  }

  /** Sends a message between dispatchers, which takes the processor time of one event. */
  private void sendLeaseEvent(String receiver, LeaseEvent event) {
    schedule(1, () -> enqueue(receiver, event));
  }

  private void forwardReport(String host, LeaseEffect.Report report) {
    if (intakes.isEmpty()) {
      recordAnswer(report.workId(), report.outcome());
    } else {
      IntakeEvent event = new IntakeEvent.OutcomeReported(host, report.workId(), report.outcome());
      schedule(1, () -> notifyIntake(report.entryHost(), event));
    }
  }

  private void recordAnswer(String workId, WorkOutcome outcome) {
    Job job = jobs.remove(workId);
    if (job == null) {
      return;
    }
    recordAnswer(statistics.get(job.kind), job, outcome);
    recordAnswer(statisticsByDomain.get(job.domain), job, outcome);
    recordAnswer(statistics(job.domain, job.kind), job, outcome);
  }

  private void recordAnswer(JobStatistics each, Job job, WorkOutcome outcome) {
    long age = now - job.arrivedAt;
    each.answered.add(new AnsweredJob(job.tasks, outcome instanceof WorkOutcome.Completed));
    double targetMillis = TARGET_MILLIS + STRETCH * job.runMillis;
    if (outcome instanceof WorkOutcome.Completed) {
      if (age <= targetMillis) {
        each.inTime++;
      } else {
        each.late++;
      }
    } else {
      each.refused++;
      each.longestRefusalMillis = Math.max(each.longestRefusalMillis, age);
      each.lateRefusals += age > targetMillis / 4 ? 1 : 0;
    }
  }

  /** The kinds of jobs. */
  enum Kind {
    CHECK(8, 0),
    CONFIRMATION(4, 2),
    LOOKUP(2, 1);

    private final int tasks;
    private final int priority;

    Kind(int tasks, int priority) {
      this.tasks = tasks;
      this.priority = priority;
    }
  }

  /** The answers to the callers of one kind of job. */
  static final class JobStatistics {

    int jobs;
    int inTime;
    int late;
    int refused;

    /** The number of refusals after more than a quarter of the job's target time. */
    int lateRefusals;

    /** The longest time from a job's arrival to its refusal, in milliseconds. */
    long longestRefusalMillis;

    private final List<AnsweredJob> answered = new ArrayList<>();

    /** Returns the share of the jobs that were completed, in time or late. */
    double servedShare() {
      return (double) (inTime + late) / jobs;
    }

    /**
     * Returns the share of the answered jobs that were completed among those of a tenth with the
     * most tasks.
     */
    double servedShareOfWidestTenth() {
      List<AnsweredJob> widest =
          answered.stream()
              .sorted(Comparator.comparingInt(AnsweredJob::tasks).reversed())
              .limit(Math.ceilDiv(answered.size(), 10))
              .toList();
      return (double) widest.stream().filter(AnsweredJob::completed).count() / widest.size();
    }

    @Override
    public String toString() {
      return "jobs=%d in-time=%.3f late=%.3f refused=%.3f late-refusals=%.3f longest-refusal=%d"
          .formatted(
              jobs,
              (double) inTime / jobs,
              (double) late / jobs,
              (double) refused / jobs,
              (double) lateRefusals / jobs,
              longestRefusalMillis);
    }
  }

  private record QueuedEvent(String host, LeaseEvent event, long arrivedAt) {}

  private record Job(Kind kind, String domain, int tasks, long arrivedAt, long runMillis) {}

  private record AnsweredJob(int tasks, boolean completed) {}

  private record ScheduledAction(long at, long sequence, Runnable action)
      implements Comparable<ScheduledAction> {

    @Override
    public int compareTo(ScheduledAction other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(sequence, other.sequence);
    }
  }

  /** An upstream that carries out all orders. */
  private final class Upstream {

    private UpstreamAnnouncement announcement;
    private boolean gone;
    private double speed = 1;
    private final Set<RunId> running = new LinkedHashSet<>();
    private final List<RunEnd> ended = new ArrayList<>();
    private LeaseEffect.@Nullable Renew openRenewal;
    private String holder = "";
    private long lastEndNumber;
    private double slowFactor = 1;
    private long coldUntil;

    Upstream(String id, String domain, int cpu) {
      announcement =
          new UpstreamAnnouncement(
              id, 1, 1, "desk", id + ":1", domain, false, new TaskSize(cpu, 65_536, 0), Set.of());
    }

    /** Ends all runs; a renewal that waits here gets no answer. */
    void restart() {
      running.clear();
      ended.clear();
      openRenewal = null;
    }

    boolean isOwnedBy(ShardId shard, ShardMap map) {
      return map.owner(announcement.id(), announcement.domain()).equals(Optional.of(shard));
    }

    void announceLeaving() {
      announcement =
          new UpstreamAnnouncement(
              announcement.id(),
              1,
              2,
              "desk",
              announcement.address(),
              announcement.domain(),
              true,
              announcement.capacity(),
              Set.of());
      List.copyOf(dispatchers.keySet())
          .forEach(host -> notifyDispatcher(host, new LeaseEvent.Announced(announcement)));
    }

    /** Ends with all runs; dispatchers learn of it, and answer nothing that was in flight. */
    void leave() {
      gone = true;
      running.clear();
      List.copyOf(dispatchers.keySet())
          .forEach(host -> notifyDispatcher(host, new LeaseEvent.Departed(announcement)));
    }

    void start(String host, LeaseEffect.Start start) {
      if (gone) {
        return;
      }
      running.add(start.run());
      Job job = jobs.get(start.run().task().work());
      long millis =
          job == null
              ? 1
              : Math.max(
                  1, Math.round(job.runMillis * randomFactor(0.15) * runFactor() * slowFactor));
      schedule(millis, () -> end(start.run(), RunEnd.Cause.DONE));
      enqueue(
          host,
          new LeaseEvent.StartAnswered(
              announcement, start.run(), OrderResult.DONE, OptionalLong.of(now)));
    }

    /** Returns the factor on the run time by this upstream's speed and the run's own luck. */
    private double runFactor() {
      boolean slow = scenario.slowTaskShare() > 0 && random.nextDouble() < scenario.slowTaskShare();
      return (slow ? scenario.slowTaskFactor() : 1) / speed;
    }

    void stop(String host, LeaseEffect.Stop stop) {
      if (gone) {
        return;
      }
      end(stop.run(), RunEnd.Cause.CUT_SHORT);
      enqueue(
          host,
          new LeaseEvent.StopAnswered(
              announcement, stop.run(), OrderResult.DONE, OptionalLong.of(now)));
    }

    void renew(String host, LeaseEffect.Renew renew) {
      if (gone) {
        return;
      }
      holder = host;
      ended.removeIf(end -> end.number() <= renew.acknowledgedEnd());
      openRenewal = renew;
      if (!ended.isEmpty() || renew.waitMillis() == 0) {
        answer(renew);
      } else {
        schedule(renew.waitMillis(), () -> answer(renew));
      }
    }

    private void end(RunId run, RunEnd.Cause cause) {
      if (running.remove(run)) {
        lastEndNumber++;
        ended.add(new RunEnd(lastEndNumber, run, cause));
        if (openRenewal != null) {
          answer(openRenewal);
        }
      }
    }

    private void answer(LeaseEffect.Renew renew) {
      if (renew.equals(openRenewal)) {
        openRenewal = null;
        List<RunId> runningNow = List.copyOf(running);
        List<RunEnd> ends = List.copyOf(ended);
        long clock = now;
        schedule(
            Math.max(1, coldUntil - now),
            () ->
                enqueue(
                    holder,
                    new LeaseEvent.RenewalAnswered(
                        announcement,
                        renew.renewalNumber(),
                        OrderResult.DONE,
                        OptionalLong.of(clock),
                        runningNow,
                        ends)));
      }
    }
  }
}
