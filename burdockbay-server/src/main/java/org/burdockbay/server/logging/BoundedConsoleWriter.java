package org.burdockbay.server.logging;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.tinylog.core.LogEntry;
import org.tinylog.core.LogEntryValue;
import org.tinylog.writers.AbstractFormatPatternWriter;

/**
 * Writes log lines to standard output on a separate thread, through a bounded queue.
 *
 * <p>Logging never blocks: when the queue is full by number or length of its lines, lines are
 * dropped, and a line with their number follows the next lines that are written. The logging
 * library's configuration refers to this writer as {@code bounded console}.
 */
public final class BoundedConsoleWriter extends AbstractFormatPatternWriter {

  /** Capacity of the queue; at 200 bytes a line the queue takes less than a megabyte. */
  private static final int MAX_QUEUED_LINES = 4_096;

  /** Maximum number of characters in the queue. */
  private static final int MAX_QUEUED_CHARS = 1024 * 1024;

  private static final int MAX_BATCH_LINES = 256;

  private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
  private final AtomicLong queuedChars = new AtomicLong();
  private final AtomicLong droppedLines = new AtomicLong();
  private final PrintStream out = System.out;
  private final Thread thread;

  /** Creates a writer from its properties in the logging library's configuration. */
  public BoundedConsoleWriter(Map<String, String> properties) {
    super(properties);
    thread = Thread.ofPlatform().daemon().name("log-lines").start(this::run);
  }

  @Override
  public Collection<LogEntryValue> getRequiredLogEntryValues() {
    Collection<LogEntryValue> values = EnumSet.of(LogEntryValue.LEVEL);
    values.addAll(super.getRequiredLogEntryValues());
    return values;
  }

  @Override
  public void write(LogEntry entry) {
    String line = render(entry);
    if (queuedChars.addAndGet(line.length()) > MAX_QUEUED_CHARS || !queue.offer(line)) {
      queuedChars.addAndGet(-line.length());
      droppedLines.incrementAndGet();
    }
  }

  @Override
  public void flush() {
    List<String> rest = new ArrayList<>();
    queue.drainTo(rest);
    print(rest);
  }

  @Override
  public void close() {
    thread.interrupt();
    flush();
  }

  private void run() {
    List<String> batch = new ArrayList<>(MAX_BATCH_LINES);
    try {
      while (true) {
        batch.add(queue.take());
        queue.drainTo(batch, MAX_BATCH_LINES - 1);
        printSafely(batch);
        batch.clear();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Prints lines, or counts them as dropped; without this thread nothing would be logged. */
  private void printSafely(List<String> lines) {
    try {
      print(lines);
    } catch (RuntimeException | OutOfMemoryError e) {
      droppedLines.addAndGet(lines.size());
    }
  }

  private synchronized void print(List<String> lines) {
    lines.forEach(line -> queuedChars.addAndGet(-line.length()));
    long lost = droppedLines.getAndSet(0);
    StringBuilder text = new StringBuilder(String.join("", lines));
    if (lost > 0) {
      text.append("level=WARN event=log-lines-dropped count=").append(lost).append('\n');
    }
    out.append(text);
    out.flush();
  }
}
