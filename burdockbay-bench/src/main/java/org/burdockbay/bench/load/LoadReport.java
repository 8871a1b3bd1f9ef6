package org.burdockbay.bench.load;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;

/** Formats the result of a load run and compares it with queueing models of the same arrivals. */
public final class LoadReport {

  private LoadReport() {}

  /**
   * Returns one line of key=value pairs; times are in milliseconds.
   *
   * @param roundTripMillis network round trip, added to the response times of the models because
   *     callers would reach a central queue over a network as well
   */
  public static String formatLine(
      double load, List<Arrival> plan, int slots, LoadDriver driver, double roundTripMillis) {
    Histogram measured = driver.responseTimes();
    Histogram ideal = histogram(QueueModel.centralQueue(plan, slots), roundTripMillis);
    Histogram noWait = histogram(QueueModel.withoutQueueing(plan), roundTripMillis);
    Histogram separate = histogram(QueueModel.separateQueues(plan, slots, 3), roundTripMillis);
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
        valueAtPercentile(measured, 50),
        valueAtPercentile(measured, 99),
        valueAtPercentile(ideal, 50),
        valueAtPercentile(ideal, 99),
        percentileRatio(measured, ideal, 50),
        percentileRatio(measured, ideal, 99),
        percentileRatio(separate, ideal, 50),
        percentileRatio(separate, ideal, 99),
        percentileRatio(measured, noWait, 50),
        percentileRatio(measured, noWait, 99));
  }

  private static Histogram histogram(List<Double> responseMillis, double addedMillis) {
    Histogram histogram = new Histogram(3_600_000, 3);
    responseMillis.forEach(
        millis -> histogram.recordValue(Math.max(1, Math.round(millis + addedMillis))));
    return histogram;
  }

  private static long valueAtPercentile(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile);
  }

  private static double percentileRatio(
      Histogram measured, Histogram reference, double percentile) {
    return (double) valueAtPercentile(measured, percentile)
        / Math.max(1, valueAtPercentile(reference, percentile));
  }
}
