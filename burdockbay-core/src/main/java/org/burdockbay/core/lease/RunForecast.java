package org.burdockbay.core.lease;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.profile.UpstreamProfiles;

/**
 * Predicts run times of tasks by the profiles of upstreams and by finished siblings, the other
 * tasks of the same step.
 *
 * <p>Run times at usual speed are those on an upstream of speed 1.
 */
final class RunForecast {

  /** The standard deviation of the logarithm of the run times of siblings at usual speed. */
  private static final double SIBLING_SPREAD = 0.15;

  /** The 0.9 quantile of the standard normal distribution. */
  private static final double UPPER_TENTH_DEVIATIONS = 1.28;

  private final UpstreamProfiles profiles;

  RunForecast(UpstreamProfiles profiles) {
    this.profiles = profiles;
  }

  /**
   * Records a finished run, for the profiles of the upstream and the queue and for the normal time
   * of the task's siblings.
   *
   * <p>A run whose start was sent several times, or by an earlier dispatcher, began at an unknown
   * time and isn't recorded.
   */
  void recordFinished(LeasedRun run, TaskState task, long runMillis) {
    if (run.startsSent != 1) {
      return;
    }
    UpstreamAnnouncement upstream = run.upstream.announcement;
    profiles.recordRun(upstream, task.work.request.queue(), task.step.estimateMillis(), runMillis);
    task.usualRunMillis = Math.max(1, runMillis) * profiles.speed(upstream);
  }

  /** Returns the run time at usual speed that nine tenths of such tasks don't exceed. */
  double upperTenthMillis(TaskState task) {
    OptionalDouble normal = siblingMillis(task);
    return normal.isPresent()
        ? normal.getAsDouble() * Math.exp(UPPER_TENTH_DEVIATIONS * SIBLING_SPREAD)
        : profiles.upperTenthMillis(task.work.request.queue(), task.step.estimateMillis());
  }

  /**
   * Returns the deadline for a prompt answer, in milliseconds: by the caller's estimate, corrected
   * by the finished siblings if there are any.
   */
  double promptAnswerDeadline(TaskState task) {
    long estimateMillis = task.step.estimateMillis();
    double normalMillis = siblingMillis(task).orElse((double) estimateMillis);
    return task.work.promptAnswerDeadline()
        + task.work.request.stretch() * (normalMillis - estimateMillis);
  }

  /**
   * Returns the normal run time of a task at usual speed by its finished siblings, in milliseconds;
   * empty if there are none.
   *
   * <p>The median of the finished siblings is corrected for its rank among all that have started:
   * the siblings that finish first are the fastest. Without the correction, the time would be too
   * short until most of them have finished.
   */
  private static OptionalDouble siblingMillis(TaskState task) {
    List<TaskState> siblings = task.work.steps.get(task.id.step());
    double[] finished =
        siblings.stream()
            .mapToDouble(sibling -> sibling.usualRunMillis)
            .filter(millis -> millis > 0)
            .toArray();
    if (finished.length == 0) {
      return OptionalDouble.empty();
    }
    Arrays.sort(finished);
    int middle = (finished.length - 1) / 2;
    long started =
        siblings.stream()
            .filter(sibling -> sibling == task || sibling.done || sibling.run != null)
            .count();
    double share = (middle + 1 - 0.375) / (Math.max(started, finished.length) + 0.25);
    return OptionalDouble.of(
        finished[middle] * Math.exp(-SIBLING_SPREAD * standardNormalQuantile(share)));
  }

  /** Returns a quantile of the standard normal distribution, within 0.01 of the exact value. */
  private static double standardNormalQuantile(double share) {
    return 4.91 * (Math.pow(share, 0.14) - Math.pow(1 - share, 0.14));
  }
}
