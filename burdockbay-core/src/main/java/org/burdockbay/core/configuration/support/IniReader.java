package org.burdockbay.core.configuration.support;

import java.io.IOException;
import java.io.StringReader;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.SubnodeConfiguration;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.configuration.IniDocument;
import org.burdockbay.core.configuration.Problem;

/**
 * Reads INI text with Commons Configuration and adds line numbers, which the library doesn't
 * provide.
 *
 * <p>The values are those that the library parsed. A separate scan of headers and keys determines
 * their line numbers and finds duplicate sections and keys, which the library merges silently.
 */
public final class IniReader {

  private final String file;

  /** Creates a reader that reports problems under the given file name. */
  public IniReader(String file) {
    this.file = file;
  }

  /**
   * Parses the text.
   *
   * @throws ConfigurationException if the text is not valid INI
   */
  public IniDocument read(String text) throws ConfigurationException {
    INIConfiguration parsed = new INIConfiguration();
    try {
      parsed.read(new StringReader(text));
    } catch (org.apache.commons.configuration2.ex.ConfigurationException | IOException e) {
      throw failure(0, "", "not INI: " + e.getMessage());
    }
    return addLineNumbers(text, parsed);
  }

  private IniDocument addLineNumbers(String text, INIConfiguration parsed)
      throws ConfigurationException {
    List<IniDocument.Section> sections = new ArrayList<>();
    Map<String, Integer> occurrences = new LinkedHashMap<>();
    int lineNumber = 0;
    for (String raw : text.split("\n", -1)) {
      lineNumber++;
      String line = raw.strip();
      if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
        continue;
      }
      if (line.startsWith("[")) {
        if (!line.endsWith("]")) {
          throw failure(lineNumber, line, "the header has no closing bracket");
        }
        String header = line.substring(1, line.length() - 1).strip();
        sections.add(new IniDocument.Section(header, lineNumber, new ArrayList<>()));
        continue;
      }
      int equals = line.indexOf('=');
      if (equals < 1 || sections.isEmpty()) {
        String expected = sections.isEmpty() ? "a [section] comes first" : "expected key = value";
        throw failure(lineNumber, line, expected);
      }
      IniDocument.Section section = sections.getLast();
      String key = line.substring(0, equals).strip();
      String value = readValue(parsed, section.header(), key, occurrences);
      section.entries().add(new IniDocument.Entry(key, value, lineNumber));
    }
    return new IniDocument(file, sections);
  }

  private static String readValue(
      INIConfiguration parsed, String header, String key, Map<String, Integer> occurrences) {
    SubnodeConfiguration section = parsed.getSection(header);
    List<Object> values = section.getList(key.replace(".", ".."));
    int occurrence = occurrences.merge(header + "\n" + key, 1, Integer::sum) - 1;
    return occurrence < values.size() ? String.valueOf(values.get(occurrence)).strip() : "";
  }

  private ConfigurationException failure(int line, String field, String message) {
    return new ConfigurationException(List.of(new Problem(file, line, field, message)));
  }
}
