package org.burdockbay.bench.load;

import static org.burdockbay.core.configuration.SettingDefinition.key;

import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.DispatchSchema;
import org.burdockbay.core.configuration.DocumentSchema;
import org.burdockbay.core.configuration.Problem;
import org.burdockbay.core.configuration.SectionDefinition;
import org.burdockbay.core.configuration.ValidSection;
import org.burdockbay.core.configuration.support.IniReader;

/**
 * The kinds of job of a load, read from a file.
 *
 * @param kinds the kinds with their shares
 */
public record LoadMix(List<JobKind> kinds) {

  private static final DocumentSchema SCHEMA =
      DocumentSchema.of(
          new SectionDefinition(
              "kind",
              true,
              "A kind of job of the load.",
              List.of(
                  key("job").text(DispatchSchema.NAME_PATTERN, "a name").build("Name of the job."),
                  key("share").ratio(0, 1000).build("Share of the arrivals."),
                  key("tasks-min").wholeNumber(1, 1000).build("Fewest tasks."),
                  key("tasks-max").wholeNumber(1, 1000).build("Most tasks."),
                  key("run-min-ms").wholeNumber(1, 60_000).build("Shortest run time."),
                  key("run-max-ms").wholeNumber(1, 60_000).build("Longest run time."))));

  /** One kind of job; run times are spread evenly on a logarithmic scale. */
  public record JobKind(
      String job, double share, int tasksMin, int tasksMax, int runMinMillis, int runMaxMillis) {}

  /**
   * Reads a mix.
   *
   * @throws ConfigurationException with every problem of the file
   */
  public static LoadMix parse(String file, String text) throws ConfigurationException {
    List<Problem> problems = new ArrayList<>();
    List<ValidSection> sections = SCHEMA.validate(new IniReader(file).read(text), problems);
    if (!problems.isEmpty()) {
      throw new ConfigurationException(problems);
    }
    return new LoadMix(
        sections.stream()
            .map(
                section ->
                    new JobKind(
                        section.text("job"),
                        section.ratio("share"),
                        section.wholeNumber("tasks-min"),
                        section.wholeNumber("tasks-max"),
                        section.wholeNumber("run-min-ms"),
                        section.wholeNumber("run-max-ms")))
            .toList());
  }
}
