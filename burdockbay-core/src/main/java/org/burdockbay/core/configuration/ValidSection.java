package org.burdockbay.core.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A section whose keys and values passed the schema, with typed access.
 *
 * @param file the name of the document
 * @param kind the first word of the header
 * @param name what follows it
 * @param line the line of the header
 * @param values every key of the definition with its value or fallback
 * @param lines the line of each key that the document gives
 */
public record ValidSection(
    String file,
    String kind,
    String name,
    int line,
    Map<String, String> values,
    Map<String, Integer> lines) {

  /** Returns the value as text. */
  public String text(String key) {
    return values.getOrDefault(key, "");
  }

  /** Returns the value as a whole number. */
  public int wholeNumber(String key) {
    return Integer.parseInt(text(key));
  }

  /** Returns the value as a decimal number. */
  public double ratio(String key) {
    return Double.parseDouble(text(key));
  }

  /** Returns whether the value is {@code true}. */
  public boolean flag(String key) {
    return Boolean.parseBoolean(text(key));
  }

  /** Returns the names of a list. */
  public List<String> names(String key) {
    return Arrays.stream(text(key).split(",", -1))
        .map(String::strip)
        .filter(name -> !name.isEmpty())
        .toList();
  }

  /** Returns a problem with the given key at its line. */
  public Problem problem(String key, String message) {
    String header = name.isEmpty() ? kind : kind + " " + name;
    return new Problem(file, lines.getOrDefault(key, line), "[" + header + "] " + key, message);
  }
}
