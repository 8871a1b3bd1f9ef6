package org.burdockbay.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Holds the newest announcement of each upstream, with its age.
 *
 * <p>Announcements reach a host over several paths and in any order; those of an earlier instance
 * or with a lower sequence number are ignored. Departures are retained for a while, so that an
 * announcement that was delayed on the network doesn't add a departed upstream again.
 */
public final class UpstreamRegistry {

  /** Time for which a departure is retained; announcements may be delayed by seconds. */
  public static final long DEPARTURE_RETENTION_MILLIS = 30_000;

  private final long silenceTimeoutMillis;

  /** Maximum number of retained departures; the oldest ones are dropped. */
  private static final int MAX_DEPARTURES = 10_000;

  /** Memory of an announcement and of the lease of its upstream, beside its texts, in bytes. */
  private static final long ENTRY_BYTES = 1_024;

  private static final long BYTES_PER_CHAR = 2;

  private final long limitBytes;
  private final Map<String, Entry> entries = new ConcurrentHashMap<>();
  private final Map<String, Departure> departures = new LinkedHashMap<>();
  private final AtomicLong usedBytes = new AtomicLong();

  /**
   * Creates an empty registry.
   *
   * @param silenceTimeoutMillis the silence after which an upstream is removed, in milliseconds
   */
  public UpstreamRegistry(long silenceTimeoutMillis) {
    this(silenceTimeoutMillis, Long.MAX_VALUE);
  }

  /**
   * Creates an empty registry.
   *
   * @param silenceTimeoutMillis the silence after which an upstream is removed, in milliseconds
   * @param limitBytes the memory that the announcements may take, in bytes
   */
  public UpstreamRegistry(long silenceTimeoutMillis, long limitBytes) {
    this.silenceTimeoutMillis = silenceTimeoutMillis;
    this.limitBytes = limitBytes;
  }

  /** Returns whether there is memory for an announcement; may be called on any thread. */
  public boolean hasRoomFor(UpstreamAnnouncement announcement) {
    Entry known = entries.get(announcement.id());
    long added = bytes(announcement) - (known == null ? 0 : bytes(known.announcement));
    return added <= 0 || added <= limitBytes - usedBytes.get();
  }

  /** Returns the estimated memory of all announcements, in bytes; may be called on any thread. */
  public long usedBytes() {
    return usedBytes.get();
  }

  /**
   * Records an announcement unless it is outdated or there is no memory for it.
   *
   * @param ageMillis the known age of the announcement, in milliseconds
   * @param now the current time in milliseconds
   * @return whether it was recorded
   */
  public boolean recordAnnouncement(UpstreamAnnouncement announcement, long ageMillis, long now) {
    Departure departure = departures.get(announcement.id());
    if (departure != null && announcement.startedAt() <= departure.startedAt) {
      return false;
    }
    Entry known = entries.get(announcement.id());
    if (known != null && !announcement.isNewerThan(known.announcement)) {
      return false;
    }
    if (!hasRoomFor(announcement)) {
      return false;
    }
    entries.put(announcement.id(), new Entry(announcement, now - ageMillis));
    usedBytes.addAndGet(bytes(announcement) - (known == null ? 0 : bytes(known.announcement)));
    return true;
  }

  /** Removes an upstream that has left, and returns its last announcement if there is one. */
  public Optional<UpstreamAnnouncement> recordDeparture(String id, long now) {
    Entry known = entries.remove(id);
    if (known == null) {
      return Optional.empty();
    }
    usedBytes.addAndGet(-bytes(known.announcement));
    departures.put(id, new Departure(known.announcement.startedAt(), now));
    if (departures.size() > MAX_DEPARTURES) {
      departures.remove(departures.keySet().iterator().next());
    }
    return Optional.of(known.announcement);
  }

  /** Removes silent upstreams, and returns their last announcements. */
  public List<UpstreamAnnouncement> expireSilentUpstreams(long now) {
    departures
        .values()
        .removeIf(departure -> now - departure.departedAt > DEPARTURE_RETENTION_MILLIS);
    List<UpstreamAnnouncement> expired = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean silent = now - entry.announcedAt > silenceTimeoutMillis;
              if (silent) {
                expired.add(entry.announcement);
                usedBytes.addAndGet(-bytes(entry.announcement));
              }
              return silent;
            });
    return expired;
  }

  /** Returns the newest announcement of an upstream; empty if there is none. */
  public Optional<UpstreamAnnouncement> announcement(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.announcement);
  }

  /** Returns the newest announcement of every registered upstream. */
  public Collection<UpstreamAnnouncement> announcements() {
    return entries.values().stream().map(entry -> entry.announcement).toList();
  }

  /**
   * Returns the age of the newest announcement of the same upstream, in milliseconds; 0 if there is
   * none.
   */
  public long ageMillis(UpstreamAnnouncement announcement, long now) {
    Entry known = entries.get(announcement.id());
    return known == null ? 0 : now - known.announcedAt;
  }

  private static long bytes(UpstreamAnnouncement announcement) {
    long chars =
        (long) announcement.id().length()
            + announcement.service().length()
            + announcement.address().length()
            + announcement.domain().length();
    for (String label : announcement.labels()) {
      chars += label.length() + ENTRY_BYTES / 16;
    }
    return ENTRY_BYTES + BYTES_PER_CHAR * chars;
  }

  private record Entry(UpstreamAnnouncement announcement, long announcedAt) {}

  private record Departure(long startedAt, long departedAt) {}
}
