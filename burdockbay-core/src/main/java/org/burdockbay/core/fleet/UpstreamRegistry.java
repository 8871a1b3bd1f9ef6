package org.burdockbay.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

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
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param silenceTimeoutMillis the silence after which an upstream is removed, in milliseconds
   */
  public UpstreamRegistry(long silenceTimeoutMillis) {
    this.silenceTimeoutMillis = silenceTimeoutMillis;
  }

  /**
   * Records an announcement unless it is outdated.
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
    entries.put(announcement.id(), new Entry(announcement, now - ageMillis));
    return true;
  }

  /** Removes an upstream that has left, and returns its last announcement if there is one. */
  public Optional<UpstreamAnnouncement> recordDeparture(String id, long now) {
    Entry known = entries.remove(id);
    if (known == null) {
      return Optional.empty();
    }
    departures.put(id, new Departure(known.announcement.startedAt(), now));
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

  private record Entry(UpstreamAnnouncement announcement, long announcedAt) {}

  private record Departure(long startedAt, long departedAt) {}
}
