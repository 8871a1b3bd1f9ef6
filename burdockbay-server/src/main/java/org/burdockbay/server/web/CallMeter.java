package org.burdockbay.server.web;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** Counts the calls of one kind, and their bytes on the connection, headers included. */
public final class CallMeter {

  private final Counter calls;
  private final Counter bytesOut;
  private final Counter bytesIn;
  private final Counter unanswered;

  /** Creates the counters of a kind of call in the given registry. */
  public CallMeter(MetricRegistry registry, String kind) {
    String name = "upstream.calls." + kind;
    this.calls = registry.counter(name);
    this.bytesOut = registry.counter(name + ".bytes-out");
    this.bytesIn = registry.counter(name + ".bytes-in");
    this.unanswered = registry.counter(name + ".unanswered");
  }

  void callStarted() {
    calls.inc();
  }

  void callUnanswered() {
    unanswered.inc();
  }

  void addBytes(long sentBytes, long receivedBytes) {
    bytesOut.inc(sentBytes);
    bytesIn.inc(receivedBytes);
  }
}
