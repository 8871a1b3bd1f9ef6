package org.burdockbay.core.configuration;

import java.util.List;

/**
 * A kind of job of the configuration.
 *
 * @param name its name
 * @param service the service that runs it
 * @param idempotent whether a task may run more than once
 * @param runTimeMillis declared run time of a task, in milliseconds
 * @param deadlineMillis time for the answer, in milliseconds
 * @param maxTasks tasks that one job may have
 * @param retries further attempts of a failed task
 * @param hedgingEnabled whether a straggling task gets a second attempt
 * @param priority priority class; 0 goes first
 * @param labels labels that a runner must have
 */
public record JobRule(
    String name,
    String service,
    boolean idempotent,
    int runTimeMillis,
    int deadlineMillis,
    int maxTasks,
    int retries,
    boolean hedgingEnabled,
    int priority,
    List<String> labels) {

  static JobRule of(ValidSection section) {
    return new JobRule(
        section.name(),
        section.text("service"),
        section.flag("idempotent"),
        section.wholeNumber("run-time-ms"),
        section.wholeNumber("deadline-ms"),
        section.wholeNumber("max-tasks"),
        section.wholeNumber("retries"),
        section.flag("hedge"),
        section.wholeNumber("priority"),
        section.names("labels"));
  }
}
