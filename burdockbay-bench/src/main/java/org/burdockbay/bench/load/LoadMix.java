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
 * The kinds of job that make up a load.
 *
 * @param kinds the kinds of job, with their shares of the arrivals
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

  /**
   * A kind of job. Run times are drawn from a log-uniform distribution.
   *
   * @param job name of the job
   * @param share weight of this kind among the arrivals, relative to the sum of all shares
   * @param tasksMin minimum number of tasks
   * @param tasksMax maximum number of tasks
   * @param runMinMillis minimum run time of a task
   * @param runMaxMillis maximum run time of a task
   */
  public record JobKind(
      String job, double share, int tasksMin, int tasksMax, int runMinMillis, int runMaxMillis) {}

  /**
   * Parses a load mix.
   *
   * @param file name of the file, for error messages
   * @throws ConfigurationException if the text is not valid; lists all problems
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
