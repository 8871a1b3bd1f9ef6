package org.burdockbay.wire;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.profile.SpeedCode;
import org.burdockbay.wire.proto.Wire;

/** Encodes and decodes announcements of upstreams and descriptors of hosts. */
final class FleetCodec {

  private FleetCodec() {}

  static Wire.UpstreamNews encode(PeerMessage.UpstreamNews news) {
    Wire.UpstreamNews.Builder builder = Wire.UpstreamNews.newBuilder();
    news.announced()
        .forEach(
            announced ->
                builder.addAnnounced(encode(announced.announcement(), announced.ageMillis())));
    news.departed().forEach(announcement -> builder.addDeparted(encode(announcement, 0)));
    return builder.build();
  }

  static Wire.UpstreamSpeeds encode(PeerMessage.UpstreamSpeeds message) {
    Wire.UpstreamSpeeds.Builder builder = Wire.UpstreamSpeeds.newBuilder();
    ByteString.Output codes = ByteString.newOutput(message.speeds().size());
    message
        .speeds()
        .forEach(
            (upstream, speed) -> {
              builder.addUpstreams(upstream);
              codes.write(SpeedCode.encode(speed));
            });
    return builder.setSpeeds(codes.toByteString()).build();
  }

  static Wire.HostCards encode(PeerMessage.KnownHosts known) {
    Wire.HostCards.Builder builder = Wire.HostCards.newBuilder();
    for (HostDescriptor descriptor : known.hosts()) {
      builder.addHosts(
          Wire.HostCard.newBuilder()
              .setId(descriptor.id())
              .setGroup(descriptor.group())
              .setDomain(descriptor.domain())
              .setAddress(descriptor.address()));
    }
    return builder.build();
  }

  private static Wire.UpstreamNotice encode(UpstreamAnnouncement announcement, long ageMillis) {
    return Wire.UpstreamNotice.newBuilder()
        .setId(announcement.id())
        .setBornMs(announcement.startedAt())
        .setSequence(announcement.sequence())
        .setService(announcement.service())
        .setAddress(announcement.address())
        .setDomain(announcement.domain())
        .setLeaving(announcement.leaving())
        .setCapacity(WorkCodec.encode(announcement.capacity()))
        .addAllLabels(announcement.labels())
        .setAgeMs(ageMillis)
        .build();
  }

  static PeerMessage.UpstreamNews decode(Wire.UpstreamNews news) {
    return new PeerMessage.UpstreamNews(
        news.getAnnouncedList().stream()
            .map(
                announced ->
                    new PeerMessage.UpstreamNews.Announced(decode(announced), announced.getAgeMs()))
            .toList(),
        news.getDepartedList().stream().map(FleetCodec::decode).toList());
  }

  static PeerMessage.UpstreamSpeeds decode(Wire.UpstreamSpeeds message) throws WireException {
    int count = message.getUpstreamsCount();
    if (message.getSpeeds().size() != count) {
      throw new WireException(
          "speeds of " + message.getSpeeds().size() + " upstreams; expected " + count);
    }
    Map<String, Double> speeds = new HashMap<>();
    for (int i = 0; i < count; i++) {
      int code = Byte.toUnsignedInt(message.getSpeeds().byteAt(i));
      speeds.put(message.getUpstreams(i), SpeedCode.decode(code));
    }
    return new PeerMessage.UpstreamSpeeds(speeds);
  }

  static PeerMessage.KnownHosts decode(Wire.HostCards hosts) {
    return new PeerMessage.KnownHosts(
        hosts.getHostsList().stream()
            .map(
                descriptor ->
                    new HostDescriptor(
                        descriptor.getId(),
                        descriptor.getGroup(),
                        descriptor.getDomain(),
                        descriptor.getAddress()))
            .toList());
  }

  private static UpstreamAnnouncement decode(Wire.UpstreamNotice announcement) {
    return new UpstreamAnnouncement(
        announcement.getId(),
        announcement.getBornMs(),
        announcement.getSequence(),
        announcement.getService(),
        announcement.getAddress(),
        announcement.getDomain(),
        announcement.getLeaving(),
        WorkCodec.decode(announcement.getCapacity()),
        Set.copyOf(announcement.getLabelsList()));
  }
}
