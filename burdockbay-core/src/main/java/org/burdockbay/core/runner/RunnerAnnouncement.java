package org.burdockbay.core.runner;

import java.util.Set;

/**
 * An announcement of a runner, repeated to renew its lease.
 *
 * @param id the instance of the runner
 * @param address base URL of its attempts API
 * @param services services that it runs
 * @param labels capabilities that it offers, for example an accelerator
 * @param slots number of tasks that it runs concurrently
 * @param leaving whether it accepts no new work
 */
public record RunnerAnnouncement(
    RunnerId id,
    String address,
    Set<String> services,
    Set<String> labels,
    int slots,
    boolean leaving) {

  /** Copies the sets. */
  public RunnerAnnouncement {
    services = Set.copyOf(services);
    labels = Set.copyOf(labels);
  }
}
