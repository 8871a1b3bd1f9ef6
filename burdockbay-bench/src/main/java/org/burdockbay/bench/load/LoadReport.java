package org.burdockbay.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** One line of key=value pairs for a run, with its references on the same arrivals. */
public final class LoadReport {

  private LoadReport() {}

  /**
   * Returns the line.
   *
   * @param roundTripMillis added to each reference, since a central queue is also reached over a
   *     network
   */
  public static String formatLine(
      double load, List<Arrival> plan, int slots, LoadDriver driver, double roundTripMillis) {
    Histogram subject = driver.responseTimes();
    Histogram ideal = histogram(QueueModel.centralQueue(plan, slots), roundTripMillis);
    Histogram noWait = histogram(QueueModel.withoutQueueing(plan), roundTripMillis);
    Histogram split = histogram(QueueModel.separateQueues(plan, slots, 3), roundTripMillis);
    int tasks = plan.stream().mapToInt(arrival -> arrival.taskRunMillis().size()).sum();
    String outcomes =
        driver.outcomes().entrySet().stream()
            .map(entry -> entry.getKey() + ":" + entry.getValue())
            .sorted()
            .collect(Collectors.joining(","));
    return String.format(
        Locale.ROOT,
        "load=%.2f jobs=%d tasks=%d outcomes=%s wrong=%d p50=%d p99=%d ideal-p50=%d ideal-p99=%d"
            + " p50-over-ideal=%.3f p99-over-ideal=%.3f split-p50-over-ideal=%.3f"
            + " split-p99-over-ideal=%.3f p50-over-no-wait=%.3f p99-over-no-wait=%.3f",
        load,
        plan.size(),
        tasks,
        outcomes,
        driver.wrongAnswers(),
        valueAtPercentile(subject, 50),
        valueAtPercentile(subject, 99),
        valueAtPercentile(ideal, 50),
        valueAtPercentile(ideal, 99),
        percentileRatio(subject, ideal, 50),
        percentileRatio(subject, ideal, 99),
        percentileRatio(split, ideal, 50),
        percentileRatio(split, ideal, 99),
        percentileRatio(subject, noWait, 50),
        percentileRatio(subject, noWait, 99));
  }

  private static Histogram histogram(List<Double> responses, double extra) {
    Histogram histogram = new Histogram(3_600_000, 3);
    responses.forEach(response -> histogram.recordValue(Math.max(1, Math.round(response + extra))));
    return histogram;
  }

  private static long valueAtPercentile(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile);
  }

  private static double percentileRatio(Histogram subject, Histogram reference, double percentile) {
    return (double) valueAtPercentile(subject, percentile)
        / Math.max(1, valueAtPercentile(reference, percentile));
  }
}
