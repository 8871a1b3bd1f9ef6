package org.burdockbay.server.web;

import com.codahale.metrics.Gauge;
import com.codahale.metrics.MetricRegistry;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.burdockbay.core.limits.MemoryBudget;

/**
 * Limits the memory that the connections of a host's listeners take together.
 *
 * <p>Requests hold memory from their first byte until their handlers have read them. When the limit
 * is reached, the requests that have been arriving for the longest time are evicted: most requests
 * arrive within milliseconds, so these are the least likely to be complete soon.
 *
 * <p>Thread-safe.
 */
public final class WebMemory {

  /** The part of the heap that requests take at most, as a divisor. */
  public static final long REQUEST_DIVISOR = 12;

  /** The part of the heap that unsent responses take at most, as a divisor. */
  public static final long RESPONSE_DIVISOR = 12;

  /** Heap for each connection of a listener, in bytes. */
  public static final long HEAP_BYTES_PER_CONNECTION = 48 * 1024;

  private final long requestLimitBytes;
  private final int maxConnections;
  private final MemoryBudget responses;
  private final Set<Reservation> arriving = new LinkedHashSet<>();
  private final AtomicLong refusedConnections = new AtomicLong();
  private long requestBytes;
  private long evictions;

  private WebMemory(long requestLimitBytes, long responseLimitBytes, int maxConnections) {
    this.requestLimitBytes = requestLimitBytes;
    this.responses = new MemoryBudget(responseLimitBytes);
    this.maxConnections = maxConnections;
  }

  /** Returns the memory of a host with the given maximum heap size, in bytes. */
  public static WebMemory ofHeap(long heapBytes) {
    return new WebMemory(
        heapBytes / REQUEST_DIVISOR,
        heapBytes / RESPONSE_DIVISOR,
        Math.toIntExact(Math.min(Integer.MAX_VALUE, heapBytes / HEAP_BYTES_PER_CONNECTION)));
  }

  /** Returns memory without limits. */
  public static WebMemory unlimited() {
    return new WebMemory(Long.MAX_VALUE, Long.MAX_VALUE, Integer.MAX_VALUE);
  }

  /** Registers gauges of the memory in use and its limits, in bytes, and of what was refused. */
  public void register(MetricRegistry registry) {
    registerGauge(registry, "web.request.bytes", this::requestBytes);
    registerGauge(registry, "web.request.bytes-limit", () -> requestLimitBytes);
    registerGauge(registry, "web.request.evicted", this::evictions);
    registerGauge(registry, "web.response.bytes", responses::usedBytes);
    registerGauge(registry, "web.response.bytes-limit", responses::limitBytes);
    registerGauge(registry, "web.response.refused", responses::refusals);
    registerGauge(registry, "web.connections-limit", () -> (long) maxConnections);
    registerGauge(registry, "web.connections-refused", refusedConnections::get);
  }

  /** Returns the maximum number of connections of a listener. */
  int maxConnections() {
    return maxConnections;
  }

  /** Counts a connection that was refused because too many were open. */
  void countRefusedConnection() {
    refusedConnections.incrementAndGet();
  }

  /** Returns the budget of responses that are not sent yet. */
  MemoryBudget responses() {
    return responses;
  }

  /** Returns the memory of requests, in bytes. */
  public synchronized long requestBytes() {
    return requestBytes;
  }

  /** Returns the number of requests that were evicted while they arrived. */
  public synchronized long evictions() {
    return evictions;
  }

  /**
   * Returns an empty reservation of a connection.
   *
   * @param onEvicted called if the arriving request of the reservation is evicted, on any thread
   */
  Reservation reservation(Consumer<Reservation> onEvicted) {
    return new Reservation(onEvicted);
  }

  private synchronized boolean resize(Reservation reservation, long bytes, boolean isArriving) {
    requestBytes += bytes - reservation.bytes;
    reservation.bytes = bytes;
    if (isArriving && bytes > 0) {
      arriving.add(reservation);
    } else {
      arriving.remove(reservation);
    }
    Iterator<Reservation> oldestFirst = arriving.iterator();
    while (requestBytes > requestLimitBytes && oldestFirst.hasNext()) {
      Reservation oldest = oldestFirst.next();
      oldestFirst.remove();
      requestBytes -= oldest.bytes;
      oldest.bytes = 0;
      evictions++;
      if (oldest.equals(reservation)) {
        return false;
      }
      oldest.onEvicted.accept(oldest);
    }
    return requestBytes <= requestLimitBytes;
  }

  private static void registerGauge(MetricRegistry registry, String name, Gauge<Long> gauge) {
    registry.gauge(name, () -> gauge);
  }

  /** The memory that one request of a connection holds. */
  final class Reservation {

    private final Consumer<Reservation> onEvicted;
    private long bytes;

    private Reservation(Consumer<Reservation> onEvicted) {
      this.onEvicted = onEvicted;
    }

    /**
     * Changes the memory of a request that is arriving.
     *
     * @return whether the memory is available; if not, nothing is reserved any more
     */
    boolean holdArriving(long newBytes) {
      return holdOrRelease(newBytes, true);
    }

    /**
     * Changes the memory of a request that has arrived, which isn't evicted any more.
     *
     * @return whether the memory is available; if not, nothing is reserved any more
     */
    boolean holdArrived(long newBytes) {
      return holdOrRelease(newBytes, false);
    }

    void release() {
      if (bytes > 0) {
        resize(this, 0, false);
      }
    }

    private boolean holdOrRelease(long newBytes, boolean isArriving) {
      boolean available = resize(this, newBytes, isArriving);
      if (!available) {
        resize(this, 0, false);
      }
      return available;
    }
  }
}
