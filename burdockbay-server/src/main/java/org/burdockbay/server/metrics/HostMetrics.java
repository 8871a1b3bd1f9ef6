package org.burdockbay.server.metrics;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.burdockbay.core.agreement.FaultMargin;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.submission.JobOutcome;

/** Records response times and outcomes of jobs and work, and counts events. */
public final class HostMetrics {

  /** Prefix of the names of the response time histograms, whose values are in milliseconds. */
  public static final String RESPONSE_PREFIX = "response";

  private static final String OUTCOME_PREFIX = "outcome";

  /**
   * Maximum number of histograms of response times, each of which keeps a sample of the values.
   * Queues and jobs beyond it share one.
   */
  private static final int MAX_RESPONSE_HISTOGRAMS = 32;

  /** Maximum number of queues and callers whose outcomes are counted separately. */
  private static final int MAX_OUTCOME_GROUPS = 1_000;

  /** The name under which all others are recorded. */
  private static final String OTHERS = "others";

  private final MetricRegistry registry;
  private final Set<String> responseNames = ConcurrentHashMap.newKeySet();
  private final Set<String> outcomeNames = ConcurrentHashMap.newKeySet();
  private final AtomicInteger evacuatedDomains = new AtomicInteger();
  private volatile FaultMargin faultMargin = FaultMargin.NO_QUORUM;
  private volatile FaultTolerance faultTolerance = FaultTolerance.DEFAULT;

  /** Creates metrics that are registered in the given registry. */
  public HostMetrics(MetricRegistry registry) {
    this.registry = registry;
    registerGauge("evacuated-domains", evacuatedDomains::get);
  }

  /**
   * Registers gauges for the losses that the agreement group bears; for hosts that belong to it.
   */
  public void registerFaultMargin() {
    registerGauge("fault-margin-hosts", () -> faultMargin.hosts());
    registerGauge("fault-margin-domains", () -> faultMargin.domains());
    registerGauge("fault-tolerance-hosts", () -> faultTolerance.hosts());
    registerGauge("fault-tolerance-domains", () -> faultTolerance.domains());
  }

  /** Records the losses that the agreement group bears now, and those that it must bear. */
  public void recordFaultMargin(FaultMargin margin, FaultTolerance tolerance) {
    faultMargin = margin;
    faultTolerance = tolerance;
  }

  /** Returns the registry. */
  public MetricRegistry registry() {
    return registry;
  }

  /** Records the outcome of a job and its response time in milliseconds. */
  public void recordJob(String caller, String job, JobOutcome outcome, long millis) {
    recordResponse(MetricRegistry.name(caller, job), millis);
    String group = limited(caller, outcomeNames, MAX_OUTCOME_GROUPS);
    registry.counter(MetricRegistry.name(OUTCOME_PREFIX, group, outcome.code())).inc();
  }

  /** Records the outcome of work of a queue and its response time in milliseconds. */
  public void recordWork(String queue, String outcome, long millis) {
    recordResponse(MetricRegistry.name("queue", queue), millis);
    String group = limited(queue, outcomeNames, MAX_OUTCOME_GROUPS);
    registry.counter(MetricRegistry.name(OUTCOME_PREFIX, "queue", group, outcome)).inc();
  }

  private void recordResponse(String name, long millis) {
    String limitedName = limited(name, responseNames, MAX_RESPONSE_HISTOGRAMS);
    registry.histogram(MetricRegistry.name(RESPONSE_PREFIX, limitedName)).update(millis);
  }

  /**
   * Returns a name if it is known or there is room for it, else the shared one. Names come from
   * configurations, and the metrics of removed queues remain.
   */
  private static String limited(String name, Set<String> known, int maxNames) {
    boolean accepted = known.contains(name) || (known.size() < maxNames && known.add(name));
    return accepted || known.contains(name) ? name : OTHERS;
  }

  /** Records the number of evacuated failure domains. */
  public void recordEvacuatedDomains(int count) {
    evacuatedDomains.set(count);
  }

  /** Counts an event by its name. */
  public void countEvent(String name) {
    registry.counter(MetricRegistry.name("event", name)).inc();
  }

  /** Returns a summary of each response time histogram, by name without the prefix. */
  public Map<String, Map<String, Object>> responseTimes() {
    Map<String, Map<String, Object>> summaries = new LinkedHashMap<>();
    registry
        .getHistograms((name, metric) -> name.startsWith(RESPONSE_PREFIX + "."))
        .forEach(
            (name, histogram) -> {
              Snapshot snapshot = histogram.getSnapshot();
              Map<String, Object> summary = new LinkedHashMap<>();
              summary.put("count", histogram.getCount());
              summary.put("p50", snapshot.getMedian());
              summary.put("p99", snapshot.get99thPercentile());
              summary.put("max", snapshot.getMax());
              summaries.put(name.substring(RESPONSE_PREFIX.length() + 1), summary);
            });
    return summaries;
  }

  /** Registers a gauge. */
  public <T extends Number> void registerGauge(String name, Gauge<T> gauge) {
    registry.gauge(name, () -> gauge);
  }
}
