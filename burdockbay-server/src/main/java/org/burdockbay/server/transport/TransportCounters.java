package org.burdockbay.server.transport;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.LongSupplier;
import org.burdockbay.wire.proto.Wire;

/** Counts messages and bytes between hosts by kind of message, and connections by reason. */
public final class TransportCounters {

  /** Reason to open a connection to another host. */
  enum ConnectReason {
    /** There was no earlier attempt. */
    FIRST,
    /** The previous attempt failed. */
    FAILED,
    /** The previous connection was closed by the other host or the network. */
    LOST,
    /** The previous connection no longer reached the other host. */
    SILENT,
    /** The previous connection had too many unsent bytes. */
    BACKLOG
  }

  private final MetricRegistry registry;
  private final Map<Enum<?>, Traffic> receivedByKind;
  private final Map<Enum<?>, Traffic> sentByKind;
  private final Map<Enum<?>, Counter> droppedByKind = new HashMap<>();
  private final Map<ConnectReason, Counter> connectionsByReason =
      new EnumMap<>(ConnectReason.class);
  private final Counter refused;

  /** Creates counters in the given registry. */
  public TransportCounters(MetricRegistry registry) {
    this.registry = registry;
    this.refused = registry.counter("peer.refused");
    this.receivedByKind = trafficByKind("peer.received");
    this.sentByKind = trafficByKind("peer.sent");
    for (Enum<?> kind : kinds()) {
      droppedByKind.put(kind, registry.counter("peer.dropped." + metricName(kind)));
    }
    for (ConnectReason reason : ConnectReason.values()) {
      connectionsByReason.put(reason, registry.counter("peer.connections." + metricName(reason)));
    }
  }

  /** Registers a gauge of the largest number of unsent bytes of any connection. */
  void registerUnsentGauge(LongSupplier maxUnsentBytes) {
    registry.gauge("peer.unsent.bytes.most", () -> (Gauge<Long>) maxUnsentBytes::getAsLong);
  }

  void countReceived(Wire.Envelope envelope, int bytes) {
    receivedByKind.get(kind(envelope)).count(bytes);
  }

  void countSent(Wire.Envelope envelope) {
    sentByKind.get(kind(envelope)).count(envelope.getSerializedSize());
  }

  void countDropped(Wire.Envelope envelope) {
    droppedByKind.get(kind(envelope)).inc();
  }

  void countConnection(ConnectReason reason) {
    connectionsByReason.get(reason).inc();
  }

  void countRefused() {
    refused.inc();
  }

  private Map<Enum<?>, Traffic> trafficByKind(String prefix) {
    Map<Enum<?>, Traffic> byKind = new HashMap<>();
    for (Enum<?> kind : kinds()) {
      String name = prefix + "." + metricName(kind);
      byKind.put(kind, new Traffic(registry.counter(name), registry.counter(name + ".bytes")));
    }
    return byKind;
  }

  private static List<Enum<?>> kinds() {
    List<Enum<?>> kinds = new ArrayList<>(List.of(Wire.Envelope.BodyCase.values()));
    kinds.addAll(List.of(Wire.Envelope.ExtensionCase.values()));
    kinds.remove(Wire.Envelope.ExtensionCase.EXTENSION_NOT_SET);
    return kinds;
  }

  /** Returns the kind of a message; the body of one with an extension is empty news. */
  private static Enum<?> kind(Wire.Envelope envelope) {
    Wire.Envelope.ExtensionCase extension = envelope.getExtensionCase();
    return extension == Wire.Envelope.ExtensionCase.EXTENSION_NOT_SET
        ? envelope.getBodyCase()
        : extension;
  }

  private static String metricName(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private record Traffic(Counter messages, Counter bytes) {

    void count(int encodedBytes) {
      messages.inc();
      bytes.inc(encodedBytes);
    }
  }
}
