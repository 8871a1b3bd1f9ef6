package org.burdockbay.core.fleet;

import java.util.Set;
import org.burdockbay.core.work.TaskSize;

/**
 * What an upstream says of itself.
 *
 * @param id its id; a restarted upstream may carry the id that it had before
 * @param startedAt the time of its start, in milliseconds since 1970; tells its lives apart
 * @param sequence rises with each announcement of one life
 * @param service the service whose tasks it runs
 * @param address IP address and port of its interface
 * @param domain its failure domain
 * @param leaving whether it is about to leave and takes no new tasks
 * @param capacity what all its tasks together may ask for
 * @param labels its labels; the rack is one of them
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

  /** Copies the set. */
  public UpstreamAnnouncement {
    labels = Set.copyOf(labels);
  }

  /** Returns whether this announcement is newer than another one of the same upstream. */
  public boolean isNewerThan(UpstreamAnnouncement other) {
    return startedAt > other.startedAt
        || (startedAt == other.startedAt && sequence > other.sequence);
  }

  /** Returns whether both come from the same life of the upstream. */
  public boolean isSameInstance(UpstreamAnnouncement other) {
    return id.equals(other.id) && startedAt == other.startedAt;
  }

  /** Returns whether this announcement says the same as another one, but for its sequence. */
  public boolean hasSameContent(UpstreamAnnouncement other) {
    return equals(other.withSequence(sequence));
  }

  private UpstreamAnnouncement withSequence(long number) {
    return new UpstreamAnnouncement(
        id, startedAt, number, service, address, domain, leaving, capacity, labels);
  }
}
