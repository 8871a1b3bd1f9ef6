package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.runner.AttemptOutcome;
import org.burdockbay.core.runner.AttemptReport;
import org.burdockbay.core.runner.AttemptStatus;
import org.burdockbay.core.runner.RunnerAnnouncement;
import org.burdockbay.core.runner.RunnerId;
import org.burdockbay.core.submission.AttemptId;

/** A minimal runner that implements the runner protocol. */
final class ModelRunner {

  static final int SLOTS = 2;
  private static final long MIN_RUN_MILLIS = 60;

  final String name;
  final String domain;
  boolean down;
  private final DispatchModel model;
  private final Map<AttemptId, Run> runs = new HashMap<>();
  private final Set<AttemptId> refusedAttempts = new HashSet<>();
  private long incarnation = 1;
  private long epoch;

  ModelRunner(DispatchModel model, String name, String domain) {
    this.model = model;
    this.name = name;
    this.domain = domain;
  }

  RunnerId id() {
    return new RunnerId(name, incarnation);
  }

  RunnerAnnouncement announcement() {
    return new RunnerAnnouncement(
        id(), name, Set.of(DispatchModel.SERVICE), Set.of(), SLOTS, false);
  }

  /** Replaces the process by a new one without any state. */
  void restart() {
    incarnation++;
    runs.clear();
    refusedAttempts.clear();
    epoch = 0;
  }

  /** Returns the outcome of a start call, or null while the attempt is running. */
  AttemptOutcome start(DispatchEffect.StartAttempt call) {
    if (down || !call.runner().equals(id())) {
      return new AttemptOutcome.Rejected("not this run of the runner");
    }
    if (call.epoch() < epoch) {
      return new AttemptOutcome.Fenced(epoch);
    }
    epoch = call.epoch();
    Run known = runs.get(call.attempt());
    if (known != null) {
      known.startCalls.add(call);
      return known.outcome;
    }
    if (refusedAttempts.contains(call.attempt())) {
      return new AttemptOutcome.Rejected("asked after before it arrived");
    }
    if (runningCount() >= SLOTS) {
      return new AttemptOutcome.Rejected("busy");
    }
    long millis = MIN_RUN_MILLIS + Math.floorMod(call.attempt().hashCode(), 300);
    Run run = new Run(call.payload(), model.now() + millis);
    run.startCalls.add(call);
    runs.put(call.attempt(), run);
    model.recordStart(call.attempt(), call.payload());
    return null;
  }

  AttemptStatus query(DispatchEffect.QueryAttempt call) {
    if (down || !call.runner().equals(id())) {
      return new AttemptStatus.Unreachable("down");
    }
    Run run = runs.get(call.attempt());
    if (run == null) {
      refusedAttempts.add(call.attempt());
      return new AttemptStatus.NeverBegan();
    }
    return status(run);
  }

  void cancel(List<AttemptId> attempts) {
    for (AttemptId attempt : attempts) {
      Run run = runs.get(attempt);
      if (run != null && run.outcome == null) {
        endRun(run, new AttemptOutcome.Failed("cancelled"));
      }
    }
  }

  /** Accepts the epoch and returns the list of attempts, or null if a higher epoch was accepted. */
  List<AttemptReport> fence(long newEpoch) {
    if (newEpoch < epoch) {
      return null;
    }
    epoch = newEpoch;
    List<AttemptReport> reports = new ArrayList<>();
    runs.forEach((attempt, run) -> reports.add(new AttemptReport(attempt, status(run))));
    return reports;
  }

  long epoch() {
    return epoch;
  }

  /** Ends the runs whose time has elapsed. */
  void tick() {
    if (!down) {
      List.copyOf(runs.values()).stream()
          .filter(run -> run.outcome == null && run.endsAt <= model.now())
          .forEach(run -> endRun(run, new AttemptOutcome.Succeeded("answer to " + run.payload)));
    }
  }

  private void endRun(Run run, AttemptOutcome outcome) {
    run.outcome = outcome;
    run.startCalls.forEach(call -> model.answerStart(this, call, outcome));
  }

  private int runningCount() {
    return (int) runs.values().stream().filter(run -> run.outcome == null).count();
  }

  private static AttemptStatus status(Run run) {
    return run.outcome == null
        ? new AttemptStatus.Running()
        : new AttemptStatus.Finished(run.outcome);
  }

  private static final class Run {

    private final String payload;
    private final long endsAt;
    private final List<DispatchEffect.StartAttempt> startCalls = new ArrayList<>();
    private AttemptOutcome outcome;

    Run(String payload, long endsAt) {
      this.payload = payload;
      this.endsAt = endsAt;
    }
  }
}
