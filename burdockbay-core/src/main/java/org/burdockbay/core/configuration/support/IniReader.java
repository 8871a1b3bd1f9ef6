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
 * Reads INI text with Commons Configuration and adds the line numbers, which that library does not
 * keep.
 *
 * <p>The values are the library's. A scan of the headers and keys gives their lines and shows what
 * the library merges silently: sections and keys that are given twice.
 */
public final class IniReader {

  private final String file;

  /** Creates a reader that names the given file in its problems. */
  public IniReader(String file) {
    this.file = file;
  }

  /**
   * Reads the text.
   *
   * @throws ConfigurationException if it isn't INI
   */
  public IniDocument read(String text) throws ConfigurationException {
    INIConfiguration library = new INIConfiguration();
    try {
      library.read(new StringReader(text));
    } catch (org.apache.commons.configuration2.ex.ConfigurationException | IOException e) {
      throw failure(0, "", "not INI: " + e.getMessage());
    }
    return addLineNumbers(text, library);
  }

  private IniDocument addLineNumbers(String text, INIConfiguration library)
      throws ConfigurationException {
    List<IniDocument.Section> sections = new ArrayList<>();
    Map<String, Integer> occurrences = new LinkedHashMap<>();
    int number = 0;
    for (String raw : text.split("\n", -1)) {
      number++;
      String line = raw.strip();
      if (line.isEmpty() || line.startsWith("#") || line.startsWith(";")) {
        continue;
      }
      if (line.startsWith("[")) {
        if (!line.endsWith("]")) {
          throw failure(number, line, "the header has no closing bracket");
        }
        String header = line.substring(1, line.length() - 1).strip();
        sections.add(new IniDocument.Section(header, number, new ArrayList<>()));
        continue;
      }
      int equals = line.indexOf('=');
      if (equals < 1 || sections.isEmpty()) {
        String wanted = sections.isEmpty() ? "a [section] comes first" : "expected key = value";
        throw failure(number, line, wanted);
      }
      IniDocument.Section section = sections.getLast();
      String key = line.substring(0, equals).strip();
      String value = readValue(library, section.header(), key, occurrences);
      section.entries().add(new IniDocument.Entry(key, value, number));
    }
    return new IniDocument(file, sections);
  }

  private static String readValue(
      INIConfiguration library, String header, String key, Map<String, Integer> occurrences) {
    SubnodeConfiguration section = library.getSection(header);
    List<Object> values = section.getList(key.replace(".", ".."));
    int occurrence = occurrences.merge(header + "\n" + key, 1, Integer::sum) - 1;
    return occurrence < values.size() ? String.valueOf(values.get(occurrence)).strip() : "";
  }

  private ConfigurationException failure(int line, String field, String message) {
    return new ConfigurationException(List.of(new Problem(file, line, field, message)));
  }
}
