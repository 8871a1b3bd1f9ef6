package org.burdockbay.core.configuration;

import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * A section whose keys and values conform to the schema, with typed accessors.
 *
 * @param file name of the document
 * @param kind first word of the header
 * @param name part of the header after the first word; empty if there is none
 * @param line line number of the header
 * @param values values by key, with default values for missing keys
 * @param lines line numbers by key, for the keys that the document contains
 */
public record ValidSection(
    String file,
    String kind,
    String name,
    int line,
    Map<String, String> values,
    Map<String, Integer> lines) {

  /** Returns the value of a key as text, or an empty string if the section has no such key. */
  public String text(String key) {
    return values.getOrDefault(key, "");
  }

  /** Returns the value of a key as a whole number. */
  public int wholeNumber(String key) {
    return Integer.parseInt(text(key));
  }

  /** Returns the value of a key as a decimal number. */
  public double ratio(String key) {
    return Double.parseDouble(text(key));
  }

  /** Returns whether the value of a key is {@code true}. */
  public boolean flag(String key) {
    return Boolean.parseBoolean(text(key));
  }

  /** Returns the names in the comma-separated value of a key. */
  public List<String> names(String key) {
    return Arrays.stream(text(key).split(",", -1))
        .map(String::strip)
        .filter(name -> !name.isEmpty())
        .toList();
  }

  /**
   * Returns a problem with the given key. Its line is that of the key, or that of the header if the
   * document doesn't contain the key.
   */
  public Problem problem(String key, String message) {
    String header = name.isEmpty() ? kind : kind + " " + name;
    return new Problem(file, lines.getOrDefault(key, line), "[" + header + "] " + key, message);
  }
}
