package org.burdockbay.core.catalog;

/**
 * One queue, and how requests find it.
 *
 * @param name its name
 * @param hostName the name of the virtual host that requests must ask for
 * @param pathPrefix the prefix that the path of a request must begin with
 * @param service the service whose upstreams run the tasks
 * @param priority 0 comes first
 * @param maxAttempts how often a task may fail
 * @param stretch how many times the longest chain of work an answer may take to count as prompt
 * @param targetMillis what is added to that, in milliseconds
 * @param timeoutMillis longest time for an answer, in milliseconds
 * @param restricted whether an outside service decides which upstreams may run a step
 */
public record QueueRule(
    String name,
    String hostName,
    String pathPrefix,
    String service,
    int priority,
    int maxAttempts,
    double stretch,
    long targetMillis,
    long timeoutMillis,
    boolean restricted) {}
