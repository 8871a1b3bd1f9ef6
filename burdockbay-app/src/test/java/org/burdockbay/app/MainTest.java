package org.burdockbay.app;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.testng.annotations.Test;

/** Tests for {@link Main}: exit codes. */
public class MainTest {

  /**
   * A command that throws an unchecked exception must lead to an exit code; otherwise its other
   * threads could keep the process alive.
   */
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
