package org.burdockbay.server.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import org.burdockbay.core.agreement.MemberHost;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.membership.HostStatus;

/**
 * The live hosts with a data folder, and the failure domains of those that were live earlier.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class StorageHosts {

  /** Time without a failure after which the storage of a host counts as recovered. */
  static final long RECOVERY_MILLIS = 3_000;

  private final List<MemberHost> live = new ArrayList<>();
  private final Map<String, String> domains = new HashMap<>();
  private final Map<String, StorageFailure> failures = new HashMap<>();

  /**
   * Replaces the live hosts.
   *
   * @param now current time, in milliseconds
   * @param statuses statuses of this host and of the other live hosts; those without a data folder,
   *     or whose storage has failed, are left out
   */
  public void update(Collection<HostStatus> statuses, long now) {
    live.clear();
    for (HostStatus status : statuses) {
      if (status.storageIncarnation() != 0) {
        VoterId id = new VoterId(status.host(), status.storageIncarnation());
        live.add(new MemberHost(id, domainOf(status)));
        domains.put(status.host(), domainOf(status));
      }
      updateFailure(status, now);
    }
  }

  /**
   * Returns for how long the storage of a host has failed, in milliseconds; 0 if it works.
   *
   * <p>A disk that accepts some writes and refuses others fails again and again. Failures with less
   * than {@link #RECOVERY_MILLIS} between them count as one.
   */
  public long failureMillis(String host, long now) {
    StorageFailure failure = failures.get(host);
    return failure == null || failure.endedAt.isPresent() ? 0 : now - failure.beganAt;
  }

  private void updateFailure(HostStatus status, long now) {
    StorageFailure failure = failures.get(status.host());
    if (status.storageIncarnation() == 0) {
      if (failure == null) {
        failures.put(status.host(), new StorageFailure(now, OptionalLong.empty()));
      } else if (failure.endedAt.isPresent()) {
        failures.put(status.host(), new StorageFailure(failure.beganAt, OptionalLong.empty()));
      }
    } else if (failure != null) {
      if (failure.endedAt.isEmpty()) {
        failures.put(status.host(), new StorageFailure(failure.beganAt, OptionalLong.of(now)));
      } else if (now - failure.endedAt.getAsLong() >= RECOVERY_MILLIS) {
        failures.remove(status.host());
      }
    }
  }

  /** Returns the live hosts. */
  List<MemberHost> live() {
    return live;
  }

  /** Returns the failure domains of all hosts that have been live, by host id. */
  Map<String, String> domains() {
    return domains;
  }

  /** Returns whether the host of a member is live and still has the member's data folder. */
  boolean isLive(VoterId member) {
    return live.stream().anyMatch(host -> host.id().equals(member));
  }

  /** Returns the failure domain of a member; a host that was never live counts as its own. */
  String domainOf(VoterId member) {
    return domains.getOrDefault(member.host(), member.host());
  }

  private static String domainOf(HostStatus status) {
    return status.failureDomain().isEmpty() ? status.domain() : status.failureDomain();
  }

  /**
   * A failure of the storage of a host.
   *
   * @param beganAt when it was first reported, in milliseconds
   * @param endedAt when the storage worked again, if it does
   */
  private record StorageFailure(long beganAt, OptionalLong endedAt) {}
}
