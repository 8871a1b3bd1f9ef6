package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to {@code record.txt}, with milliseconds since the start. */
final class Record implements AutoCloseable {

  private final long startedNanos = System.nanoTime();
  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file));
  }

  /** Returns the time since the start, in milliseconds. */
  long now() {
    return (System.nanoTime() - startedNanos) / 1_000_000;
  }

  synchronized void line(String text) {
    out.printf("%7d %s%n", now(), text);
    out.flush();
  }

  @Override
  public void close() {
    out.close();
  }
}
