package org.burdockbay.core.fleet;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The newest announcement of each upstream, with its age.
 *
 * <p>Announcements reach a host over several ways and in any order; one from an earlier life or
 * with a lower sequence changes nothing. A departure is remembered for a while, so that an
 * announcement that was held up on the network doesn't bring the upstream back.
 */
public final class UpstreamRegistry {

  /** How long a departure is remembered, in milliseconds; announcements are held up for seconds. */
  public static final long DEPARTURE_RETENTION_MILLIS = 30_000;

  private final long silenceTimeoutMillis;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param silenceMillis silence after which an upstream is dropped, in milliseconds
   */
  public UpstreamRegistry(long silenceMillis) {
    this.silenceTimeoutMillis = silenceMillis;
  }

  /**
   * Takes an announcement.
   *
   * @param ageMillis how long ago it was made, as far as known
   * @return whether it was newer than what was known
   */
  public boolean recordAnnouncement(UpstreamAnnouncement notice, long ageMillis, long now) {
    Departure departure = departures.get(notice.id());
    if (departure != null && notice.startedAt() <= departure.startedAt) {
      return false;
    }
    Entry known = entries.get(notice.id());
    if (known != null && !notice.isNewerThan(known.announcement)) {
      return false;
    }
    entries.put(notice.id(), new Entry(notice, now - ageMillis));
    return true;
  }

  /** Notes that an upstream has left; returns its last announcement, if it was known. */
  public Optional<UpstreamAnnouncement> recordDeparture(String id, long now) {
    Entry known = entries.remove(id);
    if (known == null) {
      return Optional.empty();
    }
    departures.put(id, new Departure(known.announcement.startedAt(), now));
    return Optional.of(known.announcement);
  }

  /** Drops upstreams that went silent and returns them. */
  public List<UpstreamAnnouncement> expireSilentUpstreams(long now) {
    departures
        .values()
        .removeIf(departure -> now - departure.departedAt > DEPARTURE_RETENTION_MILLIS);
    List<UpstreamAnnouncement> lost = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean silent = now - entry.announcedAt > silenceTimeoutMillis;
              if (silent) {
                lost.add(entry.announcement);
              }
              return silent;
            });
    return lost;
  }

  /** Returns the newest announcement of an upstream, if it is known. */
  public Optional<UpstreamAnnouncement> announcement(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.announcement);
  }

  /** Returns all that are known. */
  public Collection<UpstreamAnnouncement> announcements() {
    return entries.values().stream().map(entry -> entry.announcement).toList();
  }

  /** Returns how long ago the newest announcement was made, in milliseconds. */
  public long ageMillis(UpstreamAnnouncement notice, long now) {
    Entry known = entries.get(notice.id());
    return known == null ? 0 : now - known.announcedAt;
  }

  private record Entry(UpstreamAnnouncement announcement, long announcedAt) {}

  private record Departure(long startedAt, long departedAt) {}
}
