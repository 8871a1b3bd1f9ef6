package org.burdockbay.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * One key of a section.
 *
 * @param key the name of the key
 * @param type the values that it takes
 * @param defaultValue the value where the key is missing; empty where the key is required
 * @param help one sentence for the reference page
 */
public record SettingDefinition(
    String key, SettingType type, Optional<String> defaultValue, String help) {

  /** Starts the definition of a key. */
  public static Builder key(String key) {
    return new Builder(key);
  }

  /** Collects the parts of a {@link SettingDefinition}. */
  public static final class Builder {

    private final String key;
    private SettingType type = new SettingType.Names();
    private Optional<String> defaultValue = Optional.empty();

    private Builder(String key) {
      this.key = key;
    }

    /** Takes whole numbers between two bounds. */
    public Builder wholeNumber(long min, long max) {
      type = new SettingType.WholeNumber(min, max);
      return this;
    }

    /** Takes decimal numbers between two bounds. */
    public Builder ratio(double min, double max) {
      type = new SettingType.Ratio(min, max);
      return this;
    }

    /** Takes {@code true} or {@code false}. */
    public Builder flag() {
      type = new SettingType.Flag();
      return this;
    }

    /** Takes text that matches the pattern. */
    public Builder text(String pattern, String allowed) {
      type = new SettingType.Text(Pattern.compile(pattern), allowed);
      return this;
    }

    /** Takes names separated by commas. */
    public Builder names() {
      type = new SettingType.Names();
      return this;
    }

    /** Takes one of a few words. */
    public Builder oneOf(String... words) {
      type = new SettingType.OneOf(List.of(words));
      return this;
    }

    /** Makes the key optional. */
    public Builder defaultValue(String value) {
      defaultValue = Optional.of(value);
      return this;
    }

    /** Ends the definition with its sentence for the reference page. */
    public SettingDefinition build(String help) {
      return new SettingDefinition(key, type, defaultValue, help);
    }
  }
}
