package org.burdockbay.server.host;

import org.burdockbay.core.agreement.FaultMargin;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.VoterSet;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;

/**
 * Compares the losses that the agreement group bears now with those that it must bear.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class FaultMarginMonitor {

  private final FaultTolerance tolerance;
  private final StorageHosts hosts;
  private final HostMetrics metrics;
  private final EventLog log;
  private FaultMargin margin = FaultMargin.NO_QUORUM;
  private VoterSet members = VoterSet.EMPTY;

  /** Creates a monitor for a group that must bear the given losses. */
  public FaultMarginMonitor(
      FaultTolerance tolerance, StorageHosts hosts, HostMetrics metrics, EventLog log) {
    this.tolerance = tolerance;
    this.hosts = hosts;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns the losses that the group must bear. */
  public FaultTolerance tolerance() {
    return tolerance;
  }

  /** Returns the further losses that the group bears, as this host sees it. */
  public FaultMargin margin() {
    return margin;
  }

  /** Determines the margin of the group of a Raft node, and logs a change. */
  public void update(RaftNode node) {
    final VoterSet current = node.voters();
    final FaultMargin before = margin;
    margin = FaultMargin.of(current, node.committedVoters(), hosts::isLive, hosts::domainOf);
    metrics.recordFaultMargin(margin, tolerance);
    if (!margin.equals(before) || !current.voters().equals(members.voters())) {
      logMargin(current);
    }
    members = current;
  }

  private void logMargin(VoterSet current) {
    String details =
        "hosts=%d domains=%d expected-hosts=%d expected-domains=%d voters=%d available=%d quorum=%d"
            .formatted(
                margin.hosts(),
                margin.domains(),
                tolerance.hosts(),
                tolerance.domains(),
                current.voters().size(),
                current.voters().stream().filter(hosts::isLive).count(),
                current.quorumSize());
    if (margin.bears(tolerance)) {
      log.info("fault-margin", details);
    } else {
      log.warn("fault-margin", details);
    }
  }
}
