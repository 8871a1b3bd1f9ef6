package org.burdockbay.core.membership;

import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.evacuation.Evacuations;
import org.burdockbay.core.shard.ShardAssignment;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;

/**
 * Status that a host reports in each heartbeat.
 *
 * @param host id of the host
 * @param domain group of the host; the hosts of a group elect dispatchers among themselves
 * @param incarnation incarnation of the process; rises with each restart
 * @param storageIncarnation incarnation of the data folder; 0 without a data folder
 * @param configurationVersion version of the configuration in force on the host
 * @param dispatcherEpoch epoch under which the host dispatches; 0 while it doesn't dispatch
 * @param highestEpoch highest epoch of the group that the host has seen
 * @param draining whether the host is stopping
 * @param leader id of the last known leader of the agreement group; empty if unknown
 * @param load load of the dispatcher; meaningful only while the host dispatches
 * @param failureDomain failure domain of the host; empty if it equals the group
 * @param layout largest shard layout known to the host
 * @param shard shard that the host dispatches; meaningful only while the host dispatches
 * @param evacuations evacuated failure domains known to the host
 * @param weight weight of the host in the election of dispatchers; 0 if unknown
 */
public record HostStatus(
    String host,
    String domain,
    long incarnation,
    long storageIncarnation,
    long configurationVersion,
    long dispatcherEpoch,
    long highestEpoch,
    boolean draining,
    String leader,
    DomainLoad load,
    String failureDomain,
    ShardLayout layout,
    ShardId shard,
    Evacuations evacuations,
    int weight) {

  /** Creates the status of a host of unknown weight. */
  public HostStatus(
      String host,
      String domain,
      long incarnation,
      long storageIncarnation,
      long configurationVersion,
      long dispatcherEpoch,
      long highestEpoch,
      boolean draining,
      String leader,
      DomainLoad load,
      String failureDomain,
      ShardLayout layout,
      ShardId shard,
      Evacuations evacuations) {
    this(
        host,
        domain,
        incarnation,
        storageIncarnation,
        configurationVersion,
        dispatcherEpoch,
        highestEpoch,
        draining,
        leader,
        load,
        failureDomain,
        layout,
        shard,
        evacuations,
        ShardAssignment.UNKNOWN_WEIGHT);
  }

  /**
   * Creates the status of a host in a fleet that isn't divided into shards and has no evacuations.
   */
  public HostStatus(
      String host,
      String domain,
      long incarnation,
      long storageIncarnation,
      long configurationVersion,
      long dispatcherEpoch,
      long highestEpoch,
      boolean draining,
      String leader,
      DomainLoad load) {
    this(
        host,
        domain,
        incarnation,
        storageIncarnation,
        configurationVersion,
        dispatcherEpoch,
        highestEpoch,
        draining,
        leader,
        load,
        "",
        ShardLayout.UNDIVIDED,
        ShardId.WHOLE_FLEET,
        Evacuations.NONE);
  }

  /** Returns a copy of the status with the given evacuations. */
  public HostStatus withEvacuations(Evacuations known) {
    return new HostStatus(
        host,
        domain,
        incarnation,
        storageIncarnation,
        configurationVersion,
        dispatcherEpoch,
        highestEpoch,
        draining,
        leader,
        load,
        failureDomain,
        layout,
        shard,
        known,
        weight);
  }

  /** Returns whether this status equals another one, apart from the load. */
  public boolean equalsIgnoringLoad(HostStatus other) {
    return new HostStatus(
            host,
            domain,
            incarnation,
            storageIncarnation,
            configurationVersion,
            dispatcherEpoch,
            highestEpoch,
            draining,
            leader,
            other.load,
            failureDomain,
            layout,
            shard,
            evacuations,
            weight)
        .equals(other);
  }
}
