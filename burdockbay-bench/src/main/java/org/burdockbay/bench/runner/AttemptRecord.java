package org.burdockbay.bench.runner;

import java.util.concurrent.CompletableFuture;
import org.burdockbay.server.runner.RunnerMessages;

/**
 * One attempt that the runner has seen.
 *
 * @param id its id
 * @param result completes when it ends
 * @param recordedAt when it was seen, in milliseconds
 */
record AttemptRecord(
    String id, CompletableFuture<RunnerMessages.Attempt> result, long recordedAt) {}
