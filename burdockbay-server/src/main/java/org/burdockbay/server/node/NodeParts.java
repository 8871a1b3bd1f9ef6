package org.burdockbay.server.node;

import java.util.concurrent.Executor;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.core.limits.HostLimits;
import org.burdockbay.server.host.ControlThread;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.transport.PeerTransport;

/**
 * The components that a {@link NodeController} uses.
 *
 * @param settings settings of the host
 * @param incarnation incarnation of the host's process; increases with each start
 * @param clock the monotonic clock
 * @param log the event log
 * @param metrics counters and histograms
 * @param transport transport of messages between hosts
 * @param upstreams calls to upstreams
 * @param catalogReader parses published catalogs
 * @param background executes tasks that would block the control thread or an event loop for too
 *     long
 * @param thread the control thread
 * @param limits limits on the memory of the host
 */
public record NodeParts(
    NodeSettings settings,
    long incarnation,
    Clock clock,
    EventLog log,
    HostMetrics metrics,
    PeerTransport transport,
    UpstreamCalls upstreams,
    CatalogReader catalogReader,
    Executor background,
    ControlThread thread,
    HostLimits limits) {

  /** Creates the components of a host without limits on its memory. */
  public NodeParts(
      NodeSettings settings,
      long incarnation,
      Clock clock,
      EventLog log,
      HostMetrics metrics,
      PeerTransport transport,
      UpstreamCalls upstreams,
      CatalogReader catalogReader,
      Executor background,
      ControlThread thread) {
    this(
        settings,
        incarnation,
        clock,
        log,
        metrics,
        transport,
        upstreams,
        catalogReader,
        background,
        thread,
        HostLimits.UNLIMITED);
  }
}
