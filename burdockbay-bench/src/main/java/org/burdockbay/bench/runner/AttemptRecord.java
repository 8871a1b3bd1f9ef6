package org.burdockbay.bench.runner;

import java.util.concurrent.CompletableFuture;
import org.burdockbay.server.runner.RunnerMessages;

/**
 * An attempt for which the runner has received a start call or a query.
 *
 * @param id id of the attempt
 * @param result final status, completed when the attempt ends
 * @param recordedAt time of the first call, in milliseconds since the Unix epoch
 */
record AttemptRecord(
    String id, CompletableFuture<RunnerMessages.Attempt> result, long recordedAt) {}
