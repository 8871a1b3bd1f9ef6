package org.burdockbay.server.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.fleet.UpstreamRegistry;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.shard.ShardLayout;

/**
 * Passes what upstreams say of themselves on to the dispatcher here and to all other hosts.
 *
 * <p>News are gathered for {@link #BATCH_INTERVAL_MILLIS}: an upstream that leaves may get new
 * tasks for seconds, and a message for each announcement would cost a hundred a second and more.
 */
final class UpstreamGossip {

  /** Time for which news are gathered into one message, in milliseconds. */
  private static final long BATCH_INTERVAL_MILLIS = 100;

  /**
   * Silence after which an upstream is forgotten, in milliseconds.
   *
   * <p>Upstreams announce themselves to hosts with a disk only. When all of those are down, an
   * upstream is silent here and serves as before, and the dispatcher's own calls tell whether it is
   * alive. Forgotten sooner, the whole fleet would be gone, and every caller refused, while the
   * hosts with a disk are down. Ten minutes are longer than a restart of all of them takes.
   */
  static final long SILENCE_TIMEOUT_MILLIS = 600_000;

  /** Time for which sent news is kept for resending on new connections, in milliseconds. */
  static final long NEWS_RETENTION_MILLIS = 20_000;

  /** How often an announcement that says nothing new is passed on, in milliseconds. */
  static final long RESEND_INTERVAL_MILLIS = SILENCE_TIMEOUT_MILLIS / 10;

  private final UpstreamRegistry registry = new UpstreamRegistry(SILENCE_TIMEOUT_MILLIS);
  private final Consumer<LeaseEvent> dispatcher;
  private final Consumer<PeerMessage> broadcaster;
  private List<PeerMessage.UpstreamNews.Announced> pendingAnnouncements = new ArrayList<>();
  private List<UpstreamAnnouncement> pendingDepartures = new ArrayList<>();
  private final Deque<SentNews> sentNews = new ArrayDeque<>();
  private long nextSendAt;

  /** When an announcement of an upstream is passed on again although it says nothing new. */
  private final Map<String, Long> nextResendAt = new HashMap<>();

  UpstreamGossip(Consumer<LeaseEvent> dispatcher, Consumer<PeerMessage> others) {
    this.dispatcher = dispatcher;
    this.broadcaster = others;
  }

  /**
   * Takes an announcement that an upstream made to this host.
   *
   * <p>It is passed on at once if it says anything new, and otherwise rarely, so that the others
   * don't forget the upstream: most announcements only repeat the one before.
   */
  void upstreamAnnounced(UpstreamAnnouncement notice, long now) {
    Optional<UpstreamAnnouncement> before = registry.announcement(notice.id());
    if (!recordAnnouncement(notice, 0, now)) {
      return;
    }
    boolean repeats = before.filter(notice::hasSameContent).isPresent();
    if (!repeats || now >= nextResendAt.getOrDefault(notice.id(), 0L)) {
      nextResendAt.put(notice.id(), now + RESEND_INTERVAL_MILLIS);
      pendingAnnouncements.add(new PeerMessage.UpstreamNews.Announced(notice, 0));
    }
  }

  /** Takes a departure that an upstream told this host. */
  void upstreamDeparted(String upstream, long now) {
    registry
        .recordDeparture(upstream, now)
        .ifPresent(
            notice -> {
              dispatcher.accept(new LeaseEvent.Departed(notice));
              nextResendAt.remove(upstream);
              pendingDepartures.add(notice);
            });
  }

  /** Takes what another host passes on. */
  void handleNews(PeerMessage.UpstreamNews news, long now) {
    news.announced().forEach(each -> recordAnnouncement(each.notice(), each.ageMillis(), now));
    for (UpstreamAnnouncement notice : news.departed()) {
      registry
          .recordDeparture(notice.id(), now)
          .ifPresent(known -> dispatcher.accept(new LeaseEvent.Departed(known)));
    }
  }

  /** Returns all that is known, for a host that may know nothing. */
  Optional<PeerMessage> fullNews(long now) {
    List<PeerMessage.UpstreamNews.Announced> all =
        registry.announcements().stream()
            .map(
                notice ->
                    new PeerMessage.UpstreamNews.Announced(notice, registry.ageMillis(notice, now)))
            .toList();
    return all.isEmpty()
        ? Optional.empty()
        : Optional.of(new PeerMessage.UpstreamNews(all, List.of()));
  }

  /**
   * Returns the news that this host has sent to all others since the given time, for a host that
   * may have missed it, or all that is known if that news is no longer kept.
   */
  Optional<PeerMessage> newsSince(long since, long now) {
    if (now - since > NEWS_RETENTION_MILLIS) {
      return fullNews(now);
    }
    List<PeerMessage.UpstreamNews.Announced> missedAnnounced = new ArrayList<>();
    List<UpstreamAnnouncement> missedDeparted = new ArrayList<>();
    for (SentNews sent : sentNews) {
      if (sent.sentAt >= since) {
        sent.news
            .announced()
            .forEach(
                announcement ->
                    missedAnnounced.add(
                        new PeerMessage.UpstreamNews.Announced(
                            announcement.notice(), announcement.ageMillis() + now - sent.sentAt)));
        missedDeparted.addAll(sent.news.departed());
      }
    }
    return missedAnnounced.isEmpty() && missedDeparted.isEmpty()
        ? Optional.empty()
        : Optional.of(new PeerMessage.UpstreamNews(missedAnnounced, missedDeparted));
  }

  /** Returns the number of upstreams that are known. */
  int upstreamCount() {
    return registry.announcements().size();
  }

  /** Returns the layout that suits the upstreams that are known. */
  ShardLayout suitableLayout() {
    Collection<UpstreamAnnouncement> notices = registry.announcements();
    long domains = notices.stream().map(UpstreamAnnouncement::domain).distinct().count();
    return ShardLayout.of(notices.size(), Math.toIntExact(domains));
  }

  void tick(long now) {
    if (now >= nextSendAt && !(pendingAnnouncements.isEmpty() && pendingDepartures.isEmpty())) {
      nextSendAt = now + BATCH_INTERVAL_MILLIS;
      PeerMessage.UpstreamNews news =
          new PeerMessage.UpstreamNews(pendingAnnouncements, pendingDepartures);
      sentNews.addLast(new SentNews(news, now));
      broadcaster.accept(news);
      pendingAnnouncements = new ArrayList<>();
      pendingDepartures = new ArrayList<>();
    }
    while (!sentNews.isEmpty() && now - sentNews.getFirst().sentAt > NEWS_RETENTION_MILLIS) {
      sentNews.removeFirst();
    }
    registry.expireSilentUpstreams(now).forEach(this::upstreamExpired);
  }

  private void upstreamExpired(UpstreamAnnouncement lost) {
    nextResendAt.remove(lost.id());
    dispatcher.accept(new LeaseEvent.Departed(lost));
  }

  private boolean recordAnnouncement(UpstreamAnnouncement notice, long ageMillis, long now) {
    boolean news = registry.recordAnnouncement(notice, ageMillis, now);
    if (news) {
      dispatcher.accept(new LeaseEvent.Announced(notice));
    }
    return news;
  }

  /** News and the time at which it was sent, in milliseconds. */
  private record SentNews(PeerMessage.UpstreamNews news, long sentAt) {}
}
