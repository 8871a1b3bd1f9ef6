package org.burdockbay.server.node;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.server.host.PeerSender;

/**
 * Reports the speeds of upstreams that this host has learned as a dispatcher to the other hosts of
 * its failure domain, which may take over its shard.
 */
final class SpeedGossip {

  /** Interval at which the speeds are reported, in milliseconds. */
  static final long REPORT_INTERVAL_MILLIS = 2_000;

  private final HostDirectory directory;
  private final PeerSender sender;
  private final Supplier<Map<String, Double>> speeds;
  private final Consumer<LeaseEvent> dispatcher;
  private long nextReportAt;

  /**
   * Creates the gossip.
   *
   * @param speeds supplies the speeds that this host has learned, empty without the role
   * @param dispatcher handles the speeds that other hosts report
   */
  SpeedGossip(
      HostDirectory directory,
      PeerSender sender,
      Supplier<Map<String, Double>> speeds,
      Consumer<LeaseEvent> dispatcher) {
    this.directory = directory;
    this.sender = sender;
    this.speeds = speeds;
    this.dispatcher = dispatcher;
  }

  /** Handles a report of another host. */
  void handleReport(PeerMessage.UpstreamSpeeds message) {
    dispatcher.accept(new LeaseEvent.SpeedsReported(message.speeds()));
  }

  /** Sends a report if it is due and there is any speed to report. */
  void tick(long now) {
    if (now < nextReportAt) {
      return;
    }
    nextReportAt = now + REPORT_INTERVAL_MILLIS;
    Map<String, Double> learned = speeds.get();
    if (learned.isEmpty()) {
      return;
    }
    PeerMessage message = new PeerMessage.UpstreamSpeeds(learned);
    List<HostDescriptor> descriptors = directory.descriptors();
    HostDescriptor self = descriptors.getFirst();
    descriptors.stream()
        .skip(1)
        .filter(host -> host.domain().equals(self.domain()))
        .forEach(host -> sender.send(host.id(), message));
  }
}
