package org.burdockbay.server.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.burdockbay.core.membership.HostDescriptor;

/**
 * Holds the other hosts that this host has discovered, directly or through gossip.
 *
 * <p>A host from which this one has received no message for {@link #SILENCE_TIMEOUT_MILLIS} is
 * removed, since its address may have been assigned to another machine. Until then connections to
 * it are attempted, so that both ends find each other after a long partition.
 */
final class HostDirectory {

  /** Silence after which a host is removed, in milliseconds. */
  static final long SILENCE_TIMEOUT_MILLIS = 3_600_000;

  private final HostDescriptor self;
  private final Map<String, Entry> hosts = new HashMap<>();
  private final long createdAt;

  HostDirectory(HostDescriptor self, long now) {
    this.self = self;
    this.createdAt = now;
  }

  /** Adds or updates a host, and returns whether it is new or has changed. */
  boolean add(HostDescriptor descriptor, long now) {
    if (descriptor.id().equals(self.id())) {
      return false;
    }
    Entry entry = hosts.get(descriptor.id());
    if (entry != null && entry.descriptor.equals(descriptor)) {
      return false;
    }
    Entry added = new Entry(descriptor, now);
    if (entry != null) {
      added.lastContactAt = entry.lastContactAt;
      added.contacted = entry.contacted;
    }
    hosts.put(descriptor.id(), added);
    return true;
  }

  /**
   * Records that a message from a host has arrived. Submissions are handled later than heartbeats
   * that arrived after them, so the latest time counts.
   */
  void recordContact(String host, long arrivedAt) {
    Entry entry = hosts.get(host);
    if (entry != null) {
      entry.lastContactAt = Math.max(entry.lastContactAt, arrivedAt);
      entry.contacted = true;
    }
  }

  /**
   * Returns the time since the last message from a host, in milliseconds; empty if none arrived.
   */
  Optional<Long> lastContactAgeMillis(String host, long now) {
    return Optional.ofNullable(hosts.get(host))
        .filter(entry -> entry.contacted)
        .map(entry -> now - entry.lastContactAt);
  }

  /** Returns the hosts that have sent a message, but none for at least the given time. */
  List<String> silentHosts(long silenceMillis, long now) {
    List<String> silent = new ArrayList<>();
    hosts.forEach(
        (host, entry) -> {
          if (entry.contacted && now - entry.lastContactAt >= silenceMillis) {
            silent.add(host);
          }
        });
    return silent;
  }

  /**
   * Returns the time since the last message from a host, or since it was added if none has arrived,
   * in milliseconds. An unknown host counts as silent since this directory was created: after a
   * restart of the whole fleet, it may only be slower to start.
   */
  long silenceMillis(String host, long now) {
    Entry entry = hosts.get(host);
    return now - (entry == null ? createdAt : entry.lastContactAt);
  }

  /** Removes the hosts whose silence exceeds the timeout, and returns them. */
  List<HostDescriptor> removeSilentHosts(long now) {
    List<HostDescriptor> removed = new ArrayList<>();
    hosts
        .values()
        .removeIf(
            entry -> {
              boolean silent = now - entry.lastContactAt > SILENCE_TIMEOUT_MILLIS;
              if (silent) {
                removed.add(entry.descriptor);
              }
              return silent;
            });
    return removed;
  }

  /** Returns the descriptors of this host, which comes first, and of the other hosts. */
  List<HostDescriptor> descriptors() {
    List<HostDescriptor> descriptors = new ArrayList<>();
    descriptors.add(self);
    hosts.values().forEach(entry -> descriptors.add(entry.descriptor));
    return descriptors;
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

    Entry(HostDescriptor descriptor, long lastContactAt) {
      this.descriptor = descriptor;
      this.lastContactAt = lastContactAt;
    }
  }
}
