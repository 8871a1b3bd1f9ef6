package org.burdockbay.server.logging;

import org.tinylog.Logger;

/**
 * Writes events as one line of key=value pairs.
 *
 * <p>Payloads, answers and credentials never go into a line.
 */
public final class EventLog {

  private final String host;

  /** Creates a log whose lines name the given host. */
  public EventLog(String host) {
    this.host = host;
  }

  /** Writes an event of ordinary operation; {@code fields} are key=value pairs. */
  public void info(String event, String fields) {
    Logger.info(formatLine(event, fields));
  }

  /** Writes an event that an operator should look at. */
  public void warn(String event, String fields) {
    Logger.warn(formatLine(event, fields));
  }

  /** Writes a failure with its cause. */
  public void error(String event, String fields, Throwable cause) {
    Logger.error(cause, formatLine(event, fields));
  }

  /** Returns a value that contains blanks as one quoted word. */
  public static String quote(String value) {
    return '"' + value.replace('"', '\'').replace('\n', ' ') + '"';
  }

  private String formatLine(String event, String fields) {
    String head = "host=" + host + " event=" + event;
    return fields.isEmpty() ? head : head + " " + fields;
  }
}
