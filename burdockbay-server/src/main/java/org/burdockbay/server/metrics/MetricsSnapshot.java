package org.burdockbay.server.metrics;

import com.codahale.metrics.MetricRegistry;
import org.burdockbay.core.clock.Clock;

/**
 * The text of all metrics, formatted for each scrape up to a rate.
 *
 * <p>Formatting sorts the samples of all histograms, so many scrapes at once would block the event
 * loop that serves them; those beyond the rate get the previous text. Not thread-safe.
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

  /** Returns the text of the metrics, at most {@link #PERIOD_MILLIS} old. */
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
