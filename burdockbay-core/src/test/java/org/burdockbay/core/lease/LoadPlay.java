package org.burdockbay.core.lease;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.intake.IntakeEffect;
import org.burdockbay.core.intake.IntakeEvent;
import org.burdockbay.core.intake.WorkIntake;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.jspecify.annotations.Nullable;

/**
 * A dispatcher, sound upstreams of unequal size, and callers with three kinds of jobs, in simulated
 * time. Tells what the callers got.
 *
 * <p>Or several dispatchers, one for each shard, and entry hosts that choose among them by loads
 * that are old by up to a heartbeat.
 */
final class LoadPlay {

  /** Tasks of 14 of 32 or 48 cores: two or three fit into an upstream. */
  private static final int TASK_CPU = 14_000;

  private static final int UPSTREAMS = 33;
  private static final List<String> DOMAINS = List.of("north", "south", "east");
  private static final int ENTRY_HOSTS = 28;
  private static final long HEARTBEAT_MILLIS = 150;
  private static final long TOKEN = 1;
  private static final long PATIENCE_MILLIS = 2_500;
  private static final long TARGET_MILLIS = 60;
  private static final double STRETCH = 1.6;

  /** How far a caller's estimate may be off, either way. */
  private static final double ESTIMATE_ERROR = 0.4;

  private final SplittableRandom random;
  private final Map<String, LeaseDispatcher> dispatchers = new LinkedHashMap<>();
  private final Map<String, WorkIntake> intakes = new LinkedHashMap<>();
  private final PriorityQueue<Timed> queue = new PriorityQueue<>();
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<Kind, Figures> figures = new EnumMap<>(Kind.class);
  private long now = 100_000;
  private long order;
  private final double scale;
  private int spills;
  private double load = 1;
  private final Deque<Waiting> inbox = new ArrayDeque<>();

  /** What the processor needs for an event or an effect, in microseconds. */
  private long eventMicros;

  private long busyUntilMicros;
  private int changesOfRole;

  LoadPlay(long seed) {
    this(seed, UPSTREAMS, ShardLayout.UNDIVIDED);
  }

  /** Creates a play with traffic in proportion to the upstreams. */
  LoadPlay(long seed, int count, ShardLayout layout) {
    random = new SplittableRandom(seed);
    scale = (double) count / UPSTREAMS;
    for (Kind kind : Kind.values()) {
      figures.put(kind, new Figures());
    }
    Set<ShardId> shards = new LinkedHashSet<>();
    DOMAINS.forEach(domain -> shards.addAll(layout.shards(domain)));
    for (ShardId shard : shards) {
      LeaseDispatcher dispatcher = new LeaseDispatcher(shard.toString(), LeaseTerms.DEFAULT);
      dispatchers.put(shard.toString(), dispatcher);
      dispatcher.handle(new LeaseEvent.ScopeChanged(shard, shards), now);
    }
    for (int i = 0; i < count; i++) {
      Upstream upstream =
          new Upstream("u" + i, DOMAINS.get(i / 3 % DOMAINS.size()), i % 3 == 2 ? 48_000 : 32_000);
      upstreams.put(upstream.notice.id(), upstream);
      dispatchers.keySet().forEach(host -> tell(host, new LeaseEvent.Announced(upstream.notice)));
    }
    dispatchers.keySet().forEach(host -> tell(host, new LeaseEvent.RoleGained(TOKEN)));
    if (!layout.undivided()) {
      openEntryHosts(shards);
    }
    after(25, this::tick);
    advance(1_000);
    for (Kind kind : Kind.values()) {
      after(1, () -> arrive(kind));
    }
  }

  private void openEntryHosts(Set<ShardId> shards) {
    Map<ShardId, IntakeEvent.Dispatcher> known = new HashMap<>();
    shards.forEach(shard -> known.put(shard, new IntakeEvent.Dispatcher(shard.toString(), TOKEN)));
    for (int i = 0; i < ENTRY_HOSTS; i++) {
      String entry = "entry" + i;
      intakes.put(entry, new WorkIntake(entry, DOMAINS.get(i % DOMAINS.size()), 1_225));
      tellIntake(entry, new IntakeEvent.DispatchersChanged(known));
    }
    for (String host : dispatchers.keySet()) {
      after(random.nextLong(HEARTBEAT_MILLIS), () -> tellLoad(host));
    }
  }

  private void tellLoad(String host) {
    DomainLoad told = dispatchers.get(host).load();
    after(
        2,
        () -> intakes.keySet().forEach(it -> tellIntake(it, new IntakeEvent.LoadTold(host, told))));
    after(HEARTBEAT_MILLIS, () -> tellLoad(host));
  }

  private void tellIntake(String entry, IntakeEvent event) {
    for (IntakeEffect effect : intakes.get(entry).handle(event, now)) {
      switch (effect) {
        case IntakeEffect.Submit submit ->
            after(
                1,
                () ->
                    work(
                        submit.to().host(),
                        new LeaseEvent.Submitted(
                            entry,
                            TOKEN,
                            submit.ticket(),
                            submit.request(),
                            submit.ageMillis(),
                            submit.quietMillis())));
        case IntakeEffect.Answer answer -> answered(answer.request().id(), answer.outcome());
        case IntakeEffect.Note note -> spills += note.event().equals("work-spilled") ? 1 : 0;
        case IntakeEffect.Cancel cancel -> {
          // Of work whose time is over.
        }
      }
    }
  }

  private void tell(String host, LeaseEvent event) {
    carryOut(host, dispatchers.get(host).handle(event, now));
  }

  /** Plays a while at a multiple of the usual traffic, which takes 0.72 of all room. */
  void play(double traffic, long millis) {
    load = traffic;
    advance(millis);
  }

  /** Gives the dispatcher a processor that needs some time for each event and effect. */
  void slowProcessor(long micros) {
    eventMicros = micros;
  }

  /** Returns how often the dispatcher gave its role up. */
  int changesOfRole() {
    return changesOfRole;
  }

  /** Returns the number of jobs answered in time. */
  int jobsInTime() {
    return figures.values().stream().mapToInt(each -> each.inTime).sum();
  }

  Figures figures(Kind kind) {
    return figures.get(kind);
  }

  /** Makes some upstreams slow from now on, though they announce themselves as before. */
  void slowDown(int count, double factor) {
    upstreams.values().stream().limit(count).forEach(upstream -> upstream.slowness = factor);
  }

  /** Returns the share of all jobs, weighted so that each kind counts alike, answered in time. */
  double inTime() {
    double sum = 0;
    for (Figures each : figures.values()) {
      sum += (double) each.inTime / each.jobs;
    }
    return sum / figures.size();
  }

  /** Returns the share of all jobs, weighted alike, that were refused after a long wait. */
  double lateRefusals() {
    double sum = 0;
    for (Figures each : figures.values()) {
      sum += (double) each.lateRefusals / each.jobs;
    }
    return sum / figures.size();
  }

  /** Prints what each kind of job got. */
  String report() {
    StringBuilder text = new StringBuilder();
    figures.forEach((kind, each) -> text.append(kind).append(' ').append(each).append('\n'));
    return text.append("in-time=").append(inTime()).append(" spills=").append(spills).toString();
  }

  private void advance(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      now = queue.peek().at;
      while (!queue.isEmpty() && queue.peek().at == now) {
        queue.remove().action.run();
      }
      dispatchers.forEach((host, dispatcher) -> carryOut(host, dispatcher.place(now)));
    }
    now = until;
  }

  private void after(long millis, Runnable action) {
    order++;
    queue.add(new Timed(now + millis, order, action));
  }

  /** Hands work to a dispatcher once its processor gets to it. */
  private void work(String host, LeaseEvent event) {
    if (eventMicros == 0) {
      tell(host, event);
      return;
    }
    inbox.add(new Waiting(host, event, now));
    if (inbox.size() == 1) {
      after(1, this::handleInbox);
    }
  }

  /** Handles work until the millisecond is used up. */
  private void handleInbox() {
    while (!inbox.isEmpty() && busyUntilMicros < (now + 1) * 1_000) {
      Waiting next = inbox.remove();
      LeaseDispatcher dispatcher = dispatchers.get(next.host);
      List<LeaseEffect> effects = dispatcher.handle(next.event, next.arrivedAt, now);
      busyUntilMicros = Math.max(busyUntilMicros, now * 1_000) + eventMicros;
      carryOut(next.host, effects);
    }
    if (!inbox.isEmpty()) {
      after(1, this::handleInbox);
    }
  }

  private void tick() {
    for (String host : dispatchers.keySet()) {
      tell(host, new LeaseEvent.EntryHeard("entry"));
      intakes.keySet().forEach(entry -> tell(host, new LeaseEvent.EntryHeard(entry)));
      tell(host, new LeaseEvent.Tick());
    }
    intakes.keySet().forEach(entry -> tellIntake(entry, new IntakeEvent.Tick()));
    after(25, this::tick);
  }

  private void arrive(Kind kind) {
    Job job = new Job(kind, now, Math.max(5, Math.round(kind.runMillis * spread(0.4))));
    String id = "w" + order;
    jobs.put(id, job);
    figures.get(kind).jobs++;
    int tasks = Math.clamp(Math.round(kind.tasks * spread(0.4)), 1, kind.tasks * 4);
    TaskSize size = new TaskSize((int) Math.min(20_000, Math.round(TASK_CPU * spread(0.2))), 64, 0);
    double off = 1 + ESTIMATE_ERROR * (random.nextDouble() * 2 - 1);
    WorkStep step = WorkStep.of(tasks, size, Math.round(job.runMillis * off));
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
            PATIENCE_MILLIS);
    submit(request);
    double gap = -Math.log(1 - random.nextDouble()) * 1_000 / (kind.perSecond * scale * load);
    after(Math.max(1, Math.round(gap)), () -> arrive(kind));
  }

  /** Submits to the one dispatcher at no cost, or to an entry host. */
  private void submit(WorkRequest request) {
    if (intakes.isEmpty()) {
      work(
          dispatchers.keySet().iterator().next(),
          new LeaseEvent.Submitted("entry", TOKEN, order, request, 0, 0));
    } else {
      String entry = "entry" + random.nextInt(ENTRY_HOSTS);
      tellIntake(entry, new IntakeEvent.Opened(order, request));
    }
  }

  /** Returns a factor around 1 with the given spread. */
  private double spread(double spread) {
    double normal = 0;
    for (int i = 0; i < 12; i++) {
      normal += random.nextDouble();
    }
    return Math.exp((normal - 6) * spread - spread * spread / 2);
  }

  private void carryOut(String host, List<LeaseEffect> effects) {
    for (LeaseEffect effect : effects) {
      busyUntilMicros += effect instanceof LeaseEffect.Note ? 0 : eventMicros;
      switch (effect) {
        case LeaseEffect.Start start -> {
          Upstream upstream = upstreams.get(start.upstream().id());
          after(1, () -> upstream.start(host, start));
        }
        case LeaseEffect.Renew renew -> {
          Upstream upstream = upstreams.get(renew.upstream().id());
          after(1, () -> upstream.renew(host, renew));
        }
        case LeaseEffect.Stop stop -> {
          Upstream upstream = upstreams.get(stop.upstream().id());
          after(1, () -> upstream.stop(host, stop));
        }
        case LeaseEffect.Report report -> passOn(host, report);
        case LeaseEffect.Stalled stalled -> changesOfRole++;
        case LeaseEffect.Outranked outranked -> changesOfRole++;
        case LeaseEffect.Note note -> {
          // Decisions are of no interest here.
        }
      }
    }
  }

  private void passOn(String host, LeaseEffect.Report report) {
    if (intakes.isEmpty()) {
      answered(report.workId(), report.outcome());
    } else {
      IntakeEvent told = new IntakeEvent.Reported(host, report.workId(), report.outcome());
      after(1, () -> tellIntake(report.entryHost(), told));
    }
  }

  private void answered(String workId, WorkOutcome outcome) {
    Job job = jobs.remove(workId);
    if (job == null) {
      return;
    }
    Figures each = figures.get(job.kind);
    long age = now - job.arrivedAt;
    double aim = TARGET_MILLIS + STRETCH * job.runMillis;
    if (outcome instanceof WorkOutcome.Completed) {
      if (age <= aim) {
        each.inTime++;
      } else {
        each.late++;
      }
    } else {
      each.refused++;
      each.longestRefusal = Math.max(each.longestRefusal, age);
      each.lateRefusals += age > aim / 4 ? 1 : 0;
    }
  }

  /** The kinds of jobs, with what a second brings of each. */
  enum Kind {
    CHECK(24.1, 8, 60, 0),
    CONFIRMATION(4.37, 4, 900, 2),
    LOOKUP(70, 2, 200, 1);

    private final double perSecond;
    private final int tasks;
    private final long runMillis;
    private final int priority;

    Kind(double perSecond, int tasks, long runMillis, int priority) {
      this.perSecond = perSecond;
      this.tasks = tasks;
      this.runMillis = runMillis;
      this.priority = priority;
    }
  }

  /** What the callers of one kind got. */
  static final class Figures {

    int jobs;
    int inTime;
    int late;
    int refused;

    /** Refusals that came later than a quarter of the time that a prompt answer may take. */
    int lateRefusals;

    /** The longest time after which a caller heard that it isn't served, in milliseconds. */
    long longestRefusal;

    @Override
    public String toString() {
      return "jobs=%d in-time=%.3f late=%.3f refused=%.3f late-refusals=%.3f longest-refusal=%d"
          .formatted(
              jobs,
              (double) inTime / jobs,
              (double) late / jobs,
              (double) refused / jobs,
              (double) lateRefusals / jobs,
              longestRefusal);
    }
  }

  private record Waiting(String host, LeaseEvent event, long arrivedAt) {}

  private record Job(Kind kind, long arrivedAt, long runMillis) {}

  private record Timed(long at, long order, Runnable action) implements Comparable<Timed> {

    @Override
    public int compareTo(Timed other) {
      return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
    }
  }

  /** A sound upstream. */
  private final class Upstream {

    private final UpstreamNotice notice;
    private final Set<RunId> running = new LinkedHashSet<>();
    private final List<RunEnd> ended = new ArrayList<>();
    private LeaseEffect.@Nullable Renew waiting;
    private String holder = "";
    private long lastEnd;
    private double slowness = 1;

    Upstream(String id, String domain, int cpu) {
      notice =
          new UpstreamNotice(
              id, 1, 1, "desk", id + ":1", domain, false, new TaskSize(cpu, 65_536, 0), Set.of());
    }

    void start(String host, LeaseEffect.Start start) {
      running.add(start.run());
      Job job = jobs.get(start.run().task().work());
      long millis =
          job == null ? 1 : Math.max(1, Math.round(job.runMillis * spread(0.15) * slowness));
      after(millis, () -> end(start.run(), RunEnd.Cause.DONE));
      work(
          host,
          new LeaseEvent.StartAnswered(
              notice, start.run(), OrderResult.DONE, OptionalLong.of(now)));
    }

    void stop(String host, LeaseEffect.Stop stop) {
      end(stop.run(), RunEnd.Cause.CUT_SHORT);
      work(
          host,
          new LeaseEvent.StopAnswered(notice, stop.run(), OrderResult.DONE, OptionalLong.of(now)));
    }

    void renew(String host, LeaseEffect.Renew renew) {
      holder = host;
      ended.removeIf(end -> end.number() <= renew.acknowledged());
      waiting = renew;
      if (!ended.isEmpty() || renew.waitMillis() == 0) {
        answer(renew);
      } else {
        after(renew.waitMillis(), () -> answer(renew));
      }
    }

    private void end(RunId run, RunEnd.Cause cause) {
      if (running.remove(run)) {
        lastEnd++;
        ended.add(new RunEnd(lastEnd, run, cause));
        if (waiting != null) {
          answer(waiting);
        }
      }
    }

    private void answer(LeaseEffect.Renew renew) {
      if (renew.equals(waiting)) {
        waiting = null;
        List<RunId> list = List.copyOf(running);
        List<RunEnd> ends = List.copyOf(ended);
        long clock = now;
        after(
            1,
            () ->
                work(
                    holder,
                    new LeaseEvent.RenewalAnswered(
                        notice,
                        renew.renewal(),
                        OrderResult.DONE,
                        OptionalLong.of(clock),
                        list,
                        ends)));
      }
    }
  }
}
