package org.burdockbay.core.runner;

import org.burdockbay.core.submission.AttemptId;

/**
 * An entry in a runner's list of attempts.
 *
 * @param id the attempt
 * @param status running or finished
 */
public record AttemptReport(AttemptId id, AttemptStatus status) {}
