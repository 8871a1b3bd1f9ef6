package org.burdockbay.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Defines a section of a document.
 *
 * @param kind first word of the header
 * @param named whether the header contains a name after the kind, so that the section may occur
 *     several times
 * @param help description for the reference page, one sentence
 * @param settings keys that the section may contain
 */
public record SectionDefinition(
    String kind, boolean named, String help, List<SettingDefinition> settings) {

  /** Returns the definition of a key, or empty if the section may not contain it. */
  public Optional<SettingDefinition> setting(String key) {
    return settings.stream().filter(setting -> setting.key().equals(key)).findFirst();
  }
}
