package org.burdockbay.server.logging;

import org.tinylog.Logger;

/**
 * Logs events as single lines of key=value pairs.
 *
 * <p>Callers must not pass payloads, answers or credentials.
 */
public final class EventLog {

  /** Maximum length of a line, in characters; the rest of longer ones is cut off. */
  static final int MAX_LINE_CHARS = 2_000;

  private final String host;

  /** Creates a log that adds the given host id to each line. */
  public EventLog(String host) {
    this.host = host;
  }

  /** Logs an event of normal operation; {@code fields} are key=value pairs. */
  public void info(String event, String fields) {
    Logger.info(formatLine(event, fields));
  }

  /** Logs an event that may need the attention of an operator. */
  public void warn(String event, String fields) {
    Logger.warn(formatLine(event, fields));
  }

  /** Logs a failure with its cause. */
  public void error(String event, String fields, Throwable cause) {
    Logger.error(cause, formatLine(event, fields));
  }

  /** Quotes a value that contains blanks; double quotes and line feeds in it are replaced. */
  public static String quote(String value) {
    return '"' + value.replace('"', '\'').replace('\n', ' ') + '"';
  }

  String formatLine(String event, String fields) {
    String head = "host=" + host + " event=" + event;
    String line = fields.isEmpty() ? head : head + " " + fields;
    int excess = line.length() - MAX_LINE_CHARS;
    return excess <= 0 ? line : line.substring(0, MAX_LINE_CHARS) + "... cut-chars=" + excess;
  }
}
