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
 * <p>A host that nobody hears for {@link #FORGET_MILLIS} is forgotten, since its address may belong
 * to another machine by then. Seeds stay.
 */
final class HostDirectory {

  /** Silence after which a host is forgotten, in milliseconds; longer than a power loss lasts. */
  static final long FORGET_MILLIS = 60_000;

  private final HostDescriptor self;
  private final Map<String, Known> hosts = new HashMap<>();

  HostDirectory(HostDescriptor self) {
    this.self = self;
  }

  /** Adds a host, and returns whether it is new or has changed. */
  boolean add(HostDescriptor card, long now) {
    if (card.id().equals(self.id())) {
      return false;
    }
    Known known = hosts.get(card.id());
    if (known != null && known.card.equals(card)) {
      return false;
    }
    Known added = new Known(card, now);
    if (known != null) {
      added.heardAt = known.heardAt;
      added.heard = known.heard;
    }
    hosts.put(card.id(), added);
    return true;
  }

  void heard(String host, long now) {
    Known known = hosts.get(host);
    if (known != null) {
      known.heardAt = now;
      known.heard = true;
    }
  }

  /** Returns how long ago a host was heard, in milliseconds; empty if it never was. */
  Optional<Long> heardSince(String host, long now) {
    return Optional.ofNullable(hosts.get(host))
        .filter(known -> known.heard)
        .map(known -> now - known.heardAt);
  }

  /** Returns for how long a host has been silent, in milliseconds; empty if it is unknown. */
  Optional<Long> silence(String host, long now) {
    return Optional.ofNullable(hosts.get(host)).map(known -> now - known.heardAt);
  }

  /** Forgets hosts that are silent for long, and returns them. */
  List<HostDescriptor> forget(long now) {
    List<HostDescriptor> forgotten = new ArrayList<>();
    hosts
        .values()
        .removeIf(
            known -> {
              boolean silent = now - known.heardAt > FORGET_MILLIS;
              if (silent) {
                forgotten.add(known.card);
              }
              return silent;
            });
    return forgotten;
  }

  /** Returns this host and the others. */
  List<HostDescriptor> cards() {
    List<HostDescriptor> cards = new ArrayList<>();
    cards.add(self);
    hosts.values().forEach(known -> cards.add(known.card));
    return cards;
  }

  /** Returns the number of other hosts. */
  int size() {
    return hosts.size();
  }

  /** Returns the ids of the other hosts. */
  List<String> others() {
    return List.copyOf(hosts.keySet());
  }

  private static final class Known {

    private final HostDescriptor card;
    private long heardAt;
    private boolean heard;

    Known(HostDescriptor card, long heardAt) {
      this.card = card;
      this.heardAt = heardAt;
    }
  }
}
