package org.burdockbay.core.configuration;

import static org.burdockbay.core.configuration.SettingDefinition.key;

import java.util.List;

/** Defines the schema of the configuration document that operators apply. */
public final class DispatchSchema {

  /** Regular expression for the names of services, jobs and callers. */
  public static final String NAME_PATTERN = "[A-Za-z0-9][A-Za-z0-9._-]{0,63}";

  /** The schema with all sections of the document. */
  public static final DocumentSchema SCHEMA =
      DocumentSchema.of(service(), job(), caller(), policy());

  private DispatchSchema() {}

  private static SectionDefinition service() {
    return new SectionDefinition(
        "service",
        true,
        "A service that runners announce and that jobs belong to.",
        List.of(
            key("queue-limit")
                .wholeNumber(1, 1_000_000)
                .defaultValue("10000")
                .build("Tasks that may wait for a slot in a failure domain."),
            key("concurrency")
                .wholeNumber(1, 100_000)
                .defaultValue("100000")
                .build("Tasks of the service that may run at once in a failure domain.")));
  }

  private static SectionDefinition job() {
    return new SectionDefinition(
        "job",
        true,
        "A kind of job that a service accepts.",
        List.of(
            key("service").text(NAME_PATTERN, "the name of a service").build("The service."),
            key("idempotent")
                .flag()
                .defaultValue("false")
                .build("Whether a task may run more than once; if not, the ledger guards it."),
            key("run-time-ms")
                .wholeNumber(1, 600_000)
                .defaultValue("300")
                .build("Declared run time of a task; used until enough tasks were measured."),
            key("deadline-ms")
                .wholeNumber(1, 3_600_000)
                .defaultValue("30000")
                .build("Time for the answer, where the caller sets no shorter one."),
            key("max-tasks")
                .wholeNumber(1, 10_000)
                .defaultValue("120")
                .build("Tasks that one job may have."),
            key("retries")
                .wholeNumber(0, 10)
                .defaultValue("2")
                .build("Further attempts of a failed task; only for idempotent jobs."),
            key("hedge")
                .flag()
                .defaultValue("false")
                .build("Whether a straggling task gets a second attempt; idempotent jobs only."),
            key("priority")
                .wholeNumber(0, 9)
                .defaultValue("5")
                .build("Priority class; 0 goes first."),
            key("labels")
                .names()
                .defaultValue("")
                .build("Labels that a runner must have, for example an accelerator.")));
  }

  private static SectionDefinition caller() {
    return new SectionDefinition(
        "caller",
        true,
        "A caller (a team or tenant).",
        List.of(
            key("credential-sha256")
                .text("[0-9a-f]{64}", "64 lower-case hexadecimal digits")
                .build("SHA-256 of the caller's bearer credential."),
            key("services").names().build("The services that the caller may use."),
            key("quota")
                .wholeNumber(1, 1_000_000)
                .defaultValue("1000")
                .build("Tasks, waiting and running, that the caller may have in a failure domain."),
            key("weight")
                .wholeNumber(1, 1000)
                .defaultValue("1")
                .build("Share of the slots relative to other callers that wait.")));
  }

  private static SectionDefinition policy() {
    return new SectionDefinition(
        "policy",
        false,
        "Limits on what the dispatcher does of its own accord.",
        List.of(
            key("retry-budget")
                .ratio(0, 1)
                .defaultValue("0.1")
                .build("Retries of a caller for each of its first attempts, at most."),
            key("hedge-budget")
                .ratio(0, 1)
                .defaultValue("0.02")
                .build("Second attempts of stragglers for each first attempt, at most."),
            key("eject-share")
                .ratio(0, 1)
                .defaultValue("0.5")
                .build("Share of a domain's runners that may be ejected at once."),
            key("retention-ms")
                .wholeNumber(1000, 86_400_000)
                .defaultValue("120000")
                .build("Time for which the answer of a finished submission is kept.")));
  }
}
