package org.burdockbay.server.host;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.burdockbay.core.agreement.FaultTolerance;
import org.burdockbay.core.agreement.RaftEffect;
import org.burdockbay.core.agreement.RaftNode;
import org.burdockbay.core.agreement.RaftRole;
import org.burdockbay.core.agreement.RaftTiming;
import org.burdockbay.core.agreement.RecoveredLog;
import org.burdockbay.core.agreement.VoterId;
import org.burdockbay.core.agreement.VoterPlanner;
import org.burdockbay.core.dispatch.DomainLoad;
import org.burdockbay.core.membership.HostStatus;
import org.burdockbay.server.logging.EventLog;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link VoterKeeper} on the leader of a group of one voter. */
public class VoterKeeperTest {

  private static final VoterId LEADER = new VoterId("a", 1);
  private static final long ELECTED_AT = 1_000;
  private static final long LATE = 60_000;

  private final List<String> replaceable = new ArrayList<>();
  private StorageHosts hosts;
  private VoterKeeper keeper;
  private RaftNode node;

  /** Elects the only voter. */
  @BeforeMethod
  public void electLeader() {
    hosts = new StorageHosts();
    keeper =
        new VoterKeeper(
            VoterPlanner.forTolerance(FaultTolerance.DEFAULT),
            hosts,
            replaceable::contains,
            new EventLog("a"),
            0);
    node = new RaftNode(LEADER, RecoveredLog.bootstrap(List.of(LEADER)), RaftTiming.DEFAULT, 1, 0);
    sync(node.tick(ELECTED_AT));
    assertEquals(node.role(), RaftRole.LEADER);
  }

  /** Guards against changes that few hosts store because the others start a little later. */
  @Test
  public void awaitsVotersAfterStartAndNoLonger() {
    hosts.update(List.of(status("a", 1)), 0);
    assertTrue(keeper.awaitsVoters(node, ELECTED_AT));
    assertFalse(keeper.awaitsVoters(node, VoterKeeper.COMPLETION_TIMEOUT_MILLIS));
  }

  /** Guards against a leader that waits for a learner which never catches up. */
  @Test
  public void awaitsLearnersForBoundedTime() {
    hosts.update(List.of(status("a", 1), status("b", 1), status("c", 1)), 0);
    assertTrue(keeper.awaitsVoters(node, LATE));
    assertTrue(keeper.awaitsVoters(node, LATE + VoterKeeper.COMPLETION_TIMEOUT_MILLIS - 1));
    assertFalse(keeper.awaitsVoters(node, LATE + VoterKeeper.COMPLETION_TIMEOUT_MILLIS));
  }

  /** Guards against hosts whose storage failed and that are taken for members. */
  @Test
  public void addsOnlyHostsWithSoundStorage() {
    hosts.update(List.of(status("a", 1), status("b", 7), status("c", 0)), 0);
    assertTrue(keeper.reconcile(node, LATE));
    assertEquals(node.voters().learners(), List.of(new VoterId("b", 7)));
  }

  private static HostStatus status(String host, long storageIncarnation) {
    return new HostStatus(
        host, "d-" + host, 1, storageIncarnation, 0, 0, 0, false, "", new DomainLoad(0, 0));
  }

  private void sync(List<RaftEffect> effects) {
    for (RaftEffect effect : effects) {
      if (effect instanceof RaftEffect.Persist persist) {
        sync(node.persisted(persist.ticket(), ELECTED_AT));
      }
    }
  }
}
