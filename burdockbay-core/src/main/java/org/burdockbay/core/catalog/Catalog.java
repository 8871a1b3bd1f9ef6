package org.burdockbay.core.catalog;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The queues that are in force, checked and ready for lookups.
 *
 * <p>A lookup probes one hash table for each length of prefix that occurs with the host name, so it
 * takes the same time with ten queues and with ten thousand.
 */
public final class Catalog {

  /** What is in force before the first catalog: no queue at all. */
  public static final Catalog EMPTY = new Catalog(0, List.of());

  private final long version;
  private final Map<String, VirtualHost> virtualHosts = new HashMap<>();

  private Catalog(long version, List<QueueRule> queues) {
    this.version = version;
    for (QueueRule queue : queues) {
      virtualHosts
          .computeIfAbsent(normalizeHostName(queue.hostName()), host -> new VirtualHost())
          .queuesByPrefix
          .put(queue.pathPrefix(), queue);
    }
    virtualHosts.values().forEach(VirtualHost::updatePrefixLengths);
  }

  /**
   * Checks the parts of a catalog and builds it.
   *
   * @throws CatalogException if a queue names an unknown service, two queues share host name and
   *     prefix, or a timeout is not positive
   */
  public static Catalog of(long version, List<QueueRule> queues, Set<String> services)
      throws CatalogException {
    if (version < 1) {
      throw new CatalogException("version " + version + " is not positive");
    }
    Set<String> places = new HashSet<>();
    for (QueueRule queue : queues) {
      validate(queue, services, places);
    }
    return new Catalog(version, queues);
  }

  /** Returns the version; 0 before the first catalog. */
  public long version() {
    return version;
  }

  /** Returns the queue with the longest prefix of the path, if there is one. */
  public Optional<QueueRule> find(String hostName, String path) {
    VirtualHost host = virtualHosts.get(normalizeHostName(hostName));
    return host == null ? Optional.empty() : host.find(path);
  }

  private static void validate(QueueRule queue, Set<String> services, Set<String> places)
      throws CatalogException {
    if (!services.contains(queue.service())) {
      throw new CatalogException(
          "queue " + queue.name() + " names unknown service " + queue.service());
    }
    if (queue.timeoutMillis() < 1) {
      throw new CatalogException("queue " + queue.name() + " has timeout " + queue.timeoutMillis());
    }
    if (!places.add(normalizeHostName(queue.hostName()) + ' ' + queue.pathPrefix())) {
      throw new CatalogException(
          "queue "
              + queue.name()
              + " has the same host and prefix as another one: "
              + queue.hostName()
              + queue.pathPrefix());
    }
  }

  private static String normalizeHostName(String hostName) {
    return hostName.toLowerCase(Locale.ROOT);
  }

  /** The queues of one host name, by prefix. */
  private static final class VirtualHost {

    private final Map<String, QueueRule> queuesByPrefix = new HashMap<>();
    private int[] prefixLengths = new int[0];

    void updatePrefixLengths() {
      prefixLengths =
          queuesByPrefix.keySet().stream()
              .mapToInt(String::length)
              .map(length -> -length)
              .distinct()
              .sorted()
              .map(length -> -length)
              .toArray();
    }

    Optional<QueueRule> find(String path) {
      for (int length : prefixLengths) {
        QueueRule queue =
            length <= path.length() ? queuesByPrefix.get(path.substring(0, length)) : null;
        if (queue != null) {
          return Optional.of(queue);
        }
      }
      return Optional.empty();
    }
  }
}
