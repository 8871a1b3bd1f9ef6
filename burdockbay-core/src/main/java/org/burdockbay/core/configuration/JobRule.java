package org.burdockbay.core.configuration;

import java.util.List;

/**
 * A kind of job that the configuration defines.
 *
 * @param name name of the kind of job
 * @param service service that runs the job
 * @param idempotent whether a task may run more than once
 * @param runTimeMillis declared run time of a task, in milliseconds
 * @param deadlineMillis time until the deadline if the caller sets no shorter one, in milliseconds
 * @param maxTasks maximum number of tasks of a job
 * @param retries maximum number of further attempts of a failed task
 * @param hedgingEnabled whether a straggler gets a second attempt
 * @param priority priority class; 0 is the highest
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
