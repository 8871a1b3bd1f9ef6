package org.burdockbay.server.host;

import java.util.List;
import java.util.Optional;
import org.burdockbay.core.agreement.FaultMargin;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.dispatch.DispatchSnapshot;
import org.burdockbay.core.membership.HostStatus;

/**
 * The state of a host, as reported to operators.
 *
 * @param self status of the host
 * @param live last status received from each other live host
 * @param dispatch state of its dispatcher
 * @param agreement state of its Raft node, on a host with a data folder
 * @param waitingRequests number of requests of callers that wait for an outcome
 * @param controlBacklog number of tasks queued for the control thread
 */
public record HostReport(
    HostStatus self,
    List<HostStatus> live,
    DispatchSnapshot dispatch,
    Optional<AgreementReport> agreement,
    int waitingRequests,
    int controlBacklog) {

  /**
   * The state of a Raft node.
   *
   * @param role name of its role
   * @param leader id of the leader, or empty if unknown
   * @param ledgerRecords number of records in the ledger
   * @param storageFailed whether the voter has stopped after a failure of its storage
   * @param faultMargin further losses that the group bears now, as this host sees it
   * @param faultTolerance losses that the group must bear
   */
  public record AgreementReport(
      String role,
      long term,
      String leader,
      long commitIndex,
      List<String> voters,
      List<String> learners,
      int ledgerRecords,
      boolean storageFailed,
      FaultMargin faultMargin,
      FaultTolerance faultTolerance) {

    static AgreementReport of(AgreementDriver driver, FaultMarginMonitor monitor) {
      RaftNode node = driver.node();
      return new AgreementReport(
          node.role().name(),
          node.term(),
          node.leader().map(VoterId::toString).orElse(""),
          node.commitIndex(),
          node.voters().voters().stream().map(VoterId::toString).toList(),
          node.voters().learners().stream().map(VoterId::toString).toList(),
          driver.state().ledger().size(),
          driver.hasFailed(),
          monitor.margin(),
          monitor.tolerance());
    }
  }
}
