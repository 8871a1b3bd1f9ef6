package org.burdockbay.core.configuration;

/**
 * A service that the configuration defines.
 *
 * @param name name of the service
 * @param queueLimit maximum number of waiting tasks in a failure domain
 * @param concurrency maximum number of concurrently running tasks in a failure domain
 */
public record ServiceRule(String name, int queueLimit, int concurrency) {}
