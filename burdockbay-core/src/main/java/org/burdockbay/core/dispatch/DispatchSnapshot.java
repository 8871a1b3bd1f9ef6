package org.burdockbay.core.dispatch;

/**
 * Figures of a dispatcher for status pages.
 *
 * @param epoch its epoch, or 0 while it is passive
 * @param runners runners with a lease
 * @param ejectedRunners runners that are excluded for a time because they failed
 * @param slots slots of the available runners
 * @param runningTasks attempts that occupy a slot
 * @param waitingTasks tasks in the queue
 * @param unfinishedJobs jobs without an outcome
 * @param guarding whether the dispatcher is registered at the ledger, so that at-most-once jobs can
 *     run
 */
public record DispatchSnapshot(
    long epoch,
    int runners,
    int ejectedRunners,
    int slots,
    int runningTasks,
    int waitingTasks,
    int unfinishedJobs,
    boolean guarding) {

  /** Returns a builder of a snapshot. */
  public static Builder builder() {
    return new Builder();
  }

  /** Collects the figures of a {@link DispatchSnapshot}. */
  public static final class Builder {

    private long epoch;
    private int runners;
    private int ejectedRunners;
    private int slots;
    private int runningTasks;
    private int waitingTasks;
    private int unfinishedJobs;
    private boolean guarding;

    private Builder() {}

    /** Sets the epoch. */
    public Builder epoch(long value) {
      epoch = value;
      return this;
    }

    /** Sets the number of runners. */
    public Builder runners(int value) {
      runners = value;
      return this;
    }

    /** Sets the number of ejected runners. */
    public Builder ejectedRunners(int value) {
      ejectedRunners = value;
      return this;
    }

    /** Sets the number of slots of the available runners. */
    public Builder slots(int value) {
      slots = value;
      return this;
    }

    /** Sets the number of attempts that occupy a slot. */
    public Builder runningTasks(int value) {
      runningTasks = value;
      return this;
    }

    /** Sets the number of waiting tasks. */
    public Builder waitingTasks(int value) {
      waitingTasks = value;
      return this;
    }

    /** Sets the number of unfinished jobs. */
    public Builder unfinishedJobs(int value) {
      unfinishedJobs = value;
      return this;
    }

    /** Sets whether at-most-once jobs can run. */
    public Builder guarding(boolean value) {
      guarding = value;
      return this;
    }

    /** Returns the snapshot. */
    public DispatchSnapshot build() {
      return new DispatchSnapshot(
          epoch,
          runners,
          ejectedRunners,
          slots,
          runningTasks,
          waitingTasks,
          unfinishedJobs,
          guarding);
    }
  }
}
