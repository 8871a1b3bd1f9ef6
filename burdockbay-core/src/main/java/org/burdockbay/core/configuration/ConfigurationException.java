package org.burdockbay.core.configuration;

import java.util.List;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.core.error.ErrorKind;

/** Thrown for an invalid document; contains every {@link Problem} that was found. */
public class ConfigurationException extends BurdockbayException {

  private static final long serialVersionUID = 1L;

  private final transient List<Problem> problems;

  /** Creates an exception for one or more problems of the same document. */
  public ConfigurationException(List<Problem> problems) {
    super(
        ErrorKind.INVALID_CONFIGURATION,
        String.join("\n", problems.stream().map(Problem::toString).toList()));
    this.problems = List.copyOf(problems);
  }

  /** Returns the problems in the order of their lines. */
  public List<Problem> problems() {
    return problems;
  }
}
