package org.burdockbay.core.fleet;

import java.util.Set;
import org.burdockbay.core.work.TaskSize;

/**
 * Describes an upstream, as announced by itself.
 *
 * @param id the id of the upstream; a restarted upstream may keep its id
 * @param startedAt the time at which the upstream started, in milliseconds since the Unix epoch;
 *     distinguishes its instances
 * @param sequence the number of the announcement, rising within one instance
 * @param service the service whose tasks the upstream runs
 * @param address the IP address and port of its interface
 * @param domain its failure domain
 * @param leaving whether it is about to leave and accepts no new tasks
 * @param capacity the resources available to all its tasks together
 * @param labels its labels, including the rack
 */
public record UpstreamAnnouncement(
    String id,
    long startedAt,
    long sequence,
    String service,
    String address,
    String domain,
    boolean leaving,
    TaskSize capacity,
    Set<String> labels) {

  /** Copies the labels. */
  public UpstreamAnnouncement {
    labels = Set.copyOf(labels);
  }

  /** Returns whether this announcement is newer than another one of the same upstream. */
  public boolean isNewerThan(UpstreamAnnouncement other) {
    return startedAt > other.startedAt
        || (startedAt == other.startedAt && sequence > other.sequence);
  }

  /** Returns whether both announcements come from the same instance of the upstream. */
  public boolean isSameInstance(UpstreamAnnouncement other) {
    return id.equals(other.id) && startedAt == other.startedAt;
  }

  /** Returns whether this announcement equals another one, apart from the sequence number. */
  public boolean hasSameContent(UpstreamAnnouncement other) {
    return equals(other.withSequence(sequence));
  }

  /**
   * Returns a description of an instance that has restarted under the id and address of this one,
   * and hasn't announced itself yet; its capacity, service and labels may be others.
   *
   * @param time when the instance started, in milliseconds since the Unix epoch
   */
  public UpstreamAnnouncement restartedAt(long time) {
    return new UpstreamAnnouncement(id, time, 0, service, address, domain, false, capacity, labels);
  }

  private UpstreamAnnouncement withSequence(long number) {
    return new UpstreamAnnouncement(
        id, startedAt, number, service, address, domain, leaving, capacity, labels);
  }
}
