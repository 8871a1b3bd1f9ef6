package org.burdockbay.server.metrics;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.codahale.metrics.MetricRegistry;
import java.util.concurrent.atomic.AtomicLong;
import org.testng.annotations.Test;

/** Tests {@link HostMetrics}. */
public class HostMetricsTest {

  /** Guards against many scrapes that block the event loop, and outdated metrics for a few. */
  @Test
  public void formatsMetricsForFewOfManyScrapes() {
    AtomicLong now = new AtomicLong();
    MetricRegistry registry = new MetricRegistry();
    MetricsSnapshot snapshot = new MetricsSnapshot(registry, now::get);
    for (int i = 1; i <= 100; i++) {
      registry.counter("c").inc();
      long shown = Math.min(i, MetricsSnapshot.MAX_FORMATS);
      assertEquals(snapshot.text(), "burdockbay_c_total " + shown + "\n");
    }
    now.addAndGet(MetricsSnapshot.PERIOD_MILLIS + 1);
    assertEquals(snapshot.text(), "burdockbay_c_total 100\n");
  }

  /** Guards against histograms for each queue of any configuration, of which none is removed. */
  @Test
  public void sharesMetricsAmongQueuesBeyondLimits() {
    MetricRegistry registry = new MetricRegistry();
    HostMetrics metrics = new HostMetrics(registry);
    for (int i = 0; i < 5_000; i++) {
      metrics.recordWork("q" + i, "completed", 7);
    }
    metrics.recordWork("q0", "completed", 7);
    assertTrue(registry.getHistograms().size() <= 40, registry.getHistograms().size() + "");
    assertTrue(registry.getCounters().size() <= 1_100, registry.getCounters().size() + "");
    assertEquals(registry.counter("outcome.queue.q0.completed").getCount(), 2);
  }
}
