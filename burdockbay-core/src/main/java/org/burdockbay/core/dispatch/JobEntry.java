package org.burdockbay.core.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.burdockbay.core.configuration.JobRule;
import org.burdockbay.core.statechart.StateChart;
import org.burdockbay.core.submission.JobOutcome;
import org.burdockbay.core.submission.JobRequest;
import org.jspecify.annotations.Nullable;

/** A job at the dispatcher; its state is a state of {@code job.chart}. */
final class JobEntry {

  final JobRequest request;
  final JobRule rule;
  final long arrivedAt;
  final long deadlineAt;
  final List<TaskEntry> tasks;
  final Set<String> waitingHosts = new LinkedHashSet<>(2);
  String state;
  int unfinishedTasks;
  boolean started;
  boolean reported;

  /** Whether an earlier dispatcher may have started tasks of the job. */
  boolean mayHaveStarted;

  /** Whether the ledger has recorded the intent to run. */
  boolean intentGranted;

  boolean cancelled;

  /** Whether the job is finished, and kept for resubmissions. */
  boolean isRetained;

  long nextCloseAt;
  long finishedAt;
  JobOutcome.@Nullable Failed refusal;
  @Nullable JobOutcome outcome;

  JobEntry(JobRequest request, JobRule rule, long now, StateChart chart) {
    this.request = request;
    this.rule = rule;
    this.arrivedAt = now;
    this.deadlineAt = now + request.remainingMillis();
    this.state = chart.initialState();
    this.unfinishedTasks = request.tasks().size();
    this.tasks = new ArrayList<>(unfinishedTasks);
    for (int i = 0; i < unfinishedTasks; i++) {
      tasks.add(new TaskEntry(this, i));
    }
  }

  /** Returns whether the job must run at most once, which the ledger ensures. */
  boolean isAtMostOnce() {
    return !rule.idempotent();
  }

  boolean isInState(String name) {
    return state.equals(name);
  }
}
