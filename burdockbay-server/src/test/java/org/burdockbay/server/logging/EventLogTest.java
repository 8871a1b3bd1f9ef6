package org.burdockbay.server.logging;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.testng.annotations.Test;

/** Tests {@link EventLog}. */
public class EventLogTest {

  /** Guards against lines with texts of other parties that fill the memory of the log's queue. */
  @Test
  public void cutsLongLines() {
    String line = new EventLog("h").formatLine("e", "path=" + "x".repeat(60_000));
    assertTrue(line.length() < EventLog.MAX_LINE_CHARS + 100, line.length() + " characters");
    assertTrue(line.endsWith("... cut-chars=58020"), line.substring(EventLog.MAX_LINE_CHARS));
    assertEquals(new EventLog("h").formatLine("e", "a=1"), "host=h event=e a=1");
  }
}
