package org.burdockbay.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Exit codes of the binary. */
public class MainTest {

  /** A command that throws must not leave a process that only its other threads keep alive. */
  @Test
  public void returnsFailedWhenCommandThrows() {
    ByteArrayOutputStream lines = new ByteArrayOutputStream();
    PrintStream err = new PrintStream(lines, true, StandardCharsets.UTF_8);
    assertEquals(Main.run(new ThrowingCommand(), err), ExitCode.FAILED);
    assertTrue(lines.toString(StandardCharsets.UTF_8).contains("defect"));
  }

  private static final class ThrowingCommand implements Command {

    @Override
    public String summary() {
      return "throws";
    }

    @Override
    public ExitCode run() {
      throw new IllegalStateException("defect");
    }
  }
}
