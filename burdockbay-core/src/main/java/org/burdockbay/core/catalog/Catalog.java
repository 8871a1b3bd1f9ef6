package org.burdockbay.core.catalog;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * A validated set of queues, indexed for lookups by host name and path.
 *
 * <p>A lookup probes one hash table once for each distinct prefix length of the host name, so its
 * time depends on the number of those lengths and not on the number of queues.
 */
public final class Catalog {

  /** The catalog without queues that is in force before the first one is published. */
  public static final Catalog EMPTY = new Catalog(0, List.of(), Set.of(), RequestLimits.DEFAULT);

  private final long version;
  private final Set<String> services;
  private final RequestLimits limits;
  private final Map<String, VirtualHost> virtualHosts = new HashMap<>();

  private Catalog(
      long version, List<QueueRule> queues, Set<String> services, RequestLimits limits) {
    this.version = version;
    this.services = Set.copyOf(services);
    this.limits = limits;
    for (QueueRule queue : queues) {
      virtualHosts
          .computeIfAbsent(normalizeHostName(queue.hostName()), host -> new VirtualHost())
          .queuesByPrefix
          .put(queue.pathPrefix(), queue);
    }
    virtualHosts.values().forEach(VirtualHost::updatePrefixLengths);
  }

  /**
   * Validates the queues and creates a catalog with the default limits on requests.
   *
   * @param services names of the known services
   * @throws CatalogException as for {@link #of(long, List, Set, RequestLimits)}
   */
  public static Catalog of(long version, List<QueueRule> queues, Set<String> services)
      throws CatalogException {
    return of(version, queues, services, RequestLimits.DEFAULT);
  }

  /**
   * Validates the queues and creates a catalog.
   *
   * @param services names of the known services
   * @param limits limits on the requests of callers
   * @throws CatalogException if the version or a timeout is not positive, a queue refers to an
   *     unknown service, or two queues have the same host name and path prefix
   */
  public static Catalog of(
      long version, List<QueueRule> queues, Set<String> services, RequestLimits limits)
      throws CatalogException {
    if (version < 1) {
      throw new CatalogException("version " + version + " is not positive");
    }
    Set<String> routes = new HashSet<>();
    for (QueueRule queue : queues) {
      validate(queue, services, routes);
    }
    return new Catalog(version, queues, services, limits);
  }

  /** Returns the version; 0 before the first catalog. */
  public long version() {
    return version;
  }

  /** Returns whether a service is known. */
  public boolean hasService(String service) {
    return services.contains(service);
  }

  /** Returns the limits on the requests of callers. */
  public RequestLimits limits() {
    return limits;
  }

  /** Returns the queue whose prefix is the longest match for the path, or empty if none matches. */
  public Optional<QueueRule> find(String hostName, String path) {
    VirtualHost host = virtualHosts.get(normalizeHostName(hostName));
    return host == null ? Optional.empty() : host.find(path);
  }

  private static void validate(QueueRule queue, Set<String> services, Set<String> routes)
      throws CatalogException {
    if (!services.contains(queue.service())) {
      throw new CatalogException(
          "queue " + queue.name() + " names unknown service " + queue.service());
    }
    if (queue.timeoutMillis() < 1) {
      throw new CatalogException("queue " + queue.name() + " has timeout " + queue.timeoutMillis());
    }
    if (!routes.add(normalizeHostName(queue.hostName()) + ' ' + queue.pathPrefix())) {
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

  /** The queues of a host name. */
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
