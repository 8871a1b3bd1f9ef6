package org.burdockbay.core.configuration;

import java.util.List;

/**
 * An INI text as sections and entries with line numbers, before validation.
 *
 * @param file name of the document in problems
 * @param sections sections in the order of the text
 */
public record IniDocument(String file, List<Section> sections) {

  /**
   * A section.
   *
   * @param header content of the header between the brackets
   * @param line line number of the header, starting at 1
   * @param entries entries in the order of the text
   */
  public record Section(String header, int line, List<Entry> entries) {

    /** Returns the first word of the header. */
    public String kind() {
      int space = header.indexOf(' ');
      return space < 0 ? header : header.substring(0, space);
    }

    /** Returns the part of the header after its first word; empty if there is none. */
    public String name() {
      int space = header.indexOf(' ');
      return space < 0 ? "" : header.substring(space + 1).strip();
    }
  }

  /**
   * A key and its value.
   *
   * @param key the key
   * @param value the value
   * @param line line number of the entry, starting at 1
   */
  public record Entry(String key, String value, int line) {}
}
