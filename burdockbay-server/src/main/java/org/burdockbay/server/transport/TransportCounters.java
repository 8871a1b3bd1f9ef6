package org.burdockbay.server.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import org.burdockbay.wire.proto.Wire;

/** Counts messages, bytes and connections between hosts, by kind. */
public final class TransportCounters {

  /** Why a connection to another host was opened. */
  enum ConnectReason {
    /** The host wasn't connected before. */
    FIRST,
    /** The connection before could not be opened. */
    FAILED,
    /** The connection before was closed by the other host or the network. */
    LOST,
    /** The connection before didn't reach the other host any more. */
    SILENT,
    /** Too many bytes waited on the connection before. */
    BACKLOG
  }

  private final MetricRegistry registry;
  private final Map<Wire.Envelope.BodyCase, Traffic> receivedByKind;
  private final Map<Wire.Envelope.BodyCase, Traffic> sentByKind;
  private final Map<Wire.Envelope.BodyCase, Counter> droppedByKind =
      new EnumMap<>(Wire.Envelope.BodyCase.class);
  private final Map<ConnectReason, Counter> connectionsByReason =
      new EnumMap<>(ConnectReason.class);
  private final Counter refused;

  /** Creates counters in the given registry. */
  public TransportCounters(MetricRegistry registry) {
    this.registry = registry;
    this.refused = registry.counter("peer.refused");
    this.receivedByKind = trafficByKind("peer.received");
    this.sentByKind = trafficByKind("peer.sent");
    for (Wire.Envelope.BodyCase kind : Wire.Envelope.BodyCase.values()) {
      droppedByKind.put(kind, registry.counter("peer.dropped." + metricName(kind)));
    }
    for (ConnectReason reason : ConnectReason.values()) {
      connectionsByReason.put(reason, registry.counter("peer.connections." + metricName(reason)));
    }
  }

  /** Shows the most bytes that wait for one host, as they are when the metrics are read. */
  void registerUnsentGauge(LongSupplier most) {
    registry.gauge("peer.unsent.bytes.most", () -> (Gauge<Long>) most::getAsLong);
  }

  void countReceived(Wire.Envelope envelope, int bytes) {
    receivedByKind.get(envelope.getBodyCase()).count(bytes);
  }

  void countSent(Wire.Envelope envelope) {
    sentByKind.get(envelope.getBodyCase()).count(envelope.getSerializedSize());
  }

  void countDropped(Wire.Envelope envelope) {
    droppedByKind.get(envelope.getBodyCase()).inc();
  }

  void countConnection(ConnectReason reason) {
    connectionsByReason.get(reason).inc();
  }

  void countRefused() {
    refused.inc();
  }

  private Map<Wire.Envelope.BodyCase, Traffic> trafficByKind(String prefix) {
    Map<Wire.Envelope.BodyCase, Traffic> byKind = new EnumMap<>(Wire.Envelope.BodyCase.class);
    for (Wire.Envelope.BodyCase kind : Wire.Envelope.BodyCase.values()) {
      String name = prefix + "." + metricName(kind);
      byKind.put(kind, new Traffic(registry.counter(name), registry.counter(name + ".bytes")));
    }
    return byKind;
  }

  private static String metricName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private record Traffic(Counter messages, Counter bytes) {

    void count(int size) {
      messages.inc();
      bytes.inc(size);
    }
  }
}
