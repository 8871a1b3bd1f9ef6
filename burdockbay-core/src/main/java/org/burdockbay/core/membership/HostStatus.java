package org.burdockbay.core.membership;

import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.shard.ShardId;
import org.burdockbay.core.shard.ShardLayout;

/**
 * What a host tells of itself in each heartbeat.
 *
 * @param host its id
 * @param domain its group; the hosts of one group elect dispatchers among them
 * @param incarnation a number that differs between runs of the process
 * @param storageIncarnation identity of its data folder; 0 where it has none
 * @param configurationVersion the version in force on it
 * @param dispatcherEpoch the epoch under which it dispatches; 0 while it doesn't
 * @param highestEpoch the highest epoch of its group that it has seen
 * @param draining whether it is stopping
 * @param leader the host that it takes for the leader of the agreement group; may be empty
 * @param load its load; of use only where it dispatches
 * @param failureDomain its failure domain; empty where that is its group
 * @param layout the largest layout that it knows
 * @param shard the shard that it dispatches; of use only where it does
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
    ShardId shard) {

  /** Creates the status of a host of a fleet that isn't divided. */
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
        ShardId.WHOLE_FLEET);
  }

  /** Returns whether another status differs at most in the load. */
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
            shard)
        .equals(other);
  }
}
