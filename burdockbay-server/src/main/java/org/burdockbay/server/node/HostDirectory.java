package org.burdockbay.server.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.membership.HostDescriptor;

/**
 * The other hosts that this one has heard of, directly or from others.
 *
 * <p>A host that nobody hears for {@link #SILENCE_TIMEOUT_MILLIS} is forgotten, since its address
 * may belong to another machine by then. Seeds stay.
 */
final class HostDirectory {

  /** Silence after which a host is forgotten, in milliseconds; longer than a power loss lasts. */
  static final long SILENCE_TIMEOUT_MILLIS = 60_000;

  private final HostDescriptor self;
  private final Map<String, Entry> hosts = new HashMap<>();

  HostDirectory(HostDescriptor self) {
    this.self = self;
  }

  /** Adds a host, and returns whether it is new or has changed. */
  boolean add(HostDescriptor card, long now) {
    if (card.id().equals(self.id())) {
      return false;
    }
    Entry known = hosts.get(card.id());
    if (known != null && known.descriptor.equals(card)) {
      return false;
    }
    Entry added = new Entry(card, now);
    if (known != null) {
      added.lastContactAt = known.lastContactAt;
      added.contacted = known.contacted;
    }
    hosts.put(card.id(), added);
    return true;
  }

  void recordContact(String host, long now) {
    Entry known = hosts.get(host);
    if (known != null) {
      known.lastContactAt = now;
      known.contacted = true;
    }
  }

  /** Returns how long ago a host was heard, in milliseconds; empty if it never was. */
  Optional<Long> lastContactAgeMillis(String host, long now) {
    return Optional.ofNullable(hosts.get(host))
        .filter(known -> known.contacted)
        .map(known -> now - known.lastContactAt);
  }

  /** Returns for how long a host has been silent, in milliseconds; empty if it is unknown. */
  Optional<Long> silenceMillis(String host, long now) {
    return Optional.ofNullable(hosts.get(host)).map(known -> now - known.lastContactAt);
  }

  /** Forgets hosts that are silent for long, and returns them. */
  List<HostDescriptor> removeSilentHosts(long now) {
    List<HostDescriptor> forgotten = new ArrayList<>();
    hosts
        .values()
        .removeIf(
            known -> {
              boolean silent = now - known.lastContactAt > SILENCE_TIMEOUT_MILLIS;
              if (silent) {
                forgotten.add(known.descriptor);
              }
              return silent;
            });
    return forgotten;
  }

  /** Returns this host and the others. */
  List<HostDescriptor> descriptors() {
    List<HostDescriptor> cards = new ArrayList<>();
    cards.add(self);
    hosts.values().forEach(known -> cards.add(known.descriptor));
    return cards;
  }

  /** Returns the number of other hosts. */
  int size() {
    return hosts.size();
  }

  /** Returns the ids of the other hosts. */
  List<String> otherHosts() {
    return List.copyOf(hosts.keySet());
  }

  private static final class Entry {

    private final HostDescriptor descriptor;
    private long lastContactAt;
    private boolean contacted;

    Entry(HostDescriptor card, long heardAt) {
      this.descriptor = card;
      this.lastContactAt = heardAt;
    }
  }
}
