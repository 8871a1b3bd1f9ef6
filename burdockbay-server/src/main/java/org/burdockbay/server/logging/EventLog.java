package org.burdockbay.server.logging;

import org.tinylog.Logger;

/**
 * Logs events as single lines of key=value pairs.
 *
 * <p>Callers must not pass payloads, answers or credentials.
 */
public final class EventLog {

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

  private String formatLine(String event, String fields) {
    String head = "host=" + host + " event=" + event;
    return fields.isEmpty() ? head : head + " " + fields;
  }
}
