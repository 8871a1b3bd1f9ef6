package org.burdockbay.server.metrics;

import com.codahale.metrics.MetricRegistry;
import org.burdockbay.core.clock.Clock;

/**
 * The text of all metrics, which is formatted again only after {@link #MAX_AGE_MILLIS}.
 *
 * <p>Formatting sorts the samples of all histograms, so many scrapes at once would hold up the
 * thread that serves them. Not thread-safe.
 */
public final class MetricsSnapshot {

  /** Age up to which a text is used again, in milliseconds. */
  static final long MAX_AGE_MILLIS = 500;

  private final MetricRegistry registry;
  private final Clock clock;
  private String text = "";
  private long formattedAt = Long.MIN_VALUE / 2;

  /** Creates a snapshot that isn't formatted yet. */
  public MetricsSnapshot(MetricRegistry registry, Clock clock) {
    this.registry = registry;
    this.clock = clock;
  }

  /** Returns the text of the metrics, at most {@link #MAX_AGE_MILLIS} old. */
  public String text() {
    long now = clock.millis();
    if (now - formattedAt > MAX_AGE_MILLIS) {
      text = MetricsTextFormat.format(registry);
      formattedAt = now;
    }
    return text;
  }
}
