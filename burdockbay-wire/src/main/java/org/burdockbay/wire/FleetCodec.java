package org.burdockbay.wire;

import java.util.Set;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.membership.HostDescriptor;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.wire.proto.Wire;

/** Encodes what hosts tell each other of upstreams and of other hosts. */
final class FleetCodec {

  private FleetCodec() {}

  static Wire.UpstreamNews encode(PeerMessage.UpstreamNews news) {
    Wire.UpstreamNews.Builder builder = Wire.UpstreamNews.newBuilder();
    news.announced().forEach(each -> builder.addAnnounced(encode(each.notice(), each.ageMillis())));
    news.departed().forEach(notice -> builder.addDeparted(encode(notice, 0)));
    return builder.build();
  }

  static Wire.HostCards encode(PeerMessage.KnownHosts known) {
    Wire.HostCards.Builder builder = Wire.HostCards.newBuilder();
    for (HostDescriptor card : known.hosts()) {
      builder.addHosts(
          Wire.HostCard.newBuilder()
              .setId(card.id())
              .setGroup(card.group())
              .setDomain(card.domain())
              .setAddress(card.address()));
    }
    return builder.build();
  }

  private static Wire.UpstreamNotice encode(UpstreamAnnouncement notice, long ageMillis) {
    return Wire.UpstreamNotice.newBuilder()
        .setId(notice.id())
        .setBornMs(notice.startedAt())
        .setSequence(notice.sequence())
        .setService(notice.service())
        .setAddress(notice.address())
        .setDomain(notice.domain())
        .setLeaving(notice.leaving())
        .setCapacity(WorkCodec.encode(notice.capacity()))
        .addAllLabels(notice.labels())
        .setAgeMs(ageMillis)
        .build();
  }

  static PeerMessage.UpstreamNews decode(Wire.UpstreamNews news) {
    return new PeerMessage.UpstreamNews(
        news.getAnnouncedList().stream()
            .map(each -> new PeerMessage.UpstreamNews.Announced(decode(each), each.getAgeMs()))
            .toList(),
        news.getDepartedList().stream().map(FleetCodec::decode).toList());
  }

  static PeerMessage.KnownHosts decode(Wire.HostCards cards) {
    return new PeerMessage.KnownHosts(
        cards.getHostsList().stream()
            .map(
                card ->
                    new HostDescriptor(
                        card.getId(), card.getGroup(), card.getDomain(), card.getAddress()))
            .toList());
  }

  private static UpstreamAnnouncement decode(Wire.UpstreamNotice notice) {
    return new UpstreamAnnouncement(
        notice.getId(),
        notice.getBornMs(),
        notice.getSequence(),
        notice.getService(),
        notice.getAddress(),
        notice.getDomain(),
        notice.getLeaving(),
        WorkCodec.decode(notice.getCapacity()),
        Set.copyOf(notice.getLabelsList()));
  }
}
