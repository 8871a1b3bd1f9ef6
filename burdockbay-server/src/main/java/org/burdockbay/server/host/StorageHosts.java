package org.burdockbay.server.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.burdockbay.core.agreement.MemberHost;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.membership.HostStatus;

/**
 * The live hosts with a data folder, and the failure domains of those that were live earlier.
 *
 * <p>Not thread-safe; must be used on the control thread only.
 */
public final class StorageHosts {

  private final List<MemberHost> live = new ArrayList<>();
  private final Map<String, String> domains = new HashMap<>();

  /**
   * Replaces the live hosts.
   *
   * @param statuses statuses of this host and of the other live hosts; those without a data folder,
   *     or whose storage has failed, are left out
   */
  public void update(Collection<HostStatus> statuses) {
    live.clear();
    for (HostStatus status : statuses) {
      if (status.storageIncarnation() != 0) {
        VoterId id = new VoterId(status.host(), status.storageIncarnation());
        live.add(new MemberHost(id, domainOf(status)));
        domains.put(status.host(), domainOf(status));
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
}
