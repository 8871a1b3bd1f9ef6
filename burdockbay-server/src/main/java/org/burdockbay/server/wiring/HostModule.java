package org.burdockbay.server.wiring;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.ObjectMapper;
import dagger.Module;
import dagger.Provides;
import javax.inject.Singleton;
import org.burdockbay.core.clock.Clock;
import org.burdockbay.server.host.ConfigurationKeeper;
import org.burdockbay.server.host.ControlThread;
import org.burdockbay.server.host.HostParts;
import org.burdockbay.server.http.Responder;
import org.burdockbay.server.logging.EventLog;
import org.burdockbay.server.metrics.HostMetrics;
import org.burdockbay.server.runner.RunnerClient;
import org.burdockbay.server.settings.HostSettings;
import org.burdockbay.server.transport.PeerTransport;
import org.burdockbay.server.transport.TransportCounters;
import org.burdockbay.server.transport.TransportSettings;

/** Provides the objects that a host is composed of. */
@Module
public final class HostModule {

  /** Heap for each token of a JSON document, in bytes; its tree takes a part of it. */
  private static final long HEAP_BYTES_PER_TOKEN = 1_024;

  private HostModule() {}

  @Provides
  @Singleton
  static Clock clock() {
    return Clock.monotonic();
  }

  @Provides
  @Singleton
  static MetricRegistry registry() {
    return new MetricRegistry();
  }

  @Provides
  @Singleton
  static EventLog log(HostSettings settings) {
    return new EventLog(settings.id());
  }

  @Provides
  @Singleton
  static ObjectMapper json() {
    StreamReadConstraints constraints =
        StreamReadConstraints.builder()
            .maxTokenCount(Runtime.getRuntime().maxMemory() / HEAP_BYTES_PER_TOKEN)
            .build();
    JsonFactory factory = JsonFactory.builder().streamReadConstraints(constraints).build();
    return new ObjectMapper(factory)
        .registerModule(new com.fasterxml.jackson.datatype.jdk8.Jdk8Module());
  }

  @Provides
  @Singleton
  static Responder responder(ObjectMapper json) {
    return new Responder(json);
  }

  @Provides
  @Singleton
  static HostMetrics metrics(MetricRegistry registry) {
    return new HostMetrics(registry);
  }

  @Provides
  @Singleton
  static ConfigurationKeeper configuration(EventLog log) {
    return new ConfigurationKeeper(log);
  }

  @Provides
  @Singleton
  static HostParts parts(
      HostSettings settings, Clock clock, EventLog log, HostMetrics metrics, ObjectMapper json) {
    long incarnation = clock.millis();
    TransportCounters counters = new TransportCounters(metrics.registry());
    return new HostParts(
        settings,
        incarnation,
        clock,
        log,
        metrics,
        new PeerTransport(
            TransportSettings.forStaticPeers(settings), incarnation, counters, log, clock),
        new RunnerClient(json),
        new ControlThread(clock, log, metrics.registry()));
  }
}
