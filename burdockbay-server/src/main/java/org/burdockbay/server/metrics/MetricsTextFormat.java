package org.burdockbay.server.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Locale;

/** Formats the metrics of a registry as text for scraping. */
public final class MetricsTextFormat {

  private static final double[] QUANTILES = {0.5, 0.9, 0.99, 0.999};

  private MetricsTextFormat() {}

  /** Returns all counters, meters, numeric gauges and histograms, one value per line. */
  public static String format(MetricRegistry registry) {
    StringBuilder text = new StringBuilder();
    registry
        .getCounters()
        .forEach((name, counter) -> appendLine(text, name + "_total", "", counter.getCount()));
    registry
        .getMeters()
        .forEach((name, meter) -> appendLine(text, name + "_total", "", meter.getCount()));
    registry
        .getGauges()
        .forEach(
            (name, gauge) -> {
              if (gauge.getValue() instanceof Number number) {
                appendLine(text, name, "", number);
              }
            });
    registry.getHistograms().forEach((name, histogram) -> appendSummary(text, name, histogram));
    return text.toString();
  }

  private static void appendSummary(StringBuilder text, String name, Histogram histogram) {
    Snapshot snapshot = histogram.getSnapshot();
    for (double quantile : QUANTILES) {
      String label = String.format(Locale.ROOT, "{quantile=\"%s\"}", quantile);
      appendLine(text, name, label, snapshot.getValue(quantile));
    }
    appendLine(text, name + "_count", "", histogram.getCount());
  }

  private static void appendLine(StringBuilder text, String name, String labels, Number value) {
    text.append("burdockbay_")
        .append(name.replaceAll("[^A-Za-z0-9_]", "_"))
        .append(labels)
        .append(' ')
        .append(value)
        .append('\n');
  }
}
