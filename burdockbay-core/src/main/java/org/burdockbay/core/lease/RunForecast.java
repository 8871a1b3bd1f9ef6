package org.burdockbay.core.lease;

import java.util.Arrays;
import java.util.List;
import java.util.OptionalDouble;
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
   * Records the run time of a task for the profiles of the upstream and the queue.
   *
   * <p>A run whose start was sent several times, or by an earlier dispatcher, began at an unknown
   * time and isn't recorded.
   *
   * @param runMillis the run time of a finished run, or the age at which a slow run was stopped
   */
  void record(LeasedRun run, TaskState task, long runMillis) {
    if (!profiles.isInForce() || run.startsSent != 1) {
      return;
    }
    String queue = task.work.request.queue();
    double speed = profiles.speed(run.upstream.announcement);
    OptionalDouble normal = siblingMillis(task);
    if (normal.isPresent()) {
      profiles.recordNormalRatio(queue, runMillis * speed / normal.getAsDouble());
    }
    profiles.recordRun(run.upstream.announcement, queue, task.step.estimateMillis(), runMillis);
  }

  /** Records a finished run, for the profiles and for the normal time of the task's siblings. */
  void recordFinished(LeasedRun run, TaskState task, long runMillis) {
    record(run, task, runMillis);
    if (run.startsSent == 1) {
      task.usualRunMillis = Math.max(1, runMillis) * profiles.speed(run.upstream.announcement);
    }
  }

  /**
   * Returns the age above which a run on an upstream of the given speed is slow, apart from a fixed
   * allowance, in milliseconds.
   */
  double slowRunMillis(TaskState task, double speed) {
    String queue = task.work.request.queue();
    OptionalDouble normal = siblingMillis(task);
    double usualMillis =
        normal.isPresent()
            ? normal.getAsDouble() * profiles.maxNormalRatio(queue)
            : estimatedMillis(task) * profiles.maxEstimateRatio(queue);
    return usualMillis / speed;
  }

  /** Returns the expected run time of a task at usual speed, in milliseconds. */
  double usualMillis(TaskState task) {
    return siblingMillis(task).orElseGet(() -> estimatedMillis(task));
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

  private double estimatedMillis(TaskState task) {
    return profiles.expectedMillis(task.work.request.queue(), task.step.estimateMillis());
  }

  /**
   * Returns the normal run time of a task at usual speed by its finished siblings, in milliseconds;
   * empty if there are none.
   *
   * <p>The median of the finished siblings is corrected for its rank among all that have started:
   * the siblings that finish first are the fastest. Without the correction, a quarter of the normal
   * runs of four siblings would count as slow after the first of them has finished.
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
