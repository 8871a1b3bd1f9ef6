package org.burdockbay.server.host;

import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.runner.RunnerClient;
import org.burdockbay.server.settings.HostSettings;
import org.burdockbay.server.transport.PeerTransport;

/**
 * The components that the parts of a host share.
 *
 * @param settings settings of the host
 * @param incarnation incarnation of the process of the host
 * @param clock the monotonic clock
 * @param log the event log
 * @param metrics counters and histograms
 * @param transport transport of messages between hosts
 * @param runners calls to runners
 * @param thread the control thread
 */
public record HostParts(
    HostSettings settings,
    long incarnation,
    Clock clock,
    EventLog log,
    HostMetrics metrics,
    PeerTransport transport,
    RunnerClient runners,
    ControlThread thread) {}
