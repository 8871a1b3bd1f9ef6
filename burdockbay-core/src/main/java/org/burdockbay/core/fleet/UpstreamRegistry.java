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
  public static final long DEPARTURE_MILLIS = 30_000;

  private final long silenceMillis;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<String, Departure> departures = new HashMap<>();

  /**
   * Creates an empty registry.
   *
   * @param silenceMillis silence after which an upstream is dropped, in milliseconds
   */
  public UpstreamRegistry(long silenceMillis) {
    this.silenceMillis = silenceMillis;
  }

  /**
   * Takes an announcement.
   *
   * @param ageMillis how long ago it was made, as far as known
   * @return whether it was newer than what was known
   */
  public boolean announced(UpstreamNotice notice, long ageMillis, long now) {
    Departure departure = departures.get(notice.id());
    if (departure != null && notice.bornMillis() <= departure.bornMillis) {
      return false;
    }
    Entry known = entries.get(notice.id());
    if (known != null && !notice.supersedes(known.notice)) {
      return false;
    }
    entries.put(notice.id(), new Entry(notice, now - ageMillis));
    return true;
  }

  /** Notes that an upstream has left; returns its last announcement, if it was known. */
  public Optional<UpstreamNotice> departed(String id, long now) {
    Entry known = entries.remove(id);
    if (known == null) {
      return Optional.empty();
    }
    departures.put(id, new Departure(known.notice.bornMillis(), now));
    return Optional.of(known.notice);
  }

  /** Drops upstreams that went silent and returns them. */
  public List<UpstreamNotice> expire(long now) {
    departures.values().removeIf(departure -> now - departure.at > DEPARTURE_MILLIS);
    List<UpstreamNotice> lost = new ArrayList<>();
    entries
        .values()
        .removeIf(
            entry -> {
              boolean silent = now - entry.at > silenceMillis;
              if (silent) {
                lost.add(entry.notice);
              }
              return silent;
            });
    return lost;
  }

  /** Returns the newest announcement of an upstream, if it is known. */
  public Optional<UpstreamNotice> notice(String id) {
    return Optional.ofNullable(entries.get(id)).map(entry -> entry.notice);
  }

  /** Returns all that are known. */
  public Collection<UpstreamNotice> notices() {
    return entries.values().stream().map(entry -> entry.notice).toList();
  }

  /** Returns how long ago the newest announcement was made, in milliseconds. */
  public long ageMillis(UpstreamNotice notice, long now) {
    Entry known = entries.get(notice.id());
    return known == null ? 0 : now - known.at;
  }

  private record Entry(UpstreamNotice notice, long at) {}

  private record Departure(long bornMillis, long at) {}
}
