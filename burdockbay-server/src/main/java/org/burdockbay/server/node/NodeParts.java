package org.burdockbay.server.node;

import java.util.concurrent.Executor;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.host.ControlThread;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.transport.PeerTransport;

/**
 * What a {@link NodeController} is built on.
 *
 * @param settings settings of the host
 * @param incarnation differs between runs of the process, and rises
 * @param clock the time
 * @param log the event log
 * @param metrics counters and histograms
 * @param transport messages to and from other hosts
 * @param upstreams orders to upstreams
 * @param catalogReader reads published catalogs
 * @param background runs tasks that would block the control thread or an event loop for too long
 * @param thread the control thread
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
    ControlThread thread) {}
