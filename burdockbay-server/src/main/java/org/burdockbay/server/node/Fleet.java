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
 * <p>News are gathered for {@link #GATHER_MILLIS}: an upstream that leaves may get new tasks for
 * seconds, and a message for each announcement would cost a hundred a second and more.
 */
final class Fleet {

  /** Time for which news are gathered into one message, in milliseconds. */
  private static final long GATHER_MILLIS = 100;

  /**
   * Silence after which an upstream is forgotten, in milliseconds.
   *
   * <p>Upstreams announce themselves to hosts with a disk only. When all of those are down, an
   * upstream is silent here and serves as before, and the dispatcher's own calls tell whether it is
   * alive. Forgotten sooner, the whole fleet would be gone, and every caller refused, while the
   * hosts with a disk are down. Ten minutes are longer than a restart of all of them takes.
   */
  static final long SILENCE_MILLIS = 600_000;

  /** Time for which sent news is kept for resending on new connections, in milliseconds. */
  static final long NEWS_RETENTION_MILLIS = 20_000;

  /** How often an announcement that says nothing new is passed on, in milliseconds. */
  static final long TELL_AGAIN_MILLIS = SILENCE_MILLIS / 10;

  private final UpstreamRegistry registry = new UpstreamRegistry(SILENCE_MILLIS);
  private final Consumer<LeaseEvent> dispatcher;
  private final Consumer<PeerMessage> others;
  private List<PeerMessage.UpstreamNews.Announced> announced = new ArrayList<>();
  private List<UpstreamAnnouncement> departed = new ArrayList<>();
  private final Deque<SentNews> sentNews = new ArrayDeque<>();
  private long tellAt;

  /** When an announcement of an upstream is passed on again although it says nothing new. */
  private final Map<String, Long> tellAgainAt = new HashMap<>();

  Fleet(Consumer<LeaseEvent> dispatcher, Consumer<PeerMessage> others) {
    this.dispatcher = dispatcher;
    this.others = others;
  }

  /**
   * Takes an announcement that an upstream made to this host.
   *
   * <p>It is passed on at once if it says anything new, and otherwise rarely, so that the others
   * don't forget the upstream: most announcements only repeat the one before.
   */
  void announcedHere(UpstreamAnnouncement notice, long now) {
    Optional<UpstreamAnnouncement> before = registry.announcement(notice.id());
    if (!announced(notice, 0, now)) {
      return;
    }
    boolean repeats = before.filter(notice::hasSameContent).isPresent();
    if (!repeats || now >= tellAgainAt.getOrDefault(notice.id(), 0L)) {
      tellAgainAt.put(notice.id(), now + TELL_AGAIN_MILLIS);
      announced.add(new PeerMessage.UpstreamNews.Announced(notice, 0));
    }
  }

  /** Takes a departure that an upstream told this host. */
  void departedHere(String upstream, long now) {
    registry
        .recordDeparture(upstream, now)
        .ifPresent(
            notice -> {
              dispatcher.accept(new LeaseEvent.Departed(notice));
              tellAgainAt.remove(upstream);
              departed.add(notice);
            });
  }

  /** Takes what another host passes on. */
  void told(PeerMessage.UpstreamNews news, long now) {
    news.announced().forEach(each -> announced(each.notice(), each.ageMillis(), now));
    for (UpstreamAnnouncement notice : news.departed()) {
      registry
          .recordDeparture(notice.id(), now)
          .ifPresent(known -> dispatcher.accept(new LeaseEvent.Departed(known)));
    }
  }

  /** Returns all that is known, for a host that may know nothing. */
  Optional<PeerMessage> tellAll(long now) {
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
  Optional<PeerMessage> tellSince(long since, long now) {
    if (now - since > NEWS_RETENTION_MILLIS) {
      return tellAll(now);
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
  int size() {
    return registry.announcements().size();
  }

  /** Returns the layout that suits the upstreams that are known. */
  ShardLayout suitedLayout() {
    Collection<UpstreamAnnouncement> notices = registry.announcements();
    long domains = notices.stream().map(UpstreamAnnouncement::domain).distinct().count();
    return ShardLayout.of(notices.size(), Math.toIntExact(domains));
  }

  void tick(long now) {
    if (now >= tellAt && !(announced.isEmpty() && departed.isEmpty())) {
      tellAt = now + GATHER_MILLIS;
      PeerMessage.UpstreamNews news = new PeerMessage.UpstreamNews(announced, departed);
      sentNews.addLast(new SentNews(news, now));
      others.accept(news);
      announced = new ArrayList<>();
      departed = new ArrayList<>();
    }
    while (!sentNews.isEmpty() && now - sentNews.getFirst().sentAt > NEWS_RETENTION_MILLIS) {
      sentNews.removeFirst();
    }
    registry.expireSilentUpstreams(now).forEach(this::expired);
  }

  private void expired(UpstreamAnnouncement lost) {
    tellAgainAt.remove(lost.id());
    dispatcher.accept(new LeaseEvent.Departed(lost));
  }

  private boolean announced(UpstreamAnnouncement notice, long ageMillis, long now) {
    boolean news = registry.recordAnnouncement(notice, ageMillis, now);
    if (news) {
      dispatcher.accept(new LeaseEvent.Announced(notice));
    }
    return news;
  }

  /** News and the time at which it was sent, in milliseconds. */
  private record SentNews(PeerMessage.UpstreamNews news, long sentAt) {}
}
