package org.burdockbay.server.node;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.burdockbay.core.fleet.UpstreamAnnouncement;
import org.burdockbay.core.fleet.UpstreamRegistry;
import org.burdockbay.core.lease.LeaseEvent;
import org.burdockbay.core.limits.HostLimits;
import org.burdockbay.core.message.PeerMessage;
import org.burdockbay.core.shard.ShardLayout;

/**
 * Relays announcements and departures of upstreams to the local dispatcher and to all other hosts.
 *
 * <p>News for other hosts is batched for {@link #BATCH_INTERVAL_MILLIS}. A message for each
 * announcement would amount to a hundred messages per second and more. The delay is harmless, since
 * an upstream that leaves may receive new tasks for several seconds anyway.
 */
final class UpstreamGossip {

  /** Minimum time between two news messages to all other hosts, in milliseconds. */
  private static final long BATCH_INTERVAL_MILLIS = 100;

  /**
   * Silence after which an upstream is removed, in milliseconds.
   *
   * <p>Upstreams announce themselves only to hosts with a disk. While all of those are down, no
   * announcements arrive although the upstreams still serve, and the dispatcher's own calls show
   * which upstreams are alive. With a short timeout, the whole fleet would be removed, and every
   * caller refused, during such an outage. Ten minutes exceed the time in which all hosts with a
   * disk restart.
   */
  static final long SILENCE_TIMEOUT_MILLIS = 600_000;

  /** Time for which sent news is kept for resending on new connections, in milliseconds. */
  static final long NEWS_RETENTION_MILLIS = 20_000;

  /** Interval at which unchanged announcements are relayed, in milliseconds. */
  static final long RESEND_INTERVAL_MILLIS = SILENCE_TIMEOUT_MILLIS / 10;

  /** Memory of an announcement in retained news, in bytes. */
  private static final long ANNOUNCEMENT_BYTES = 1_024;

  private final UpstreamRegistry registry;
  private final long maxNewsBytes;
  private final Consumer<LeaseEvent> dispatcher;
  private final Consumer<PeerMessage> broadcaster;
  private final Map<String, PeerMessage.UpstreamNews.Announced> pendingAnnouncements =
      new LinkedHashMap<>();
  private List<UpstreamAnnouncement> pendingDepartures = new ArrayList<>();
  private final Deque<SentNews> sentNews = new ArrayDeque<>();
  private long sentNewsBytes;

  /** Since when all broadcast news is retained. */
  private long newsRetainedSince = Long.MIN_VALUE;

  private long nextSendAt;

  /** When the next unchanged announcement of each upstream is due to be relayed. */
  private final Map<String, Long> nextResendAt = new HashMap<>();

  /**
   * Creates an instance without any upstreams.
   *
   * @param dispatcher receives the events of the local dispatcher
   * @param broadcaster sends a message to all other hosts
   */
  UpstreamGossip(Consumer<LeaseEvent> dispatcher, Consumer<PeerMessage> broadcaster) {
    this(dispatcher, broadcaster, HostLimits.UNLIMITED);
  }

  /**
   * Creates an instance without any upstreams.
   *
   * @param dispatcher receives the events of the local dispatcher
   * @param broadcaster sends a message to all other hosts
   * @param limits limits on the memory of upstreams and of news
   */
  UpstreamGossip(
      Consumer<LeaseEvent> dispatcher, Consumer<PeerMessage> broadcaster, HostLimits limits) {
    this.registry = new UpstreamRegistry(SILENCE_TIMEOUT_MILLIS, limits.upstreamBytes());
    this.maxNewsBytes = limits.newsBytes();
    this.dispatcher = dispatcher;
    this.broadcaster = broadcaster;
  }

  /**
   * Handles an announcement that an upstream sent to this host.
   *
   * <p>Changes are relayed with the next batch. Most announcements only repeat the previous one;
   * these are relayed at {@link #RESEND_INTERVAL_MILLIS}, so that other hosts don't remove the
   * upstream for its silence.
   */
  void upstreamAnnounced(UpstreamAnnouncement announcement, long now) {
    Optional<UpstreamAnnouncement> before = registry.announcement(announcement.id());
    if (!recordAnnouncement(announcement, 0, now)) {
      return;
    }
    boolean repeats = before.filter(announcement::hasSameContent).isPresent();
    if (!repeats || now >= nextResendAt.getOrDefault(announcement.id(), 0L)) {
      nextResendAt.put(announcement.id(), now + RESEND_INTERVAL_MILLIS);
      pendingAnnouncements.put(
          announcement.id(), new PeerMessage.UpstreamNews.Announced(announcement, 0));
    }
  }

  /** Handles a departure that an upstream reported to this host. */
  void upstreamDeparted(String upstream, long now) {
    registry
        .recordDeparture(upstream, now)
        .ifPresent(
            announcement -> {
              dispatcher.accept(new LeaseEvent.Departed(announcement));
              nextResendAt.remove(upstream);
              pendingAnnouncements.remove(upstream);
              pendingDepartures.add(announcement);
            });
  }

  /** Handles news relayed by another host. */
  void handleNews(PeerMessage.UpstreamNews news, long now) {
    news.announced()
        .forEach(
            announced -> recordAnnouncement(announced.announcement(), announced.ageMillis(), now));
    for (UpstreamAnnouncement announcement : news.departed()) {
      registry
          .recordDeparture(announcement.id(), now)
          .ifPresent(known -> dispatcher.accept(new LeaseEvent.Departed(known)));
    }
  }

  /** Returns all registered announcements, for a host that may have none of them. */
  Optional<PeerMessage> fullNews(long now) {
    List<PeerMessage.UpstreamNews.Announced> all =
        registry.announcements().stream()
            .map(
                announcement ->
                    new PeerMessage.UpstreamNews.Announced(
                        announcement, registry.ageMillis(announcement, now)))
            .toList();
    return all.isEmpty()
        ? Optional.empty()
        : Optional.of(new PeerMessage.UpstreamNews(all, List.of()));
  }

  /**
   * Returns the news that this host has broadcast since the given time, for a host that may have
   * missed it, or all registered announcements if that news is no longer retained.
   */
  Optional<PeerMessage> newsSince(long since, long now) {
    if (now - since > NEWS_RETENTION_MILLIS || since < newsRetainedSince) {
      return fullNews(now);
    }
    List<PeerMessage.UpstreamNews.Announced> missedAnnounced = new ArrayList<>();
    List<UpstreamAnnouncement> missedDeparted = new ArrayList<>();
    for (SentNews sent : sentNews) {
      if (sent.sentAt >= since) {
        sent.news
            .announced()
            .forEach(
                announced ->
                    missedAnnounced.add(
                        new PeerMessage.UpstreamNews.Announced(
                            announced.announcement(), announced.ageMillis() + now - sent.sentAt)));
        missedDeparted.addAll(sent.news.departed());
      }
    }
    return missedAnnounced.isEmpty() && missedDeparted.isEmpty()
        ? Optional.empty()
        : Optional.of(new PeerMessage.UpstreamNews(missedAnnounced, missedDeparted));
  }

  /**
   * Returns whether an announcement names another service than the known upstream of this id; may
   * be called on any thread.
   */
  boolean changesService(UpstreamAnnouncement announcement) {
    return registry
        .announcement(announcement.id())
        .filter(known -> !known.service().equals(announcement.service()))
        .isPresent();
  }

  /** Returns whether there is memory for an announcement; may be called on any thread. */
  boolean hasRoomFor(UpstreamAnnouncement announcement) {
    return registry.hasRoomFor(announcement);
  }

  /** Returns the memory of the registered upstreams, in bytes; may be called on any thread. */
  long upstreamBytes() {
    return registry.usedBytes();
  }

  /** Returns the number of registered upstreams. */
  int upstreamCount() {
    return registry.announcements().size();
  }

  /** Returns the layout for the current number of upstreams and domains. */
  ShardLayout suitableLayout() {
    Collection<UpstreamAnnouncement> announcements = registry.announcements();
    long domains = announcements.stream().map(UpstreamAnnouncement::domain).distinct().count();
    return ShardLayout.of(announcements.size(), Math.toIntExact(domains));
  }

  /** Sends the pending news, and removes expired news and upstreams. */
  void tick(long now) {
    if (now >= nextSendAt && !(pendingAnnouncements.isEmpty() && pendingDepartures.isEmpty())) {
      nextSendAt = now + BATCH_INTERVAL_MILLIS;
      PeerMessage.UpstreamNews news =
          new PeerMessage.UpstreamNews(
              List.copyOf(pendingAnnouncements.values()), pendingDepartures);
      sentNews.addLast(new SentNews(news, now));
      sentNewsBytes += bytes(news);
      broadcaster.accept(news);
      pendingAnnouncements.clear();
      pendingDepartures = new ArrayList<>();
    }
    while (!sentNews.isEmpty()
        && (now - sentNews.getFirst().sentAt > NEWS_RETENTION_MILLIS
            || sentNewsBytes > maxNewsBytes)) {
      SentNews oldest = sentNews.removeFirst();
      sentNewsBytes -= bytes(oldest.news);
      newsRetainedSince = oldest.sentAt + 1;
    }
    registry.expireSilentUpstreams(now).forEach(this::upstreamExpired);
  }

  private static long bytes(PeerMessage.UpstreamNews news) {
    return ANNOUNCEMENT_BYTES * (news.announced().size() + news.departed().size());
  }

  private void upstreamExpired(UpstreamAnnouncement lost) {
    nextResendAt.remove(lost.id());
    dispatcher.accept(new LeaseEvent.Departed(lost));
  }

  /** Registers an announcement, and returns whether the registry accepted it. */
  private boolean recordAnnouncement(UpstreamAnnouncement announcement, long ageMillis, long now) {
    boolean accepted = registry.recordAnnouncement(announcement, ageMillis, now);
    if (accepted) {
      dispatcher.accept(new LeaseEvent.Announced(announcement));
    }
    return accepted;
  }

  /** Broadcast news and the time at which it was sent. */
  private record SentNews(PeerMessage.UpstreamNews news, long sentAt) {}
}
