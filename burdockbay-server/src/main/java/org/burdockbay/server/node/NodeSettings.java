package org.burdockbay.server.node;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.lease.LeaseTiming;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.scheduling.SchedulingOptions;
import org.burdockbay.server.settings.HostAddress;

/**
 * The settings of a host that discovers other hosts through seeds.
 *
 * @param cluster name of the cluster
 * @param descriptor descriptor announced to other hosts; its id is the IP address of the host
 * @param address address on which the host listens for other hosts
 * @param domains the failure domains of the fleet; empty if they aren't known in advance
 * @param mayDispatch whether the host may take the dispatcher role
 * @param seeds peer addresses of some hosts with a data folder; may be outdated
 * @param dataFolder the data folder, if the host has a disk
 * @param firstStart whether the whole cluster starts for the first time, with empty disks
 * @param scheduling the scheduling options that are on
 * @param weight weight in the election of dispatchers: the share of a core, in thousandths; 0 if
 *     unknown
 * @param callerRetryDelayMillis shortest time from a broken connection of a caller until its next
 *     attempt, in milliseconds
 * @param faultTolerance losses that the hosts with a data folder must bear
 * @param configurationApplyMillis time after the acceptance of a catalog from which no host may act
 *     on an older one, in milliseconds
 * @param maxGrantedLeaseMillis longest lease that an upstream grants, in milliseconds
 */
public record NodeSettings(
    String cluster,
    HostDescriptor descriptor,
    HostAddress address,
    Set<String> domains,
    boolean mayDispatch,
    List<HostAddress> seeds,
    Optional<Path> dataFolder,
    boolean firstStart,
    SchedulingOptions scheduling,
    int weight,
    long callerRetryDelayMillis,
    FaultTolerance faultTolerance,
    long configurationApplyMillis,
    long maxGrantedLeaseMillis) {

  /** The time for a catalog to come into force if the settings state none, in milliseconds. */
  public static final long DEFAULT_CONFIGURATION_APPLY_MILLIS = 2_000;

  /** Creates settings with the default tolerance, lease and time for a catalog to be in force. */
  public NodeSettings(
      String cluster,
      HostDescriptor descriptor,
      HostAddress address,
      Set<String> domains,
      boolean mayDispatch,
      List<HostAddress> seeds,
      Optional<Path> dataFolder,
      boolean firstStart,
      SchedulingOptions scheduling,
      int weight,
      long callerRetryDelayMillis) {
    this(
        cluster,
        descriptor,
        address,
        domains,
        mayDispatch,
        seeds,
        dataFolder,
        firstStart,
        scheduling,
        weight,
        callerRetryDelayMillis,
        FaultTolerance.DEFAULT,
        DEFAULT_CONFIGURATION_APPLY_MILLIS,
        LeaseTiming.DEFAULT.maxGrantedLeaseMillis());
  }

  /** Copies the domains and the seeds. */
  public NodeSettings {
    domains = Set.copyOf(domains);
    seeds = List.copyOf(seeds);
  }

  /** Returns the id of the host. */
  public String host() {
    return descriptor.id();
  }

  /** Returns a copy of the settings with the given seeds. */
  public NodeSettings withSeeds(List<HostAddress> newSeeds) {
    return new NodeSettings(
        cluster,
        descriptor,
        address,
        domains,
        mayDispatch,
        newSeeds,
        dataFolder,
        firstStart,
        scheduling,
        weight,
        callerRetryDelayMillis,
        faultTolerance,
        configurationApplyMillis,
        maxGrantedLeaseMillis);
  }

  /** Returns the durations of leases and orders for these callers and upstreams. */
  public LeaseTiming leaseTiming() {
    return LeaseTiming.DEFAULT
        .withCallerRetryDelay(callerRetryDelayMillis)
        .withMaxGrantedLease(maxGrantedLeaseMillis);
  }

  /**
   * Returns how long work waits whose registrar is unreachable, in milliseconds: until the runs for
   * an earlier attempt of its caller have ended; 0 if they have by the time of its next attempt.
   */
  public long unregisteredWaitMillis() {
    return Math.max(0, leaseTiming().maxOrphanedRunMillis() - callerRetryDelayMillis);
  }
}
