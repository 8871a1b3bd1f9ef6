package org.burdockbay.bench.runner;

import java.util.List;

/**
 * Options of a stand-in runner.
 *
 * @param name name of the runner
 * @param domain failure domain of the runner
 * @param ip IP address to listen on
 * @param port TCP port to listen on; 0 selects a free one
 * @param services announced services
 * @param labels announced labels
 * @param slots maximum number of tasks that run at a time
 * @param hosts HTTP addresses of the entry hosts of the domain, as IP:PORT
 * @param token bearer token for calls to hosts
 * @param faults initial faults
 */
public record RunnerOptions(
    String name,
    String domain,
    String ip,
    int port,
    List<String> services,
    List<String> labels,
    int slots,
    List<String> hosts,
    String token,
    RunnerFaults faults) {}
