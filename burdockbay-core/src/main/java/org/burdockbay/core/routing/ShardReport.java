package org.burdockbay.core.routing;

import org.burdockbay.core.dispatch.DomainLoad;

/** The last reported load of a shard, and what this host has sent to the shard since. */
final class ShardReport {

  /**
   * Age from which a report no longer counts, in milliseconds: several heartbeats, so that a single
   * lost one changes nothing.
   */
  private static final long REPORT_VALIDITY_MILLIS = 1_000;

  private final DomainLoad load;
  private final long receivedAt;
  private double sentCoreMillis;
  private long sentCores;

  ShardReport(DomainLoad load, long receivedAt) {
    this.load = load;
    this.receivedAt = receivedAt;
  }

  boolean isValid(long now) {
    return now - receivedAt <= REPORT_VALIDITY_MILLIS;
  }

  /** Records work that was sent to the shard; without effect if the shard's size isn't known. */
  void recordSent(Demand demand) {
    if (load.totalSlots() > 0) {
      sentCoreMillis += demand.coreMillis();
      sentCores += demand.cores();
    }
  }

  /** Returns the reported free cores. */
  int freeCores() {
    return load.freeSlots();
  }

  /** Returns the reported free cores, less those that the work sent since takes. */
  long remainingFreeCores() {
    return Math.max(0, load.freeSlots() - sentCores);
  }

  /** Returns the reported wait, less the time since the report. */
  long remainingWaitMillis(long now) {
    return Math.max(0, load.waitMillis() - (now - receivedAt));
  }

  /** Returns the time that the shard takes for what was sent since the report. */
  double sentMillis() {
    return load.totalSlots() == 0 ? 0 : sentCoreMillis / load.totalSlots();
  }

  /**
   * Returns the predicted time until the shard has started all tasks of the demand, in
   * milliseconds.
   *
   * <p>Tasks for which no cores are free wait for the reported wait, and then for about as long as
   * a task runs. Where all tasks have free cores, the reported wait doesn't count: it is that of
   * wider work, and counting it made work leave shards that could start it.
   */
  double waitMillis(Demand demand, long now) {
    double missingShare =
        Math.max(0, demand.cores() - remainingFreeCores()) / (double) demand.cores();
    return sentMillis() + missingShare * (remainingWaitMillis(now) + demand.estimateMillis());
  }
}
