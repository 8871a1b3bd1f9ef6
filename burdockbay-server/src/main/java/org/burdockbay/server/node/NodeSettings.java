package org.burdockbay.server.node;

import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.server.settings.HostAddress;

/**
 * What a host that finds the others from seeds is told at its start.
 *
 * @param cluster the cluster that it belongs to
 * @param descriptor what other hosts get to know of it; its id is its IP address
 * @param address where it listens for other hosts
 * @param mayDispatch whether it may take the dispatcher role
 * @param seeds where some hosts with a data folder listen for other hosts; may be out of date
 * @param dataFolder the data folder, if it has a disk
 * @param firstStart whether the whole system starts for the first time, with empty disks
 */
public record NodeSettings(
    String cluster,
    HostDescriptor descriptor,
    HostAddress address,
    boolean mayDispatch,
    List<HostAddress> seeds,
    Optional<Path> dataFolder,
    boolean firstStart) {

  /** Copies the list. */
  public NodeSettings {
    seeds = List.copyOf(seeds);
  }

  /** Returns the id of the host. */
  public String host() {
    return descriptor.id();
  }

  /** Returns the settings with other seeds. */
  public NodeSettings withSeeds(List<HostAddress> others) {
    return new NodeSettings(
        cluster, descriptor, address, mayDispatch, others, dataFolder, firstStart);
  }
}
