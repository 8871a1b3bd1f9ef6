package org.burdockbay.core.configuration;

import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Defines a key of a section.
 *
 * @param key name of the key
 * @param type type of its values
 * @param defaultValue value used if the key is missing; empty if the key is required
 * @param help description for the reference page, one sentence
 */
public record SettingDefinition(
    String key, SettingType type, Optional<String> defaultValue, String help) {

  /** Returns a builder for a key that accepts a list of names unless another type is set. */
  public static Builder key(String key) {
    return new Builder(key);
  }

  /** Builds a {@link SettingDefinition}. */
  public static final class Builder {

    private final String key;
    private SettingType type = new SettingType.Names();
    private Optional<String> defaultValue = Optional.empty();

    private Builder(String key) {
      this.key = key;
    }

    /** Accepts whole numbers between two bounds, inclusive. */
    public Builder wholeNumber(long min, long max) {
      type = new SettingType.WholeNumber(min, max);
      return this;
    }

    /** Accepts decimal numbers between two bounds, inclusive. */
    public Builder ratio(double min, double max) {
      type = new SettingType.Ratio(min, max);
      return this;
    }

    /** Accepts {@code true} or {@code false}. */
    public Builder flag() {
      type = new SettingType.Flag();
      return this;
    }

    /**
     * Accepts text that matches a regular expression.
     *
     * @param allowed description of the accepted values for messages
     */
    public Builder text(String pattern, String allowed) {
      type = new SettingType.Text(Pattern.compile(pattern), allowed);
      return this;
    }

    /** Accepts names separated by commas. */
    public Builder names() {
      type = new SettingType.Names();
      return this;
    }

    /** Accepts one of the given values. */
    public Builder oneOf(String... values) {
      type = new SettingType.OneOf(List.of(values));
      return this;
    }

    /** Sets the value used if the key is missing, which makes the key optional. */
    public Builder defaultValue(String value) {
      defaultValue = Optional.of(value);
      return this;
    }

    /** Returns the definition with the given description for the reference page. */
    public SettingDefinition build(String help) {
      return new SettingDefinition(key, type, defaultValue, help);
    }
  }
}
