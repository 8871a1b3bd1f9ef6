package org.burdockbay.core.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.configuration.support.IniReader;

/**
 * A version of the configuration: the document that an operator applied and its typed content.
 *
 * @param version version number, incremented with each accepted change; 0 before the first one
 * @param text the document as applied
 * @param services the services by name
 * @param jobs the kinds of job by name
 * @param callers the callers by name
 * @param policy content of the policy section
 */
public record DispatchConfiguration(
    long version,
    String text,
    Map<String, ServiceRule> services,
    Map<String, JobRule> jobs,
    Map<String, CallerRule> callers,
    PolicyRule policy) {

  /** The configuration before the first document is applied. */
  public static final DispatchConfiguration EMPTY =
      new DispatchConfiguration(0, "", Map.of(), Map.of(), Map.of(), PolicyRule.DEFAULT);

  /** Maximum characters of a document; limits the size of the replicated state. */
  public static final int MAX_CHARACTERS = 1_000_000;

  /**
   * Parses and validates a document.
   *
   * @param file name of the document in problems
   * @throws ConfigurationException if the document is invalid, with every problem that was found
   */
  public static DispatchConfiguration parse(String file, long version, String text)
      throws ConfigurationException {
    if (text.length() > MAX_CHARACTERS) {
      String message = "longer than " + MAX_CHARACTERS + " characters";
      throw new ConfigurationException(List.of(new Problem(file, 0, "document", message)));
    }
    List<Problem> problems = new ArrayList<>();
    List<ValidSection> sections =
        DispatchSchema.SCHEMA.validate(new IniReader(file).read(text), problems);
    DispatchConfiguration configuration =
        problems.isEmpty() ? assemble(version, text, sections, problems) : EMPTY;
    if (!problems.isEmpty()) {
      problems.sort(Comparator.comparingInt(Problem::line));
      throw new ConfigurationException(problems);
    }
    return configuration;
  }

  /** Returns the kind of job with the given name, or empty if there is none. */
  public Optional<JobRule> job(String name) {
    return Optional.ofNullable(jobs.get(name));
  }

  /** Returns the caller with the given name, or empty if there is none. */
  public Optional<CallerRule> caller(String name) {
    return Optional.ofNullable(callers.get(name));
  }

  private static DispatchConfiguration assemble(
      long version, String text, List<ValidSection> sections, List<Problem> problems) {
    Map<String, ServiceRule> services = new LinkedHashMap<>();
    Map<String, JobRule> jobs = new LinkedHashMap<>();
    Map<String, CallerRule> callers = new LinkedHashMap<>();
    PolicyRule policy = PolicyRule.DEFAULT;
    for (ValidSection section : sections) {
      String name = section.name();
      if (!section.kind().equals("policy") && !name.matches(DispatchSchema.NAME_PATTERN)) {
        problems.add(section.problem("name", "'" + name + "' doesn't match a name's pattern"));
      }
      switch (section.kind()) {
        case "service" ->
            services.put(
                name,
                new ServiceRule(
                    name, section.wholeNumber("queue-limit"), section.wholeNumber("concurrency")));
        case "job" -> jobs.put(name, JobRule.of(section));
        case "caller" ->
            callers.put(
                name,
                new CallerRule(
                    name,
                    section.text("credential-sha256"),
                    section.names("services"),
                    section.wholeNumber("quota"),
                    section.wholeNumber("weight")));
        default ->
            policy =
                new PolicyRule(
                    section.ratio("retry-budget"),
                    section.ratio("hedge-budget"),
                    section.ratio("eject-share"),
                    section.wholeNumber("retention-ms"));
      }
    }
    checkReferences(sections, services, problems);
    return new DispatchConfiguration(
        version, text, Map.copyOf(services), Map.copyOf(jobs), Map.copyOf(callers), policy);
  }

  private static void checkReferences(
      List<ValidSection> sections, Map<String, ServiceRule> services, List<Problem> problems) {
    Map<String, String> credentials = new LinkedHashMap<>();
    for (ValidSection section : sections) {
      if (section.kind().equals("job")) {
        if (!services.containsKey(section.text("service"))) {
          problems.add(section.problem("service", unknownServiceMessage(section.text("service"))));
        }
        if (section.flag("hedge") && !section.flag("idempotent")) {
          problems.add(section.problem("hedge", "only idempotent jobs may hedge"));
        }
      }
      if (section.kind().equals("caller")) {
        for (String service : section.names("services")) {
          if (!services.containsKey(service)) {
            problems.add(section.problem("services", unknownServiceMessage(service)));
          }
        }
        String other = credentials.put(section.text("credential-sha256"), section.name());
        if (other != null) {
          problems.add(
              section.problem("credential-sha256", "the credential is that of caller " + other));
        }
      }
    }
  }

  private static String unknownServiceMessage(String name) {
    return "there is no service '" + name + "'";
  }
}
