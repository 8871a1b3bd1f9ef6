package org.burdockbay.server.metrics;

import com.codahale.metrics.MetricRegistry;
import org.burdockbay.core.clock.Clock;

/**
 * The text of all metrics, which is formatted for each scrape unless there are very many.
 *
 * <p>Formatting sorts the samples of all histograms, so many scrapes at once would hold up the
 * thread that serves them; those beyond a limit get the last text again. Not thread-safe.
 */
public final class MetricsSnapshot {

  /** Maximum number of times that the text is formatted within {@link #PERIOD_MILLIS}. */
  static final int MAX_FORMATS = 10;

  static final long PERIOD_MILLIS = 500;

  private final MetricRegistry registry;
  private final Clock clock;
  private String text = "";
  private long periodBegunAt = Long.MIN_VALUE / 2;
  private int formats;

  /** Creates a snapshot that isn't formatted yet. */
  public MetricsSnapshot(MetricRegistry registry, Clock clock) {
    this.registry = registry;
    this.clock = clock;
  }

  /** Returns the text of the metrics, which under many scrapes may be from a moment before. */
  public String text() {
    long now = clock.millis();
    if (now - periodBegunAt > PERIOD_MILLIS) {
      periodBegunAt = now;
      formats = 0;
    }
    if (formats < MAX_FORMATS) {
      formats++;
      text = MetricsTextFormat.format(registry);
    }
    return text;
  }
}
