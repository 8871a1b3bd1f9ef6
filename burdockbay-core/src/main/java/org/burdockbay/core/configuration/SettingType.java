package org.burdockbay.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/** The type of a setting, which defines the allowed values. */
public sealed interface SettingType {

  /** A whole number between two bounds, inclusive. */
  record WholeNumber(long min, long max) implements SettingType {}

  /** A decimal number between two bounds, inclusive. */
  record Ratio(double min, double max) implements SettingType {}

  /** Either {@code true} or {@code false}. */
  record Flag() implements SettingType {}

  /**
   * Text that matches a pattern in full.
   *
   * @param pattern the pattern
   * @param allowed description of the allowed values for messages
   */
  record Text(Pattern pattern, String allowed) implements SettingType {}

  /** Names separated by commas; an empty list is allowed. */
  record Names() implements SettingType {}

  /** One of a fixed set of values. */
  record OneOf(List<String> values) implements SettingType {}

  /** Returns a description of the allowed values for messages. */
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

  /** Returns a message if the value is not allowed, or empty if it is. */
  default Optional<String> findViolation(String value) {
    boolean valid =
        switch (this) {
          case WholeNumber number -> isWithin(value, number);
          case Ratio ratio -> isWithin(value, ratio);
          case Flag flag -> value.equals("true") || value.equals("false");
          case Text text -> text.pattern().matcher(value).matches();
          case Names names -> value.isEmpty() || value.matches("[\\w.-]+(\\s*,\\s*[\\w.-]+)*");
          case OneOf oneOf -> oneOf.values().contains(value);
        };
    return valid
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
