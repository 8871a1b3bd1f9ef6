package org.burdockbay.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** What values a setting takes. */
public sealed interface SettingType {

  /** A whole number between two bounds, both allowed. */
  record WholeNumber(long min, long max) implements SettingType {}

  /** A decimal number between two bounds, both allowed. */
  record Ratio(double min, double max) implements SettingType {}

  /** Either {@code true} or {@code false}. */
  record Flag() implements SettingType {}

  /** Text that matches a pattern as a whole. */
  record Text(Pattern pattern, String allowed) implements SettingType {}

  /** Names separated by commas; may be empty. */
  record Names() implements SettingType {}

  /** One of a few words. */
  record OneOf(List<String> values) implements SettingType {}

  /** Returns a sentence that tells what is allowed. */
  default String allowed() {
    return switch (this) {
      case WholeNumber number -> "a whole number from " + number.min() + " to " + number.max();
      case Ratio ratio -> "a number from " + ratio.min() + " to " + ratio.max();
      case Flag flag -> "true or false";
      case Text text -> text.allowed();
      case Names names -> "names separated by commas";
      case OneOf oneOf -> "one of " + String.join(", ", oneOf.values());
    };
  }

  /** Returns what is wrong with the value, or empty if it is allowed. */
  default Optional<String> findViolation(String value) {
    boolean fine =
        switch (this) {
          case WholeNumber number -> isWithin(value, number);
          case Ratio ratio -> isWithin(value, ratio);
          case Flag flag -> value.equals("true") || value.equals("false");
          case Text text -> text.pattern().matcher(value).matches();
          case Names names -> value.isEmpty() || value.matches("[\\w.-]+(\\s*,\\s*[\\w.-]+)*");
          case OneOf oneOf -> oneOf.values().contains(value);
        };
    return fine
        ? Optional.empty()
        : Optional.of("'" + value + "' is not allowed; give " + allowed());
  }

  private static boolean isWithin(String value, WholeNumber number) {
    try {
      long parsed = Long.parseLong(value);
      return parsed >= number.min() && parsed <= number.max();
    } catch (NumberFormatException e) {
      return false;
    }
  }

  private static boolean isWithin(String value, Ratio ratio) {
    try {
      double parsed = Double.parseDouble(value);
      return parsed >= ratio.min() && parsed <= ratio.max();
    } catch (NumberFormatException e) {
      return false;
    }
  }
}
