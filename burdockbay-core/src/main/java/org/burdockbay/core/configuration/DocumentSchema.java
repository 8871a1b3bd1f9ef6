package org.burdockbay.core.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The sections that a document may contain. Validates an {@link IniDocument} against them.
 *
 * @param sections definitions of the sections, in the order of the reference page
 */
public record DocumentSchema(List<SectionDefinition> sections) {

  /** Creates a schema with the given sections. */
  public static DocumentSchema of(SectionDefinition... sections) {
    return new DocumentSchema(List.of(sections));
  }

  /**
   * Validates a document and returns its sections, with default values for missing keys.
   *
   * @param problems list to which every problem is added; the result is valid only if none was
   */
  public List<ValidSection> validate(IniDocument document, List<Problem> problems) {
    List<ValidSection> valid = new ArrayList<>();
    Set<String> seen = new HashSet<>();
    for (IniDocument.Section section : document.sections()) {
      Optional<SectionDefinition> definition = findDefinition(section.kind());
      if (definition.isEmpty()) {
        problems.add(problem(document, section, "unknown section; " + allowedKinds()));
      } else if (definition.get().named() == section.name().isEmpty()) {
        String expected = definition.get().named() ? "needs a name" : "takes no name";
        problems.add(problem(document, section, "the section " + expected));
      } else if (!seen.add(section.header())) {
        problems.add(problem(document, section, "the section is given twice"));
      } else {
        valid.add(validate(document, section, definition.get(), problems));
      }
    }
    return valid;
  }

  private ValidSection validate(
      IniDocument document,
      IniDocument.Section section,
      SectionDefinition definition,
      List<Problem> problems) {
    Map<String, String> values = new LinkedHashMap<>();
    Map<String, Integer> lines = new LinkedHashMap<>();
    for (IniDocument.Entry entry : section.entries()) {
      String field = "[" + section.header() + "] " + entry.key();
      Optional<String> violation = findViolation(definition, entry, values);
      violation.ifPresent(
          message -> problems.add(new Problem(document.file(), entry.line(), field, message)));
      values.put(entry.key(), entry.value());
      lines.put(entry.key(), entry.line());
    }
    for (SettingDefinition setting : definition.settings()) {
      if (!values.containsKey(setting.key())) {
        if (setting.defaultValue().isEmpty()) {
          problems.add(
              problem(
                  document,
                  section,
                  "the key " + setting.key() + " is missing; give " + setting.type().allowed()));
        }
        values.put(setting.key(), setting.defaultValue().orElse(""));
      }
    }
    return new ValidSection(
        document.file(), section.kind(), section.name(), section.line(), values, lines);
  }

  private static Optional<String> findViolation(
      SectionDefinition definition, IniDocument.Entry entry, Map<String, String> seen) {
    if (seen.containsKey(entry.key())) {
      return Optional.of("the key is given twice");
    }
    Optional<SettingDefinition> setting = definition.setting(entry.key());
    if (setting.isEmpty()) {
      List<String> keys = definition.settings().stream().map(SettingDefinition::key).toList();
      return Optional.of("unknown key; allowed are " + String.join(", ", keys));
    }
    return setting.get().type().findViolation(entry.value());
  }

  private Optional<SectionDefinition> findDefinition(String kind) {
    return sections.stream().filter(section -> section.kind().equals(kind)).findFirst();
  }

  private String allowedKinds() {
    List<String> kinds = sections.stream().map(SectionDefinition::kind).toList();
    return "allowed are " + String.join(", ", kinds);
  }

  private static Problem problem(
      IniDocument document, IniDocument.Section section, String message) {
    return new Problem(document.file(), section.line(), "[" + section.header() + "]", message);
  }
}
