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
import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskSize;
import org.burdockbay.core.work.WorkOutcome;
import org.burdockbay.core.work.WorkRequest;
import org.burdockbay.core.work.WorkStep;
import org.jspecify.annotations.Nullable;

/**
 * A dispatcher, sound upstreams of unequal size, and callers with three kinds of jobs, in simulated
 * time. Tells what the callers got.
 */
final class LoadPlay {

  /** Tasks of 14 of 32 or 48 cores: two or three fit into an upstream. */
  private static final int TASK_CPU = 14_000;

  private static final int UPSTREAMS = 33;
  private static final long TOKEN = 1;
  private static final long PATIENCE_MILLIS = 2_500;
  private static final long TARGET_MILLIS = 60;
  private static final double STRETCH = 1.6;

  /** How far a caller's estimate may be off, either way. */
  private static final double ESTIMATE_ERROR = 0.4;

  private final SplittableRandom random;
  private final LeaseDispatcher dispatcher = new LeaseDispatcher("self", LeaseTerms.DEFAULT);
  private final PriorityQueue<Timed> queue = new PriorityQueue<>();
  private final Deque<Waiting> inbox = new ArrayDeque<>();
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<String, Job> jobs = new HashMap<>();
  private final Map<Kind, Figures> figures = new EnumMap<>(Kind.class);
  private long now = 100_000;
  private long order;
  private double load = 1;

  /** What the processor needs for an event or an effect, in microseconds. */
  private long eventMicros;

  private long busyUntilMicros;
  private int changesOfRole;

  LoadPlay(long seed) {
    random = new SplittableRandom(seed);
    for (Kind kind : Kind.values()) {
      figures.put(kind, new Figures());
    }
    for (int i = 0; i < UPSTREAMS; i++) {
      Upstream upstream = new Upstream("u" + i, i % 3 == 2 ? 48_000 : 32_000);
      upstreams.put(upstream.notice.id(), upstream);
      carryOut(dispatcher.handle(new LeaseEvent.Announced(upstream.notice), now));
    }
    carryOut(dispatcher.handle(new LeaseEvent.RoleGained(TOKEN), now));
    after(25, this::tick);
    advance(1_000);
    for (Kind kind : Kind.values()) {
      after(1, () -> arrive(kind));
    }
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
    return text.append("in-time=").append(inTime()).toString();
  }

  private void advance(long millis) {
    long until = now + millis;
    while (!queue.isEmpty() && queue.peek().at <= until) {
      now = queue.peek().at;
      while (!queue.isEmpty() && queue.peek().at == now) {
        queue.remove().action.run();
      }
      carryOut(dispatcher.place(now));
    }
    now = until;
  }

  private void after(long millis, Runnable action) {
    order++;
    queue.add(new Timed(now + millis, order, action));
  }

  /** Hands work to the dispatcher once its processor gets to it. */
  private void work(LeaseEvent event) {
    if (eventMicros == 0) {
      carryOut(dispatcher.handle(event, now));
      return;
    }
    inbox.add(new Waiting(event, now));
    if (inbox.size() == 1) {
      after(1, this::handleInbox);
    }
  }

  /** Handles work until the millisecond is used up. */
  private void handleInbox() {
    while (!inbox.isEmpty() && busyUntilMicros < (now + 1) * 1_000) {
      Waiting next = inbox.remove();
      List<LeaseEffect> effects = dispatcher.handle(next.event, next.arrivedAt, now);
      busyUntilMicros = Math.max(busyUntilMicros, now * 1_000) + eventMicros;
      carryOut(effects);
    }
    if (!inbox.isEmpty()) {
      after(1, this::handleInbox);
    }
  }

  private void tick() {
    carryOut(dispatcher.handle(new LeaseEvent.EntryHeard("entry"), now));
    carryOut(dispatcher.handle(new LeaseEvent.Tick(), now));
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
    work(new LeaseEvent.Submitted("entry", TOKEN, order, request, 0, 0));
    double gap = -Math.log(1 - random.nextDouble()) * 1_000 / (kind.perSecond * load);
    after(Math.max(1, Math.round(gap)), () -> arrive(kind));
  }

  /** Returns a factor around 1 with the given spread. */
  private double spread(double spread) {
    double normal = 0;
    for (int i = 0; i < 12; i++) {
      normal += random.nextDouble();
    }
    return Math.exp((normal - 6) * spread - spread * spread / 2);
  }

  private void carryOut(List<LeaseEffect> effects) {
    for (LeaseEffect effect : effects) {
      busyUntilMicros += effect instanceof LeaseEffect.Note ? 0 : eventMicros;
      switch (effect) {
        case LeaseEffect.Start start -> {
          Upstream upstream = upstreams.get(start.upstream().id());
          after(1, () -> upstream.start(start));
        }
        case LeaseEffect.Renew renew -> {
          Upstream upstream = upstreams.get(renew.upstream().id());
          after(1, () -> upstream.renew(renew));
        }
        case LeaseEffect.Stop stop -> {
          Upstream upstream = upstreams.get(stop.upstream().id());
          after(1, () -> upstream.stop(stop));
        }
        case LeaseEffect.Report report -> answered(report);
        case LeaseEffect.Stalled stalled -> changesOfRole++;
        case LeaseEffect.Outranked outranked -> changesOfRole++;
        case LeaseEffect.Note note -> {
          // Decisions are of no interest here.
        }
      }
    }
  }

  private void answered(LeaseEffect.Report report) {
    Job job = jobs.remove(report.workId());
    if (job == null) {
      return;
    }
    Figures each = figures.get(job.kind);
    long age = now - job.arrivedAt;
    double aim = TARGET_MILLIS + STRETCH * job.runMillis;
    if (report.outcome() instanceof WorkOutcome.Completed) {
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

  private record Job(Kind kind, long arrivedAt, long runMillis) {}

  private record Waiting(LeaseEvent event, long arrivedAt) {}

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
    private long lastEnd;
    private double slowness = 1;

    Upstream(String id, int cpu) {
      notice =
          new UpstreamNotice(
              id, 1, 1, "desk", id + ":1", "north", false, new TaskSize(cpu, 65_536, 0), Set.of());
    }

    void start(LeaseEffect.Start start) {
      running.add(start.run());
      Job job = jobs.get(start.run().task().work());
      long millis =
          job == null ? 1 : Math.max(1, Math.round(job.runMillis * spread(0.15) * slowness));
      after(millis, () -> end(start.run(), RunEnd.Cause.DONE));
      work(
          new LeaseEvent.StartAnswered(
              notice, start.run(), OrderResult.DONE, OptionalLong.of(now)));
    }

    void stop(LeaseEffect.Stop stop) {
      end(stop.run(), RunEnd.Cause.CUT_SHORT);
      work(new LeaseEvent.StopAnswered(notice, stop.run(), OrderResult.DONE, OptionalLong.of(now)));
    }

    void renew(LeaseEffect.Renew renew) {
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
