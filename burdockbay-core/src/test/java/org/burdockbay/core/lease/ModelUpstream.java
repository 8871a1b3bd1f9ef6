package org.burdockbay.core.lease;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import org.burdockbay.core.fleet.UpstreamNotice;
import org.burdockbay.core.work.RunId;
import org.burdockbay.core.work.TaskId;
import org.burdockbay.core.work.TaskSize;

/** An upstream as the dispatcher's contract describes it: leases, fences, runs and their ends. */
final class ModelUpstream {

  static final TaskSize CAPACITY = new TaskSize(32_000, 64_000, 0);

  private static final long LONGEST_LEASE = 1_000;

  final String id;
  final String domain;
  final double clockRate;
  private final LeaseModel model;
  private final Map<RunId, Run> running = new LinkedHashMap<>();
  private final Map<TaskId, Long> highestEnded = new HashMap<>();
  private final List<RunEnd> ended = new ArrayList<>();
  private final List<Poll> polls = new ArrayList<>();
  boolean up = true;
  boolean leaving;
  boolean failsAll;
  boolean hangs;
  long sequence;
  private long born;
  private long token;
  private long deadline;
  private long lastEnd;

  ModelUpstream(LeaseModel model, String id, String domain, double clockRate) {
    this.model = model;
    this.id = id;
    this.domain = domain;
    this.clockRate = clockRate;
    this.born = 1;
  }

  UpstreamNotice notice() {
    return new UpstreamNotice(
        id, born, sequence, "desk", id + ":1", domain, leaving, CAPACITY, Set.of("a"));
  }

  /** Ends the life; what runs ends with it. */
  void crash() {
    up = false;
    List.copyOf(running.keySet()).forEach(run -> end(run, null));
    ended.clear();
    highestEnded.clear();
    polls.clear();
    token = 0;
    deadline = 0;
    lastEnd = 0;
  }

  /** Meets a token of a dispatcher that is no part of the model. */
  void meets(long strangeToken) {
    token = Math.max(token, strangeToken);
  }

  long token() {
    return token;
  }

  void restart() {
    if (up) {
      return;
    }
    up = true;
    leaving = false;
    born = model.now();
    sequence = 0;
  }

  long clock() {
    return (long) (model.now() * clockRate);
  }

  OrderResult start(LeaseEffect.Start start) {
    OrderResult refusal = check(start.upstream(), start.token());
    if (refusal != null) {
      return refusal;
    }
    RunId id = start.run();
    if (running.containsKey(id)) {
      extend(start.deadlineMillis());
      return OrderResult.DONE;
    }
    if (start.deadlineMillis() <= clock()) {
      return OrderResult.LATE;
    }
    extend(start.deadlineMillis());
    boolean older =
        running.keySet().stream()
            .anyMatch(run -> run.task().equals(id.task()) && run.run() >= id.run());
    if (older || highestEnded.getOrDefault(id.task(), 0L) >= id.run()) {
      return OrderResult.OLD;
    }
    int used = running.size() * LeaseModel.TASK_CPU;
    if (used + LeaseModel.TASK_CPU > CAPACITY.cpuMillicores()) {
      return OrderResult.NO_ROOM;
    }
    Run run = new Run(id);
    running.put(id, run);
    model.began(id, this);
    if (!hangs) {
      model.after(model.workMillis(), () -> finish(run));
    }
    return OrderResult.DONE;
  }

  OrderResult stop(LeaseEffect.Stop stop) {
    OrderResult refusal = check(stop.upstream(), stop.token());
    if (refusal != null) {
      return refusal;
    }
    highestEnded.merge(stop.run().task(), stop.run().run(), Math::max);
    Run run = running.get(stop.run());
    if (run != null) {
      model.after(model.random().nextLong(50), () -> endIfRunning(run, RunEnd.Cause.CUT_SHORT));
    }
    return OrderResult.DONE;
  }

  /** Answers at once, or when something ends, or when the wait is over. */
  void renew(LeaseEffect.Renew renew, Consumer<LeaseEvent.RenewalAnswered> answer) {
    OrderResult refusal = check(renew.upstream(), renew.token());
    if (refusal != null) {
      answer.accept(answered(renew, refusal));
      return;
    }
    extend(renew.deadlineMillis());
    ended.removeIf(end -> end.number() <= renew.acknowledged());
    Poll poll = new Poll(renew, answer);
    if (!ended.isEmpty() || renew.waitMillis() == 0) {
      poll.answer();
    } else {
      polls.add(poll);
      model.after(renew.waitMillis(), poll::answer);
    }
  }

  private LeaseEvent.RenewalAnswered answered(LeaseEffect.Renew renew, OrderResult result) {
    boolean done = result == OrderResult.DONE;
    return new LeaseEvent.RenewalAnswered(
        renew.upstream(),
        renew.renewal(),
        result,
        result == OrderResult.OTHER_LIFE ? OptionalLong.empty() : OptionalLong.of(clock()),
        done ? List.copyOf(running.keySet()) : List.of(),
        done ? ended : List.of());
  }

  private OrderResult check(UpstreamNotice meant, long given) {
    if (meant.bornMillis() != born) {
      return OrderResult.OTHER_LIFE;
    }
    if (given < token) {
      return OrderResult.FENCED;
    }
    token = given;
    return null;
  }

  private void extend(long until) {
    long capped = Math.min(until, clock() + LONGEST_LEASE);
    if (capped > deadline) {
      deadline = capped;
      long lifeNow = born;
      long left = (long) Math.ceil((capped - clock()) / clockRate) + 1;
      model.after(left, () -> lapse(lifeNow));
    }
  }

  private void lapse(long life) {
    if (up && life == born && clock() >= deadline) {
      List.copyOf(running.keySet()).forEach(run -> end(run, RunEnd.Cause.CUT_SHORT));
    }
  }

  private void finish(Run run) {
    endIfRunning(run, failsAll ? RunEnd.Cause.FAILED : RunEnd.Cause.DONE);
  }

  private void endIfRunning(Run run, RunEnd.Cause cause) {
    if (running.get(run.id) == run) {
      end(run.id, cause);
    }
  }

  private void end(RunId id, RunEnd.Cause cause) {
    running.remove(id);
    highestEnded.merge(id.task(), id.run(), Math::max);
    model.ended(id, this, cause);
    if (cause != null) {
      lastEnd++;
      ended.add(new RunEnd(lastEnd, id, cause));
      List<Poll> waiting = List.copyOf(polls);
      polls.clear();
      waiting.forEach(Poll::answer);
    }
  }

  private static final class Run {

    private final RunId id;

    Run(RunId id) {
      this.id = id;
    }
  }

  private final class Poll {

    private final LeaseEffect.Renew renew;
    private final Consumer<LeaseEvent.RenewalAnswered> answer;
    private final long life = born;
    private boolean answered;

    Poll(LeaseEffect.Renew renew, Consumer<LeaseEvent.RenewalAnswered> answer) {
      this.renew = renew;
      this.answer = answer;
    }

    void answer() {
      if (!answered && up && life == born) {
        answered = true;
        polls.remove(this);
        answer.accept(answered(renew, OrderResult.DONE));
      }
    }
  }
}
