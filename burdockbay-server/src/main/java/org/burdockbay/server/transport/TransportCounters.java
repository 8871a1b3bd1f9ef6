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
  enum Reason {
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
  private final Map<Wire.Envelope.BodyCase, Traffic> received;
  private final Map<Wire.Envelope.BodyCase, Traffic> sent;
  private final Map<Wire.Envelope.BodyCase, Counter> dropped =
      new EnumMap<>(Wire.Envelope.BodyCase.class);
  private final Map<Reason, Counter> connected = new EnumMap<>(Reason.class);
  private final Counter refused;

  /** Creates counters in the given registry. */
  public TransportCounters(MetricRegistry registry) {
    this.registry = registry;
    this.refused = registry.counter("peer.refused");
    this.received = traffic("peer.received");
    this.sent = traffic("peer.sent");
    for (Wire.Envelope.BodyCase kind : Wire.Envelope.BodyCase.values()) {
      dropped.put(kind, registry.counter("peer.dropped." + word(kind)));
    }
    for (Reason reason : Reason.values()) {
      connected.put(reason, registry.counter("peer.connections." + word(reason)));
    }
  }

  /** Shows the most bytes that wait for one host, as they are when the metrics are read. */
  void showUnsent(LongSupplier most) {
    registry.gauge("peer.unsent.bytes.most", () -> (Gauge<Long>) most::getAsLong);
  }

  void received(Wire.Envelope envelope, int bytes) {
    received.get(envelope.getBodyCase()).count(bytes);
  }

  void sent(Wire.Envelope envelope) {
    sent.get(envelope.getBodyCase()).count(envelope.getSerializedSize());
  }

  void dropped(Wire.Envelope envelope) {
    dropped.get(envelope.getBodyCase()).inc();
  }

  void connected(Reason reason) {
    connected.get(reason).inc();
  }

  void refused() {
    refused.inc();
  }

  private Map<Wire.Envelope.BodyCase, Traffic> traffic(String prefix) {
    Map<Wire.Envelope.BodyCase, Traffic> byKind = new EnumMap<>(Wire.Envelope.BodyCase.class);
    for (Wire.Envelope.BodyCase kind : Wire.Envelope.BodyCase.values()) {
      String name = prefix + "." + word(kind);
      byKind.put(kind, new Traffic(registry.counter(name), registry.counter(name + ".bytes")));
    }
    return byKind;
  }

  private static String word(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private record Traffic(Counter messages, Counter bytes) {

    void count(int size) {
      messages.inc();
      bytes.inc(size);
    }
  }
}
