package org.burdockbay.core.catalog;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.burdockbay.core.message.PeerMessage;

/** Simulates hosts whose links have limited bandwidth in each direction. */
final class LinkModel {

  static final long HEARTBEAT_INTERVAL_MILLIS = 150;
  private static final double PROPAGATION_DELAY_MILLIS = 1;
  private static final int OVERHEAD_BYTES_PER_MESSAGE = 150;

  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparingLong(Event::number));
  private final List<Host> hosts = new ArrayList<>();
  private long lastNumber;
  private double now;

  /** Adds a host with the given link bandwidth in bytes per millisecond. */
  Host addHost(double bytesPerMilli) {
    Host host = new Host(hosts.size(), bytesPerMilli);
    hosts.add(host);
    schedule(now + host.index % HEARTBEAT_INTERVAL_MILLIS, host::heartbeat);
    return host;
  }

  /** Schedules an action at a simulated time, in milliseconds. */
  void schedule(double time, Runnable action) {
    events.add(new Event(time, ++lastNumber, action));
  }

  /** Runs the scheduled events up to and including a simulated time, in milliseconds. */
  void runUntil(double end) {
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event event = events.remove();
      now = event.at();
      event.action().run();
    }
    now = end;
  }

  /** Returns the longest interval between heartbeats of one host at another, in milliseconds. */
  double longestHeartbeatInterval() {
    return hosts.stream().mapToDouble(host -> host.longestHeartbeatInterval).max().orElse(0);
  }

  private record Event(double at, long number, Runnable action) {}

  /** A host that announces its catalog version in heartbeats and downloads newer ones. */
  final class Host {

    private final int index;
    private final double bytesPerMilli;
    private final double[] lastHeartbeatAt = new double[1_000];
    private CatalogDownload download = new CatalogDownload();
    private CatalogSource source = new CatalogSource();
    private double uplinkFreeAt;
    private double downlinkFreeAt;
    private double longestHeartbeatInterval;
    private long version;
    double inForceAt;

    private Host(int index, double bytesPerMilli) {
      this.index = index;
      this.bytesPerMilli = bytesPerMilli;
      Arrays.fill(lastHeartbeatAt, -1);
    }

    long version() {
      return version;
    }

    void publish(CompressedCatalog catalog) {
      if (catalog.version() > version) {
        version = catalog.version();
        source.add(catalog);
        inForceAt = now;
        sendHeartbeats();
      }
    }

    void restart() {
      version = 0;
      download = new CatalogDownload();
      source = new CatalogSource();
    }

    private void heartbeat() {
      sendHeartbeats();
      schedule(now + HEARTBEAT_INTERVAL_MILLIS, this::heartbeat);
    }

    private void sendHeartbeats() {
      long announced = version;
      for (Host to : hosts) {
        if (to != this) {
          send(to, 0, receiver -> receiver.handleHeartbeat(this, announced));
        }
      }
    }

    private void send(Host to, int bytes, Consumer<Host> delivery) {
      int size = OVERHEAD_BYTES_PER_MESSAGE + bytes;
      uplinkFreeAt = Math.max(uplinkFreeAt, now) + size / bytesPerMilli;
      schedule(
          uplinkFreeAt + PROPAGATION_DELAY_MILLIS,
          () -> {
            to.downlinkFreeAt = Math.max(to.downlinkFreeAt, now) + size / to.bytesPerMilli;
            schedule(to.downlinkFreeAt, () -> delivery.accept(to));
          });
    }

    private void handleHeartbeat(Host from, long announcedVersion) {
      if (lastHeartbeatAt[from.index] >= 0) {
        longestHeartbeatInterval =
            Math.max(longestHeartbeatInterval, now - lastHeartbeatAt[from.index]);
      }
      lastHeartbeatAt[from.index] = now;
      if (announcedVersion > version) {
        download
            .handleAnnouncement(announcedVersion, (long) now)
            .ifPresent(request -> fetch(from, request));
      }
    }

    private void fetch(Host from, CatalogPart.Request request) {
      send(
          from, 0, source -> source.handleRequest(this, new PeerMessage.FetchCatalogPart(request)));
    }

    private void handleRequest(Host receiver, PeerMessage.FetchCatalogPart fetch) {
      source
          .servePart("host-" + receiver.index, fetch.request(), (long) now)
          .ifPresent(part -> send(receiver, part.data().size(), to -> to.handlePart(this, part)));
    }

    private void handlePart(Host from, CatalogPart part) {
      if (part.version() <= version) {
        return;
      }
      switch (download.handlePart(part, (long) now)) {
        case CatalogDownload.Result.None none -> {}
        case CatalogDownload.Result.Continue next -> fetch(from, next.request());
        case CatalogDownload.Result.Complete complete -> publish(complete.catalog());
      }
    }
  }
}
